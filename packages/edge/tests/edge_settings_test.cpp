/** @file edge_settings_test.cpp Settings of an edge process. */

#include "edge/edge_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace corianderrail::edge {

namespace {

std::string Whole() {
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

TEST_CASE("Settings_Whole_AreRead") {
  const auto settings = ParseEdgeSettings(Whole(), "f.toml");
  CHECK(settings.client_address == "10.0.0.1:1");
  CHECK(settings.regions.at("b-1") == "b");
  CHECK(settings.processor_share == 0.25);
  CHECK(settings.repeat_slack == 52);
  CHECK(settings.seeds.size() == 1);
}

// Guards against faults that are found one at a time, at each start.
TEST_CASE("Settings_SeveralFaults_AreAllListedWithRemedy") {
  const std::string faults =
      Faults("zone = \"a\"\nclient_address = \"nowhere\"\nadress = 1\n" +
             std::string("shared_key = \"short\"\n"));
  CHECK(faults.find("f.toml:2") != std::string::npos);
  CHECK(faults.find("f.toml:3: unknown key") != std::string::npos);
  CHECK(faults.find("'host' is missing") != std::string::npos);
  CHECK(faults.find("choose a longer one") != std::string::npos);
}

// Guards against bytes that stop the process before it can say why.
TEST_CASE("Settings_NoToml_IsRefusedWithLine") {
  CHECK(Faults("host = [").find("f.toml:1") != std::string::npos);
}

}  // namespace corianderrail::edge
