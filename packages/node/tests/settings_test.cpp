/** @file settings_test.cpp Tests of the settings file of a host. */

#include "node/settings.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <utility>

namespace corianderrail {
namespace {

const std::string good_settings =
    "peer_address = \"127.0.0.1:7001\"\n"
    "caller_address = \"127.0.0.1:7002\"\n"
    "zone = \"a\"\n"
    "region = \"r\"\n"
    "shared_key = \"0123456789abcdef\"\n"
    "platform_address = \"127.0.0.1:7000\"\n";

settings_error ErrorOf(const std::string& text) {
  try {
    ParseSettings(text, "settings.toml");
  } catch (const settings_error& error) {
    return error;
  }
  FAIL("the settings were accepted");
  return {settings_error::kind::syntax, ""};
}

// Guards against keys that are accepted but have no effect.
TEST_CASE("Settings_WholeFile_FillsEveryField") {
  const auto settings = ParseSettings(
      good_settings +
          "capacity = 7\nseeds = [\"127.0.0.1:7003\"]\nlog_level = \"warn\"\n"
          "log_layout = \"json\"\ncaller_threads = 3\n[timing]\n"
          "probe_period_ms = 50\nprobe_timeout_ms = 20\nsuspicion_ms = 300\n",
      "settings.toml");
  CHECK(settings.peer_address == "127.0.0.1:7001");
  CHECK(settings.caller_address == "127.0.0.1:7002");
  CHECK(settings.platform_address == "127.0.0.1:7000");
  CHECK(settings.zone == "a");
  CHECK(settings.region == "r");
  CHECK(settings.shared_key == "0123456789abcdef");
  CHECK(settings.capacity == 7);
  CHECK(settings.caller_threads == 3);
  CHECK(settings.log_level == "warn");
  CHECK(settings.layout == log_layout::json);
  CHECK(settings.host.member.seeds ==
        std::vector<std::string>{"127.0.0.1:7003"});
  CHECK(settings.host.member.probe_period == std::chrono::milliseconds(50));
  CHECK(settings.host.member.suspicion == std::chrono::milliseconds(300));
}

// Guards against misspelled keys that are ignored, so that the default applies.
TEST_CASE("Settings_MisspelledKey_NamesLineAndNearestKey") {
  const auto error = ErrorOf(good_settings + "capacty = 5\n");
  CHECK(error.Reason() == settings_error::kind::unknown_key);
  CHECK(std::string(error.what()) ==
        "settings.toml:7: unknown key 'capacty'; did you mean 'capacity'?");
}

// Guards against a check for unknown keys that skips the nested table.
TEST_CASE("Settings_MisspelledTimingKey_NamesNearestKey") {
  const auto error = ErrorOf(good_settings + "[timing]\nprobe_periodms = 5\n");
  CHECK(std::string(error.what()).find("did you mean 'probe_period_ms'?") !=
        std::string::npos);
}

// Guards against a host that starts with an invalid value.
TEST_CASE("Settings_BadValue_IsRefusedWithItsKind") {
  using kind = settings_error::kind;
  const std::array<std::pair<const char*, kind>, 10> cases = {{
      {"capacity = \"5\"\n", kind::wrong_type},
      {"capacity = 0\n", kind::out_of_range},
      {"seeds = \"127.0.0.1:1\"\n", kind::wrong_type},
      {"seeds = [5]\n", kind::wrong_type},
      {"seeds = [\"127.0.0.1\"]\n", kind::out_of_range},
      {"log_level = \"loud\"\n", kind::out_of_range},
      {"log_layout = \"xml\"\n", kind::out_of_range},
      {"timing = 5\n", kind::wrong_type},
      {"[timing]\ndrain_ms = 100\n", kind::out_of_range},
      {"capacity = \n", kind::syntax},
  }};
  for (const auto& [line, expected] : cases) {
    INFO(line);
    CHECK(ErrorOf(good_settings + line).Reason() == expected);
  }
}

// Guards against a host that starts without an address or the shared key.
TEST_CASE("Settings_MissingKey_IsNamed") {
  const auto error = ErrorOf("zone = \"a\"\n");
  CHECK(error.Reason() == settings_error::kind::missing_key);
  CHECK(std::string(error.what()) ==
        "settings.toml: missing key 'peer_address'");
}

// Guards against a missing file that is treated as an empty one.
TEST_CASE("Settings_MissingFile_IsUnreadable") {
  try {
    LoadSettings("/nonexistent/settings.toml");
    FAIL("the file was read");
  } catch (const settings_error& error) {
    CHECK(error.Reason() == settings_error::kind::unreadable);
  }
}

// Guards against input that crashes the parser or causes an exception other
// than settings_error.
TEST_CASE("Settings_MutatedFile_ThrowsSettingsErrorOnly") {
  const bool held = rc::check("mutated settings", [] {
    std::string text = good_settings;
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    try {
      ParseSettings(text, "settings.toml");
    } catch (const settings_error&) {
      RC_TAG("refused");
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace corianderrail
