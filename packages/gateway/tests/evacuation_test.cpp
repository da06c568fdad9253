/** @file evacuation_test.cpp Nothing is sent to the leafs of some zones. */

#include "gateway/leafs/evacuation.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "gateway/http_status.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::hours;
using std::chrono::seconds;

/** A gateway in zone a-1 with a leaf of each service in a-1, b-1 and c-1. */
class evacuation_fixture : public plain_fixture {
 public:
  void Evacuate(const std::string& zone, bool active = true) {
    Reduce(evacuation_event{{{zone, ++revision_, active}}});
  }

  static bool In(const send_leaf_effect& call, const std::string& zone) {
    return call.instance.ends_with("@" + zone);
  }

  /** Number of log lines of a kind. */
  std::size_t Lines(decision kind) const {
    return static_cast<std::size_t>(std::count_if(
        Logged().begin(), Logged().end(),
        [&](const log_effect& line) { return line.kind == kind; }));
  }

 private:
  std::uint64_t revision_ = 0;
};

}  // namespace

// Guards against an end that is not known, or is known for ever, so that leafs
// count as cold too briefly or items with new names fill the memory.
TEST_CASE("Evacuation_Ended_IsKnownForATime") {
  evacuation zones;
  const time_point start{seconds(100)};
  CHECK(zones.SendBefore("z") == kNever);
  CHECK_FALSE(zones.Apply({"z", 1, false}, start));
  CHECK(zones.Apply({"z", 2, true}, start));
  CHECK_FALSE(zones.Apply({"z", 3, true}, start + seconds(1)));
  CHECK(zones.SendBefore("z") == start);
  CHECK_FALSE(zones.EndedAt("z"));
  CHECK(zones.Apply({"z", 4, false}, start + seconds(9)));
  CHECK_FALSE(zones.Covers("z"));
  CHECK(zones.EndedAt("z") == start + seconds(9));
  zones.Apply({"y", 5, true}, start + hours(2));
  CHECK_FALSE(zones.EndedAt("z"));
}

// Guards against first attempts, retries and hedges to evacuated leafs, and
// against leafs that get nothing after the end.
TEST_CASE_METHOD(evacuation_fixture, "Evacuation_EachAttempt_AvoidsTheZone") {
  Evacuate("a-1");
  Request("/read/1");
  const auto first = OnlySend();
  CHECK_FALSE(In(first, "a-1"));
  Evacuate(In(first, "b-1") ? "c-1" : "b-1");
  Fail(first, leaf_failure::not_sent);
  for (const auto& part : DrainSends()) CHECK(part.instance == first.instance);
  Evacuate("a-1", false);
  Request("/query/1");
  const auto parts = DrainSends();
  CHECK(parts.size() == 4);
  for (const auto& part : parts) CHECK(In(part, "a-1"));
  CHECK(Lines(decision::zone_evacuated) == 2);
  CHECK(Lines(decision::zone_restored) == 1);
}

// Guards against a request that is written to an evacuated leaf after it waited
// for a connection, and against one that is lost with its withdrawal.
TEST_CASE_METHOD(evacuation_fixture,
                 "Evacuation_UnsentCall_IsPlacedElsewhere") {
  const auto id = Request("/order/1");
  const auto first = OnlySend();
  REQUIRE(In(first, "a-1"));
  Evacuate("a-1");
  const auto stops = Stops();
  const auto stopped =
      std::find_if(stops.rbegin(), stops.rend(),
                   [&](const auto& one) { return one.leaf == first.leaf; });
  REQUIRE(stopped != stops.rend());
  CHECK(stopped->send_before == Now());
  Fail(first, leaf_failure::withdrawn);
  const auto second = OnlySend();
  CHECK_FALSE(In(second, "a-1"));
  Reply(second, Success(second));
  CHECK(AnswerOf(id)->status == kStatusOk);
  Evacuate("a-1", false);
  CHECK(Stops().back().send_before == kNever);
}

// Guards against running requests that an evacuation interrupts.
TEST_CASE_METHOD(evacuation_fixture, "Evacuation_RunningCall_Completes") {
  const auto id = Request("/order/1");
  const auto first = OnlySend();
  Evacuate("a-1");
  AdvanceTime(milliseconds(50));
  CHECK(Cancelled().empty());
  Reply(first, Success(first));
  CHECK(AnswerOf(id)->status == kStatusOk);
}

// Guards against requests that wait for their deadline while their only leafs
// are evacuated, and against a whole query that fails for one missing shard.
TEST_CASE_METHOD(evacuation_fixture, "Evacuation_OnlyHome_RefusesAtOnce") {
  auto config = Config(2);
  for (route& one : config->routes) one.residency = {"b"};
  Configure(config);
  Remove("s3@b-1");
  AdvanceTime(seconds(5));
  auto moved = Leaf("s3", "b-2");
  Evacuate("b-2");
  Register(moved);
  const auto partial = Request("/query/1");
  const auto parts = DrainSends();
  CHECK(parts.size() == 3);
  for (const auto& part : parts) Reply(part, Success(part));
  REQUIRE(AnswerOf(partial) != nullptr);
  CHECK(AnswerOf(partial)->missing_parts == 1);
  Evacuate("b-1");
  for (const char* path : {"/read/1", "/order/1", "/query/1"}) {
    const auto id = Request(path);
    REQUIRE(AnswerOf(id) != nullptr);
    CHECK(AnswerOf(id)->status == kStatusUnavailable);
    CHECK(AnswerOf(id)->cause == refusal_cause::no_leaf);
    CHECK(AnswerOf(id)->retry_after);
  }
  CHECK(DrainSends().empty());
}

// Guards against queued parts that stay until their deadline when the last leaf
// for them is evacuated, and against those that wait although a zone is back.
TEST_CASE_METHOD(evacuation_fixture, "Evacuation_QueuedParts_AreChecked") {
  Evacuate("b-1");
  Evacuate("c-1");
  RequestUntilQueued("/read/1");
  DrainSends();
  Evacuate("b-1", false);
  CHECK(In(OnlySend(), "b-1"));
  const auto waiting = RequestUntilQueued("/read/1");
  DrainSends();
  Evacuate("b-1");
  CHECK(AnswerOf(waiting) == nullptr);
  Evacuate("a-1");
  CHECK(DrainSends().empty());
  REQUIRE(AnswerOf(waiting) != nullptr);
  CHECK(AnswerOf(waiting)->cause == refusal_cause::no_leaf);
}

// Guards against connections into an evacuated zone: ahead of requests, and
// probes of a leaf that failed.
TEST_CASE_METHOD(evacuation_fixture, "Evacuation_Connections_AreNotOpened") {
  Evacuate("a-1");
  Evacuate("x-1");  // Not in the settings.
  refuse_connections = true;
  Request("/read/1");
  const auto call = OnlySend();
  Fail(call, leaf_failure::not_sent);
  Evacuate("b-1");
  Evacuate("c-1");
  Register(Leaf("plain", "x-1"));
  Configure(Config(3, 5));
  const std::size_t before = Connects().size();
  AdvanceTime(seconds(20));
  CHECK(Connects().size() == before);
  Evacuate("x-1", false);
  AdvanceTime(seconds(2));
  CHECK(Connects().size() > before);
}

}  // namespace corianderrail::gateway
