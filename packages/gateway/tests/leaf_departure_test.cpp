/** @file leaf_departure_test.cpp Leafs that leave. */

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

/** A service with one leaf, whose registry entry never changes. */
class departure_fixture : public plain_fixture {
 public:
  departure_fixture() {
    Remove("plain@b-1");
    Remove("plain@c-1");
    AdvanceTime(seconds(4));
  }

  static leaf_answer Leaving(const send_leaf_effect& send) {
    leaf_answer answer = Success(send);
    answer.leaving = true;
    return answer;
  }

  /** Sends a request that the leaf answers. */
  void Serve(bool leaving) {
    Request("/order/x");
    const auto send = OnlySend();
    Reply(send, leaving ? Leaving(send) : Success(send));
  }

  /** Whether a request that arrives now reaches the leaf. */
  bool Reaches() {
    const auto id = Request("/order/x");
    const auto sends = DrainSends();
    if (sends.empty()) {
      REQUIRE(AnswerOf(id) != nullptr);
      CHECK(AnswerOf(id)->status == 503);
      return false;
    }
    Reply(sends[0], Success(sends[0]));
    return true;
  }
};

}  // namespace

// Guards against requests that reach a leaf after it has exited: the store is
// out of reach, and only the leaf's answers say that it leaves.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_SaysItLeaves_GetsNoRequestAfterItsDrainTime") {
  Serve(false);
  Serve(true);
  CHECK(Reaches());
  AdvanceTime(milliseconds(2500));
  CHECK(Reaches());
  AdvanceTime(milliseconds(100));
  CHECK_FALSE(Reaches());
  AdvanceTime(seconds(10));
  CHECK_FALSE(Reaches());
}

// Guards against a leaf that is used again because older knowledge arrives
// later: an answer without the statement, a changed entry, a good connection.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_SaidItLeaves_OlderKnowledgeDoesNotBringItBack") {
  Serve(false);
  Request("/order/x");
  const auto slow = OnlySend();
  Serve(true);
  Reply(slow, Success(slow));
  auto entry = Leaf("plain", "a-1");
  entry.slots = 3;
  Register(entry);
  AdvanceTime(milliseconds(2600));
  CHECK_FALSE(Reaches());
}

// Guards against treating a leaf that restarted under its Id as leaving.
TEST_CASE_METHOD(departure_fixture, "Leaf_RestartsAfterItLeft_StartsClean") {
  auto entry = Leaf("plain", "a-1");
  entry.born_unix_ms = 1000;
  Register(entry);
  Serve(false);
  Serve(true);
  AdvanceTime(seconds(3));
  CHECK_FALSE(Reaches());
  entry.born_unix_ms = 2000;
  Register(entry);
  CHECK(Reaches());
}

// Guards against a leaf with little load that is used until its exit: it may
// have left long before its first answer that says so.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_FirstAnswerSaysItLeaves_GetsNoFurtherRequest") {
  Serve(true);
  CHECK_FALSE(Reaches());
}

// Guards against requests to a leaving leaf while others have capacity.
TEST_CASE_METHOD(plain_fixture, "Leaf_SaysItLeaves_OthersAreUsed") {
  Request("/read/x");
  const auto send = OnlySend();
  auto answer = Success(send);
  answer.leaving = true;
  Reply(send, answer);
  for (int i = 0; i < 3; ++i) {
    Request("/read/x");
    CHECK(OnlySend().instance != send.instance);
  }
}

// Guards against taking the statement of another leaf, which got the address,
// for one of the leaf that was meant.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_OtherLeafAtItsAddressLeaves_IsNoStatement") {
  Serve(false);
  Request("/order/x");
  const auto send = OnlySend();
  auto answer = Leaving(send);
  answer.status = 421;
  Reply(send, answer);
  CHECK(Logged().back().kind != decision::leaf_leaving);
  Register(Leaf("plain", "a-1"));
  AdvanceTime(seconds(5));
  CHECK(Reaches());
}

// Guards against a request that waits for a connection until its leaf is gone.
TEST_CASE_METHOD(departure_fixture, "Leaf_Leaves_WaitingRequestsAreLimited") {
  Serve(false);
  const time_point served = Now();
  Serve(true);
  REQUIRE_FALSE(Stops().empty());
  CHECK(Stops().back().send_before == served + milliseconds(2550));
  AdvanceTime(milliseconds(2450));
  const auto id = Request("/order/x");
  const auto send = OnlySend();
  CHECK(send.send_before == served + milliseconds(2550));
  AdvanceTime(milliseconds(100));
  Fail(send, leaf_failure::withdrawn);
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == 503);
}

// Guards against a leaving leaf that is used beyond its drain time by a host
// that learned of it late: the source of its items was frozen.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_DrainLearnedLate_TimeCountsFromTheLastConfirmation") {
  auto leaf = Leaf("plain", "a-1");
  leaf.draining = true;
  change_age = milliseconds(1800);
  Register(leaf);
  AdvanceTime(milliseconds(700));
  CHECK(Reaches());
  AdvanceTime(milliseconds(100));
  CHECK_FALSE(Reaches());
}

// The same for a leaf that leaves without draining.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_RemovalLearnedLate_TimeCountsFromTheLastConfirmation") {
  change_age = milliseconds(1800);
  Remove("plain@a-1");
  AdvanceTime(milliseconds(700));
  CHECK(Reaches());
  AdvanceTime(milliseconds(100));
  CHECK_FALSE(Reaches());
}

// Guards against fresh time for a leaf whose drain began before this host knew
// of it.
TEST_CASE_METHOD(departure_fixture, "Leaf_FirstSeenDraining_GetsNoRequests") {
  Remove("plain@a-1");
  auto leaf = Leaf("plain", "b-1");
  leaf.draining = true;
  Register(leaf);
  Request("/order/x");
  for (const auto& send : DrainSends()) CHECK(send.instance != leaf.instance);
}

// Guards against dropping all leafs when the store returns from an outage in
// which their entries lapsed: they are back within two seconds.
TEST_CASE_METHOD(departure_fixture,
                 "Leaf_EntryLapsedInAnOutage_IsUsedUntilItReturns") {
  after_outage = true;
  change_age = seconds(10);
  Remove("plain@a-1");
  AdvanceTime(milliseconds(2000));
  CHECK(Reaches());
  after_outage = false;
  change_age = {};
  Register(Leaf("plain", "a-1"));
  AdvanceTime(seconds(5));
  CHECK(Reaches());
}

// Guards against work that a leaf cannot end before it exits.
TEST_CASE("Directory_WorkOutlivesTheLeaf_IsNotSent") {
  leaf_directory directory({seconds(3)});
  const time_point now(seconds(50));
  leaf_record record = gateway_fixture::Leaf("plain", "a-1");
  directory.Apply({"k", 1, record, false}, {now, false}, now);
  record.draining = true;
  directory.Apply({"k", 2, record, false}, {now, false}, now);
  const leaf_state& leaf = *directory.FindKey("k");
  const time_point late = now + milliseconds(2500);
  CHECK(directory.Eligibility(leaf, late, milliseconds(400)) ==
        leaf_eligibility::last_resort);
  CHECK(directory.Eligibility(leaf, late, milliseconds(600)) ==
        leaf_eligibility::unusable);
}

}  // namespace corianderrail::gateway
