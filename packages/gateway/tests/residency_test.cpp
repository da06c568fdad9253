/** @file residency_test.cpp Requests stay in their home regions. */

#include "gateway/routing/residency.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "gateway/http_status.h"
#include "gateway/routing/route_stats.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

std::shared_ptr<const region_set> Regions(region_set names) {
  return std::make_shared<const region_set>(std::move(names));
}

/** A gateway in region a with a leaf of each service in regions a, b, c. */
class residency_fixture : public plain_fixture {
 public:
  /** Activates a configuration in which all routes have these homes. */
  void Restrict(const region_set& homes, std::uint64_t version = 2) {
    auto config = Config(version);
    for (route& one : config->routes) one.residency = homes;
    Configure(std::move(config));
  }

  static bool In(const send_leaf_effect& call, const std::string& zone) {
    return call.instance.ends_with("@" + zone);
  }
};

}  // namespace

// Guards against an account's regions, or those of a newer configuration, that
// replace the regions of the route instead of narrowing them.
TEST_CASE("Residency_SeveralSets_AllApply") {
  residency homes;
  CHECK(homes.PermitsRegion("x"));
  CHECK_FALSE(homes.Require(Regions({})));
  CHECK(homes.Require(Regions({"a", "b"})));
  CHECK_FALSE(homes.Require(Regions({"a", "b", "c"})));
  CHECK(homes.Require(Regions({"b", "c"})));
  CHECK(homes.PermitsRegion("b"));
  CHECK_FALSE(homes.PermitsRegion("a"));
  CHECK_FALSE(homes.PermitsRegion("c"));
  CHECK(homes.Require(Regions({"a"})));
  CHECK_FALSE(homes.PermitsRegion("b"));
}

// Guards against a leaf in an unknown zone that counts as one of this region.
TEST_CASE("Residency_UnknownZone_IsInNoRegion") {
  const location here{"a-1", "a", {{"b-1", "b"}}};
  residency homes;
  CHECK(homes.PermitsZone("x-1", here));
  homes.Require(Regions({"a", "b", ""}));
  CHECK(homes.PermitsZone("a-1", here));
  CHECK(homes.PermitsZone("b-1", here));
  CHECK_FALSE(homes.PermitsZone("x-1", here));
}

// Guards against first attempts, retries and hedges outside of the homes, also
// where the only permitted leaf is far and has failed.
TEST_CASE_METHOD(residency_fixture, "Residency_EachAttempt_StaysInHomes") {
  Restrict({"b"});
  const auto id = Request("/read/1");
  const auto first = OnlySend();
  CHECK(In(first, "b-1"));
  AdvanceTime(milliseconds(300));
  CHECK(DrainSends().empty());
  Fail(first, leaf_failure::broken);
  CHECK(DrainSends().empty());
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == kStatusBadGateway);

  Request("/query/1");
  const auto parts = DrainSends();
  CHECK(parts.size() == 4);
  for (const auto& part : parts) CHECK(In(part, "b-1"));
}

// Guards against a request that waits for its deadline when no leaf may ever
// run it.
TEST_CASE_METHOD(residency_fixture, "Residency_NoLeafInHomes_IsRefusedAtOnce") {
  Restrict({"d"});
  for (const char* path : {"/read/1", "/query/1", "/order/1"}) {
    const auto id = Request(path);
    CHECK(DrainSends().empty());
    REQUIRE(AnswerOf(id) != nullptr);
    CHECK(AnswerOf(id)->status == kStatusUnavailable);
    CHECK(AnswerOf(id)->cause == refusal_cause::no_leaf);
    CHECK(AnswerOf(id)->retry_after);
  }
}

}  // namespace corianderrail::gateway
