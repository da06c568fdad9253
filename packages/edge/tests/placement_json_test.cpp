/** @file placement_json_test.cpp Requests and answers of the placement command.
 */

#include "edge/placement_json.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace corianderrail::edge {

// Guards against a question that is read as another one, or that takes memory.
TEST_CASE("Placement_Question_IsReadOrRefused") {
  const auto question = ReadPlacementQuestion(
      R"({"method":"GET","host":"Shop.Example","path":"/a/b?c=1"})");
  REQUIRE(question);
  CHECK(question->method == "GET");
  CHECK(question->request.host == "shop.example");
  CHECK(question->request.path == "/a/b");
  for (const std::string& bad :
       {std::string(), std::string("[]"), std::string("{"),
        std::string(R"({"method":"GET","host":"h"})"),
        std::string(R"({"method":"GET","host":"h","path":"a"})"),
        std::string(R"({"method":1,"host":"h","path":"/a"})"),
        R"({"method":"GET","host":"h","path":"/)" +
            std::string(kMaxPlacementRequest, 'a') + "\"}",
        std::string(kMaxPlacementRequest, '[')}) {
    INFO(bad.substr(0, 40));
    CHECK_FALSE(ReadPlacementQuestion(bad));
  }
}

// Guards against an answer that lacks what decided, or exceeds the bounds of
// the metrics address.
TEST_CASE("Placement_LargestReport_IsCompleteAndBounded") {
  gateway::placement_report report;
  report.version = gateway::config_version{7};
  report.matched = gateway::placement_route{};
  report.matched->name = "r";
  report.matched->homes = {"a", "b"};
  report.evacuated_zones = {"a-1"};
  gateway::placement_part part;
  part.service = std::string(40, 's');
  part.outcome = gateway::choice_outcome::full;
  gateway::placement_leaf leaf;
  leaf.instance = "i-\xff" + std::string(20, 'i');
  leaf.candidate.slowness = 2.5;
  leaf.candidate.permits = 3;
  leaf.exclusion = gateway::leaf_exclusion::evacuation;
  leaf.candidate.expected = std::chrono::seconds(8);
  part.leafs.assign(gateway::kMaxReportedLeafs, leaf);
  report.parts.assign(gateway::kMaxReportedParts, part);
  const std::string text = WritePlacement({"GET", {"h", "/a"}}, report);
  CHECK(text.size() < 200u << 10);
  const auto read = nlohmann::json::parse(text);
  CHECK(read.at("version") == 7);
  CHECK(read.at("admitted") == true);
  CHECK(read.at("route").at("name") == "r");
  const auto& first = read.at("parts").at(0);
  CHECK(read.at("route").at("homes") == "a,b");
  CHECK(read.at("evacuated_zones") == "a-1");
  CHECK(first.at("choice") == "full");
  CHECK(first.at("leafs").at(0).at("excluded") == "evacuation");
  CHECK(first.at("leafs").at(0).at("permits") == 3);
  CHECK(first.at("leafs").at(0).at("slowness") == 2.5);
  report.refusal = gateway::refusal_cause::no_leaf;
  const auto refused =
      nlohmann::json::parse(WritePlacement({"GET", {"h", "/a"}}, report));
  CHECK(refused.at("admitted") == false);
  CHECK(refused.at("refusal") == "no_leaf");
}

}  // namespace corianderrail::edge
