/** @file edge_reload.cpp Changes of the settings file of a running process. */

#include <fstream>
#include <sstream>
#include <string>

#include "edge/edge_state.h"
#include "edge/settings_change.h"

namespace corianderrail::edge {

namespace {

using boost::system::error_code;
using gateway::decision_input;

/** Pause between looks at the file; it may change without a signal. */
constexpr std::chrono::seconds kSettingsPeriod{2};

std::string TextOf(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

/** Looks at the file now and then. */
void edge_process::state::WatchSettings() {
  const std::string text = TextOf(path);
  if (settings_text.empty()) settings_text = text;
  if (text != settings_text) Reload();
  settings_timer.expires_after(kSettingsPeriod);
  settings_timer.async_wait([this](error_code error) {
    if (!error) WatchSettings();
  });
}

/** Takes a changed file; a bad one leaves all values as they are. */
void edge_process::state::Reload() {
  settings_text = TextOf(path);
  try {
    Apply(ParseEdgeSettings(settings_text, path));
  } catch (const edge_settings_error& error) {
    const decision_input inputs[] = {{"error", error.what()}};
    log.WriteEvent("settings_refused", inputs);
  }
}

void edge_process::state::Apply(const edge_settings& fresh) {
  std::string later;
  for (const std::string_view key : KeysForNextStart(settings, fresh)) {
    if (!later.empty()) later += ',';
    later += key;
  }
  TakeRunningValues(fresh, settings);
  peers.SetSeeds(settings.seeds);
  Reduce(gateway::settings_event{settings.repeat_ratio, settings.repeat_slack,
                                 LastResort(settings)});
  const decision_input inputs[] = {{"at_next_start", later}};
  log.WriteEvent("settings_reloaded", inputs);
}

}  // namespace corianderrail::edge
