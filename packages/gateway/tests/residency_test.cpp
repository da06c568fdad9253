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

// Guards against lookups that know only the homes of one route of a name, or
// those of another name.
TEST_CASE_METHOD(residency_fixture, "Residency_HomesOfName_AreOfAllItsRoutes") {
  CHECK(Core().HomeRegions("h").empty());
  auto config = Config(2);
  config->routes[0].residency = {"a", "b"};
  config->routes[1].residency = {"b", "c"};
  config->routes[2].host = "other";
  Configure(std::move(config));
  CHECK(Core().HomeRegions("h") == region_set{"a", "b", "c"});
  CHECK(Core().HomeRegions("other").empty());
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

// Guards against parts that wait in a region which a newer configuration
// forbids, and against the wait for their deadline.
TEST_CASE_METHOD(residency_fixture, "Residency_NarrowedWhileQueued_IsRefused") {
  Restrict({"a", "b"});
  const auto id = Request("/read/0");
  const auto waiting = RequestUntilQueued("/read/1");
  const auto sent = DrainSends();
  Restrict({"c"}, 3);
  CHECK(DrainSends().empty());
  REQUIRE(AnswerOf(waiting) != nullptr);
  CHECK(AnswerOf(waiting)->cause == refusal_cause::no_leaf);
  CHECK(AnswerOf(waiting)->retry_after);
  // A request that runs completes.
  Reply(sent[0], Success(sent[0]));
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == kStatusOk);
}

// Guards against a call that is written to a forbidden region after it waited
// for a connection, and against a withdrawal of permitted ones.
TEST_CASE_METHOD(residency_fixture, "Residency_NarrowedWhileUnsent_MovesPart") {
  Restrict({"a", "b"});
  const auto id = Request("/query/1");
  const auto first = DrainSends();
  REQUIRE(first.size() == 4);
  for (const auto& part : first) REQUIRE(In(part, "a-1"));
  Restrict({"b", "c"}, 3);
  CHECK(Withdrawals().size() == 4);
  for (const auto& part : first) Fail(part, leaf_failure::withdrawn);
  const auto moved = DrainSends();
  REQUIRE(moved.size() == 4);
  for (const auto& part : moved) {
    CHECK(In(part, "b-1"));  // In the homes of both configurations.
    Reply(part, Success(part));
  }
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->missing_parts == 0);
  CHECK(Core().Counters().withdrawn == 4);
  CHECK(Core().Counters().retries == 0);
  Restrict({"b"}, 4);
  CHECK(Withdrawals().size() == 4);
}

// Guards against an order that is withdrawn and placed again although its first
// leaf may have it.
TEST_CASE_METHOD(residency_fixture, "Residency_NarrowedAfterSend_RunsOnce") {
  Restrict({"a"});
  const auto id = Request("/order/1");
  const auto sent = OnlySend();
  Restrict({"b"}, 3);
  CHECK(DrainSends().empty());
  Fail(sent, leaf_failure::broken);
  CHECK(DrainSends().empty());
  CHECK(AnswerOf(id)->status == kStatusBadGateway);
}

// Guards against a request without a client that is still sent to a region
// which was forbidden meanwhile.
TEST_CASE_METHOD(residency_fixture, "Residency_ClientLeft_UnsentIsWithdrawn") {
  Restrict({"a"});
  const auto id = Request("/order/1");
  const auto sent = OnlySend();
  Disconnect(id);
  Restrict({"b"}, 3);
  REQUIRE(Withdrawals().size() == 1);
  CHECK(Withdrawals()[0] == sent.call);
}

}  // namespace corianderrail::gateway
