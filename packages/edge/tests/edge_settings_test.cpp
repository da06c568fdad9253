/** @file edge_settings_test.cpp Parsing and reloading of the settings. */

#include "edge/edge_settings.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "edge/settings_change.h"

namespace corianderrail::edge {

namespace {

std::string CompleteSettings() {
  return "host = \"h\"\nzone = \"a-1\"\nregion = \"a\"\n"
         "client_address = \"10.0.0.1:1\"\nready_address = \"10.0.0.1:2\"\n"
         "lookup_address = \"10.0.0.1:3\"\npeer_address = \"10.0.0.1:4\"\n"
         "metrics_address = \"10.0.0.1:5\"\nstore_address = \"10.0.0.9:1\"\n"
         "seeds = [\"10.0.0.2:4\"]\nshared_key = \"0123456789abcdef\"\n"
         "processor_share = 0.25\nrepeat_slack = 52\n"
         "[regions]\n\"a-1\" = \"a\"\n\"b-1\" = \"b\"\n";
}

std::string Faults(const std::string& text) {
  try {
    ParseEdgeSettings(text, "f.toml");
  } catch (const edge_settings_error& error) {
    return error.what();
  }
  return {};
}

}  // namespace

// Guards against keys that are read into the wrong member.
TEST_CASE("Settings_Complete_AreRead") {
  const auto settings = ParseEdgeSettings(CompleteSettings(), "f.toml");
  CHECK(settings.client_address == "10.0.0.1:1");
  CHECK(settings.regions.at("b-1") == "b");
  CHECK(settings.processor_share == 0.25);
  CHECK(settings.repeat_slack == 52);
  CHECK(settings.seeds.size() == 1);
  CHECK(settings.cold_excess == 0);
}

// Guards against a limit for cold leafs that is ignored where a deployment has
// one; others have none.
TEST_CASE("Settings_BoundsOfColdLeafs_AreRead") {
  const auto settings = ParseEdgeSettings(
      "cold_excess = 1.5\ncold_slack = 5\n" + CompleteSettings(), "f.toml");
  CHECK(settings.cold_excess == 1.5);
  CHECK(settings.cold_slack == 5);
}

// Guards against bounds that ignore the memory of the host, and against a host
// that does not start where the platform states none.
TEST_CASE("Settings_MemoryLimit_IsOptionalAndBounded") {
  const auto limit = [](const std::string& line) {
    return ParseEdgeSettings(line + CompleteSettings(), "f.toml").memory_limit;
  };
  CHECK(limit("") == gateway::kDefaultMemoryLimit);
  CHECK(limit("memory_limit_mb = 112\n") == gateway::memory_limit_mb{112});
  CHECK(Faults("memory_limit_mb = 1\n" + CompleteSettings())
            .find("memory_limit_mb") != std::string::npos);
}

// Guards against parsing that stops at the first fault, so that each start
// shows only one.
TEST_CASE("Settings_SeveralFaults_AreAllListedWithRemedy") {
  const std::string faults =
      Faults("zone = \"a\"\nclient_address = \"nowhere\"\nadress = 1\n" +
             std::string("shared_key = \"short\"\n"));
  CHECK(faults.find("f.toml:2") != std::string::npos);
  CHECK(faults.find("f.toml:3: unknown key") != std::string::npos);
  CHECK(faults.find("'host' is missing") != std::string::npos);
  CHECK(faults.find("choose a longer one") != std::string::npos);
}

// Guards against bad TOML that ends the process without an error message.
TEST_CASE("Settings_NoToml_IsRefusedWithLine") {
  CHECK(Faults("host = [").find("f.toml:1") != std::string::npos);
}

// Guards against undefined behavior of toml++ 3.3 on non-ASCII text outside of
// strings and comments, found by fuzzing.
TEST_CASE("Settings_TextOutsideQuotes_IsRefusedWithLine") {
  CHECK(Faults("\xef\xbb\xbb").find("f.toml:1") != std::string::npos);
  CHECK(Faults("host = \"h\" \xc3\xa9").find("not ASCII") != std::string::npos);
  CHECK(Faults("zone = -1\"\xef\xbb\xbf\"").find("not ASCII") !=
        std::string::npos);
  CHECK(Faults("# caf\xc3\xa9\n").find("not ASCII") == std::string::npos);
  CHECK(Faults("host = \"caf\xc3\xa9\"\n").find("not ASCII") ==
        std::string::npos);
}

// Guards against an assertion of toml++ 3.3 on table headers without a name,
// which aborted the process.
TEST_CASE("Settings_HeaderWithoutName_IsRefused") {
  for (const char* text : {"[=", "[\n", "[.a]", "[[[", "[,"}) {
    INFO(text);
    CHECK(Faults(text).find("not TOML") != std::string::npos);
  }
}

// Guards against seeds that take effect only after a restart: a host that lost
// contact with all others could not rejoin through new seeds.
TEST_CASE("Settings_SeedsAndBoundsChange_TakeEffectAtOnce") {
  edge_settings running = ParseEdgeSettings(CompleteSettings(), "f.toml");
  edge_settings fresh = running;
  fresh.seeds = {"10.0.0.7:4"};
  fresh.repeat_slack = 7;
  fresh.stop_grace = std::chrono::seconds(9);
  CHECK(KeysRequiringRestart(running, fresh).empty());
  ApplyReloadableValues(fresh, running);
  CHECK(running.seeds == fresh.seeds);
  CHECK(running.repeat_slack == 7);
  CHECK(running.stop_grace == std::chrono::seconds(9));
}

// Guards against items that may be older than an evacuation must be in force,
// and against other limits where the platform has no evacuations.
TEST_CASE("Settings_EvacuateTime_BoundsThePropagation") {
  const auto without = ParseEdgeSettings(CompleteSettings(), "f.toml");
  CHECK_FALSE(without.evacuate);
  CHECK(without.Propagation() == without.config_propagation);
  const auto with = [](const std::string& time) {
    return ParseEdgeSettings(
        "evacuate_ms = " + time + "\n" + CompleteSettings(), "f.toml");
  };
  CHECK(with("900").Propagation() == std::chrono::milliseconds(900));
  CHECK(with("5000").Propagation() == without.config_propagation);
  edge_settings running = without;
  ApplyReloadableValues(with("900"), running);
  CHECK(running.Propagation() == std::chrono::milliseconds(900));
  CHECK(Faults("evacuate_ms = 0\n").find("evacuate_ms") != std::string::npos);
}

// Guards against a deployment without a figure that others have, and against
// figures of the platform that keep a host from starting.
TEST_CASE("Settings_PlatformFigures_StandForKeys") {
  const auto with = [](const std::string& figures) {
    const std::string text =
        CompleteSettings() + "\n[platform_bounds]\n" + figures;
    return ParseEdgeSettings(text, "f.toml");
  };
  CHECK(with("EvacuateMs = '900'\nNew = 'null'\nOther = '[1]'\n").evacuate ==
        std::chrono::milliseconds(900));
  CHECK_FALSE(with("EvacuateMs = 'null'\n").evacuate);
  CHECK_FALSE(with("EvacuateMs = '1e999'\n").evacuate);
  CHECK_FALSE(with("DrainMs = '900'\n").evacuate);
}

// Guards against changed values that are ignored until a restart without being
// reported.
TEST_CASE("Settings_AddressesChange_AreNamedForTheNextStart") {
  const edge_settings running = ParseEdgeSettings(CompleteSettings(), "f.toml");
  edge_settings fresh = running;
  fresh.client_address = "10.0.0.1:9";
  fresh.link_mbps = 20;
  const auto keys = KeysRequiringRestart(running, fresh);
  REQUIRE(keys.size() == 2);
  CHECK(keys[0] == "client_address");
  CHECK(keys[1] == "link_mbps");
  edge_settings after = running;
  ApplyReloadableValues(fresh, after);
  CHECK(after.client_address == running.client_address);
}

}  // namespace corianderrail::edge
