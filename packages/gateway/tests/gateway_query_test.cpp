/** @file gateway_query_test.cpp Gathered queries over many shards. */

#include <catch2/catch.hpp>

#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

class query_fixture : public gateway_fixture {
 public:
  query_fixture() {
    Configure(Config());
    RegisterAll({"a-1", "b-1", "c-1"});
    DrainSends();
  }

  /** Time until a query is answered whose first shard does not answer. */
  duration TimeWithoutFirstShard() {
    const exchange_id id = Request("/query/x");
    for (const auto& call : DrainSends()) {
      if (!call.instance.starts_with("s0")) Reply(call, Success(call));
    }
    const time_point begin = Now();
    while (AnswerOf(id) == nullptr) AdvanceTime(milliseconds(1));
    return Now() - begin;
  }
};

std::string Record(char c) { return std::string(16, c); }

}  // namespace

// Guards against an answer with a missing shard or wrongly sorted records.
TEST_CASE_METHOD(query_fixture, "Query_AllPartsAnswer_MergesGreatestRecords") {
  const auto id = Request("/query/x");
  const auto sends = DrainSends();
  REQUIRE(sends.size() == 4);
  Reply(sends[0], Success(sends[0], Record('a') + Record('z') + "short"));
  Reply(sends[1], Success(sends[1], Record('\xff')));
  Reply(sends[2], Success(sends[2], ""));
  CHECK(AnswerOf(id) == nullptr);
  Reply(sends[3], Success(sends[3], Record('z')));
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 200);
  CHECK(answer->missing_parts == 0);
  CHECK(answer->part_signatures.size() == 4);
  CHECK(answer->body == Record('\xff') + Record('z') + Record('z'));
}

// Guards against one constant for the way to all clients: an answer that is
// decided too late for a far client is late, and one that is decided too early
// for a near client lacks parts.
TEST_CASE_METHOD(query_fixture,
                 "Query_ShardLate_IsAnsweredInTimeForItsClient") {
  round_trip = milliseconds(2);
  const duration near = TimeWithoutFirstShard();
  round_trip = milliseconds(40);
  const duration far = TimeWithoutFirstShard();
  CHECK(near < milliseconds(150 - 2));
  CHECK(far < milliseconds(150 - 40));
  CHECK(near - far == milliseconds(40 - 2));
}

// Guards against answers that are late by the time that a client spent on a
// lookup and a connection before it sent its request.
TEST_CASE_METHOD(query_fixture,
                 "Query_ClientHasWaitedBefore_IsAnsweredEarlier") {
  round_trip = milliseconds(6);
  for (int i = 0; i < 4; ++i) {
    Request("/query/x", milliseconds(600));
    for (const auto& call : DrainSends()) Reply(call, Success(call));
  }
  const auto answered_after = [&](duration remaining) {
    const exchange_id id = Request("/query/x", remaining);
    send_leaf_effect late;
    for (const auto& call : DrainSends()) {
      if (call.instance.starts_with("s0")) {
        late = call;
      } else {
        Reply(call, Success(call));
      }
    }
    const time_point begin = Now();
    while (AnswerOf(id) == nullptr) AdvanceTime(milliseconds(1));
    const duration elapsed = Now() - begin;
    Reply(late, Success(late));
    for (const auto& call : DrainSends()) Reply(call, Success(call));
    AdvanceTime(std::chrono::seconds(20));
    return elapsed;
  };
  const duration at_once = answered_after(milliseconds(600));
  CHECK(at_once - answered_after(milliseconds(585)) == milliseconds(15));
  // Another kind of client, not one that has waited for 300 ms.
  CHECK(answered_after(milliseconds(300)) == at_once);
}

// Guards against the time of a new connection being left out of the latency
// that its client sees.
TEST_CASE_METHOD(query_fixture, "Query_ConnectionIsNew_IsAnsweredEarlier") {
  round_trip = milliseconds(6);
  const duration kept = TimeWithoutFirstShard();
  new_connection = true;
  CHECK(kept - TimeWithoutFirstShard() == milliseconds(6));
}

// Guards against taking any largest value for the time limit of all clients.
TEST_CASE("Delay_ManyDifferentLimits_IsUnknown") {
  client_delay delays;
  int known = 0;
  for (int i = 0; i < 2000; ++i) {
    const int ms = 500 + i * 37 % 400;
    known += delays.Add(milliseconds(ms), milliseconds(50)).has_value();
  }
  CHECK(known < 20);
}

// Guards against a time limit that is remembered after the clients have changed
// it, and against two kinds of clients whose limits are confused.
TEST_CASE("Delay_LimitsOfClients_AreFollowed") {
  client_delay delays;
  const auto wait = [&](int ms) {
    return delays.Add(milliseconds(ms), milliseconds(50));
  };
  CHECK_FALSE(wait(600));
  for (int i = 0; i < 30; ++i) {
    wait(600);
    wait(2500);
  }
  CHECK(wait(600) == duration{});
  CHECK(wait(585) == milliseconds(15));
  CHECK(wait(2486) == milliseconds(14));
  CHECK_FALSE(wait(540));
  for (int i = 0; i < 10'000; ++i) wait(600);
  for (int i = 0; i < 3000; ++i) wait(i % 3 == 0 ? 575 : 580);
  CHECK(wait(575) == milliseconds(5));
}

// Guards against answers that are late by the time that a busy host needs to
// read a request.
TEST_CASE("Lag_TimersAreLate_IsRememberedForAMoment") {
  loop_lag lag;
  const time_point now(std::chrono::seconds(5));
  CHECK(lag.At(now) == duration{});
  lag.OnTimer(now, now + milliseconds(12));
  CHECK(lag.At(now + milliseconds(12)) == milliseconds(12));
  lag.OnTimer(now + milliseconds(20), now + milliseconds(21));
  CHECK(lag.At(now + milliseconds(50)) >= milliseconds(10));
  CHECK(lag.At(now + std::chrono::seconds(4)) < milliseconds(1));
}

// Guards against waiting for one slow shard beyond the latency objective.
TEST_CASE_METHOD(query_fixture,
                 "Query_OneShardWithoutAnswer_AnswersWithinObjective") {
  const auto id = Request("/query/x");
  auto sends = DrainSends();
  for (std::size_t i = 0; i < 3; ++i) Reply(sends[i], Success(sends[i]));
  AdvanceTime(milliseconds(149));
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->missing_parts == 1);
  CHECK(answer->part_signatures.size() == 3);
}

// Guards against answering with too few shards, and against reporting the query
// as not run.
TEST_CASE_METHOD(query_fixture, "Query_TwoShardsFail_IsNotReportedNotRun") {
  const auto id = Request("/query/x");
  for (int round = 0; round < 2; ++round) {
    for (const auto& send : DrainSends()) {
      const bool fails =
          send.instance.starts_with("s0") || send.instance.starts_with("s1");
      if (fails) {
        Fail(send, leaf_failure::broken);
      } else {
        Reply(send, Success(send));
      }
    }
  }
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 502);
  CHECK_FALSE(answer->retry_after);
}

// Guards against a missing part although another replica could answer.
TEST_CASE_METHOD(query_fixture, "Query_LeafLate_AsksASecondLeafOnce") {
  const auto id = Request("/query/x");
  auto sends = DrainSends();
  for (std::size_t i = 0; i < 3; ++i) Reply(sends[i], Success(sends[i]));
  AdvanceTime(milliseconds(130));
  const auto hedges = DrainSends();
  REQUIRE(hedges.size() == 1);
  CHECK(hedges[0].instance != sends[3].instance);
  Reply(hedges[0], Success(hedges[0]));
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->missing_parts == 0);
  // The late answer of the first leaf must not be sent to the client.
  Reply(sends[3], Success(sends[3]));
  CHECK(AnswersOf(id) == 1);
  CHECK(Core().OpenCalls() == 0);
}

// Guards against more attempts per shard than the route allows.
TEST_CASE_METHOD(query_fixture, "Query_LeafsFail_AsksNoMoreThanAttempts") {
  Request("/query/x");
  std::size_t asked = 0;
  for (int round = 0; round < 5; ++round) {
    for (const auto& send : DrainSends()) {
      if (!send.instance.starts_with("s0")) continue;
      ++asked;
      Fail(send, leaf_failure::broken);
    }
  }
  CHECK(asked == 2);
}

// Guards against a duplicate signature, which makes the whole answer invalid.
TEST_CASE_METHOD(query_fixture, "Query_DuplicateSignature_CountsOnce") {
  const auto id = Request("/query/x");
  for (const auto& send : DrainSends()) {
    auto answer = Success(send);
    if (send.instance.starts_with("s1")) answer.signature = "s0";
    if (send.instance.starts_with("s0")) answer.signature = "s0";
    Reply(send, answer);
  }
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->part_signatures.size() == 3);
  CHECK(answer->missing_parts == 1);
}

// Guards against leafs that work for a disconnected client.
TEST_CASE_METHOD(query_fixture, "Query_ClientDisconnects_CancelsLeafRequests") {
  const auto id = Request("/query/x");
  const auto sends = DrainSends();
  Disconnect(id);
  CHECK(Cancelled().size() == sends.size());
  CHECK(Core().OpenCalls() == 0);
  CHECK(Core().OpenExchanges() == 0);
}

// Guards against mixing the shards of two configurations in one answer.
TEST_CASE_METHOD(query_fixture, "Query_ConfigChangesMeanwhile_KeepsItsShards") {
  const auto id = Request("/query/x");
  const auto sends = DrainSends();
  Configure(Config(2, 2));
  for (const auto& send : sends) Reply(send, Success(send));
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->part_signatures.size() == 4);
  Request("/query/x");
  CHECK(DrainSends().size() == 2);
}

// Guards against sending parts of a query that cannot be answered, and against
// reporting that it may have run.
TEST_CASE_METHOD(query_fixture, "Query_TooFewShardsHaveLeafs_AsksNone") {
  Configure(Config(2, 9));
  const auto id = Request("/query/x");
  CHECK(DrainSends().empty());
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 503);
  CHECK(answer->cause == refusal_cause::no_leaf);
  CHECK(answer->retry_after.value() >= milliseconds(200));
}

// Guards against refusing queries while the registry is only partly read and
// most shards have no leaf yet.
TEST_CASE("Query_RegistryHalfRead_WaitsForTheRest") {
  gateway_fixture host;
  host.Configure(gateway_fixture::Config());
  host.complete = false;
  host.Register(gateway_fixture::Leaf("s0", "a-1"));
  const auto id = host.Request("/query/x");
  CHECK(host.AnswerOf(id) == nullptr);
  CHECK(host.DrainSends().empty());
  for (const char* service : {"s1", "s2"}) {
    host.Register(gateway_fixture::Leaf(service, "a-1"));
  }
  host.complete = true;
  host.Register(gateway_fixture::Leaf("s3", "a-1"));
  CHECK(host.DrainSends().size() == 4);
}

// Guards against losing records of a large part that waits for the others.
TEST_CASE_METHOD(query_fixture, "Query_PartIsLarge_KeepsItsGreatestRecords") {
  const auto id = Request("/query/x");
  auto sends = DrainSends();
  REQUIRE(sends.size() == 4);
  std::string large;
  for (int i = 0; i < 1000; ++i) large += std::string(16, 'a');
  large += std::string(16, 'z');
  Reply(sends[0], Success(sends[0], large + std::string(16, 'y')));
  for (std::size_t i = 1; i < 4; ++i) {
    Reply(sends[i], Success(sends[i], std::string(16, 'x')));
  }
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->body ==
        std::string(16, 'z') + std::string(16, 'y') + std::string(16, 'x'));
}

}  // namespace corianderrail::gateway
