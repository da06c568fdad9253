/** @file edge_reload.cpp Reloads the settings file while the process runs. */

#include <fstream>
#include <sstream>
#include <string>

#include "edge/edge_state.h"
#include "edge/settings_change.h"

namespace corianderrail::edge {

namespace {

using boost::system::error_code;
using gateway::decision_input;

/** Interval of the checks for a changed settings file; the file may change
 *  without a SIGHUP. */
constexpr std::chrono::seconds kSettingsCheckPeriod{2};

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

/** Reloads the settings when the content of the file has changed. */
void edge_process::state::WatchSettings() {
  const std::string text = ReadFile(path);
  if (settings_text.empty()) settings_text = text;
  if (text != settings_text) ReloadSettings();
  settings_timer.expires_after(kSettingsCheckPeriod);
  settings_timer.async_wait([this](error_code error) {
    if (!error) WatchSettings();
  });
}

/** Applies the settings file; an invalid one leaves all values unchanged. */
void edge_process::state::ReloadSettings() {
  settings_text = ReadFile(path);
  try {
    ApplySettings(ParseEdgeSettings(settings_text, path));
  } catch (const edge_settings_error& error) {
    const decision_input inputs[] = {{"error", error.what()}};
    log.WriteEvent("settings_refused", inputs);
  }
}

void edge_process::state::ApplySettings(const edge_settings& fresh) {
  std::string restart_keys;
  for (const std::string_view key : KeysRequiringRestart(settings, fresh)) {
    if (!restart_keys.empty()) restart_keys += ',';
    restart_keys += key;
  }
  ApplyReloadableValues(fresh, settings);
  peers.SetSeeds(settings.seeds);
  store.SetMaxAge(
      gateway::MaxItemAge(settings.Propagation(), settings.leaf_drain));
  Reduce(gateway::settings_event{settings.repeat_ratio, settings.repeat_slack,
                                 settings.leaf_drain});
  const decision_input inputs[] = {{"at_next_start", restart_keys}};
  log.WriteEvent("settings_reloaded", inputs);
}

}  // namespace corianderrail::edge
