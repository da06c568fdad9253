/** @file explain_test.cpp An explained placement is the one that is made. */

#include <catch2/catch.hpp>
#include <map>

#include "core/random.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

/** Chosen leaf of each service; empty for none. */
std::map<std::string, std::string> Chosen(const placement_report& report) {
  std::map<std::string, std::string> chosen;
  for (const placement_part& part : report.parts) {
    std::string& leaf = chosen[part.service];
    if (part.outcome == choice_outcome::chosen) leaf = part.leafs[0].instance;
  }
  return chosen;
}

}  // namespace

// Guards against an explanation that differs from what a request then does, in
// any state, and against one that changes the state.
TEST_CASE_METHOD(plain_fixture, "Explain_AnyState_IsWhatTheRequestDoes") {
  random_source random(5);
  std::vector<send_leaf_effect> open;
  std::size_t placed = 0;
  std::size_t refused = 0;
  for (int step = 0; step < 3000; ++step) {
    const bool gathers = random.Below(3) == 0;
    const std::string path = gathers ? "/query/x" : "/read/x";
    const auto report = Core().ExplainPlacement({"h", path}, Now());
    const auto repeated = Core().ExplainPlacement({"h", path}, Now());
    REQUIRE(Chosen(report) == Chosen(repeated));
    const std::uint64_t before = Core().Counters().leaf_requests;
    const auto expected = Chosen(report);
    const exchange_id id = Request(path);
    const client_answer* answer = AnswerOf(id);
    auto sends = DrainSends();
    if (report.refusal != refusal_cause::none) {
      REQUIRE(answer != nullptr);
      REQUIRE(answer->cause == report.refusal);
      ++refused;
    } else {
      std::size_t chosen = 0;
      for (const auto& [service, leaf] : expected) {
        if (leaf.empty()) continue;
        ++chosen;
        const bool sent = std::any_of(
            sends.begin(), sends.end(),
            [&, leaf = leaf](auto& s) { return s.instance == leaf; });
        INFO("step " << step << " " << path << " expected " << leaf);
        REQUIRE(sent);
      }
      REQUIRE(sends.size() == chosen);
      REQUIRE(Core().Counters().leaf_requests == before + chosen);
      placed += chosen;
    }
    open.insert(open.end(), sends.begin(), sends.end());
    while (!open.empty() && random.Below(3) != 0) {
      const std::size_t at = random.Below(open.size());
      const send_leaf_effect call = open[at];
      open.erase(open.begin() + static_cast<long>(at));
      switch (random.Below(8)) {
        case 0:
          Fail(call, leaf_failure::broken);
          break;
        case 1:
          Reply(call, NotRunAnswer());
          break;
        default:
          Reply(call, Success(call));
      }
      const auto more = DrainSends();
      open.insert(open.end(), more.begin(), more.end());
    }
    AdvanceTime(milliseconds(random.Below(6)));
    const auto more = DrainSends();
    open.insert(open.end(), more.begin(), more.end());
  }
  CHECK(placed > 500);
  CHECK(refused > 50);
}

// Guards against an explanation without the reason why nothing is sent.
TEST_CASE_METHOD(gateway_fixture, "Explain_NothingCanBeSent_NamesTheCause") {
  CHECK(Core().ExplainPlacement({"h", "/read/x"}, Now()).refusal ==
        refusal_cause::no_configuration);
  Configure(Config());
  Register(Leaf("s0", "a-1"));
  CHECK(Core().ExplainPlacement({"h", "/none/x"}, Now()).refusal ==
        refusal_cause::no_route);
  const auto report = Core().ExplainPlacement({"h", "/query/x"}, Now());
  CHECK(report.refusal == refusal_cause::no_leaf);
  REQUIRE(report.parts.size() == 4);
  CHECK(report.parts[0].outcome == choice_outcome::chosen);
  CHECK(report.parts[1].outcome == choice_outcome::nothing);
  REQUIRE(report.matched);
  CHECK(report.matched->name == "query");
}

// Guards against a leaf that gets nothing without the reason in the report.
TEST_CASE_METHOD(gateway_fixture, "Explain_ZoneEvacuated_NamesZoneAndLeafs") {
  Configure(Config());
  Register(Leaf("plain", "a-1"));
  Reduce(evacuation_event{{{"a-1", 9, true}}});
  const auto report = Core().ExplainPlacement({"h", "/read/x"}, Now());
  CHECK(report.evacuated_zones == std::vector<std::string>{"a-1"});
  CHECK(report.refusal == refusal_cause::no_leaf);
  REQUIRE(report.parts.size() == 1);
  REQUIRE(report.parts[0].leafs.size() == 1);
  CHECK(report.parts[0].leafs[0].exclusion == leaf_exclusion::evacuation);
}

// Guards against a report that grows with the configuration.
TEST_CASE_METHOD(gateway_fixture, "Explain_ManyShardsAndLeafs_IsBounded") {
  constexpr std::size_t kShards = kMaxReportedParts + 10;
  Configure(Config(1, kShards));
  for (int leaf = 0; leaf < 20; ++leaf) {
    leaf_record record = Leaf("s0", "a-1");
    record.instance += std::to_string(leaf);
    Register(record);
  }
  const auto report = Core().ExplainPlacement({"h", "/query/x"}, Now());
  CHECK(report.parts.size() == kMaxReportedParts);
  CHECK(report.parts_omitted == 10);
  CHECK(report.parts[0].leafs.size() == kMaxReportedLeafs);
  CHECK(report.parts[0].leafs_omitted == 20 - kMaxReportedLeafs);
  CHECK(report.parts[0].leafs[0].chosen);
}

}  // namespace corianderrail::gateway
