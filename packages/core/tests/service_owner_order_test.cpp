/** @file service_owner_order_test.cpp Tests of order attempts and their log. */

#include <catch2/catch.hpp>

#include "core/attempt_log.h"
#include "owner_fixture.h"

namespace corianderrail {
namespace {

constexpr order_id kOrder{kEntry, 1};

// Guards against running a duplicate of an order attempt.
TEST_CASE("ServiceOwner_DuplicateAttempt_RunsOnce") {
  owner_fixture bench;
  bench.Order(bench.MakeOrder(1));
  bench.Order(bench.MakeOrder(1));
  bench.RunFor(milliseconds(50));
  bench.Order(bench.MakeOrder(1));
  CHECK(bench.LeafRequests() == 1);
  REQUIRE(bench.orders.size() == 2);
  CHECK(bench.orders[0].outcome == run_state::ran);
  CHECK(bench.orders[1].outcome == run_state::ran);
}

// Guards against a second run of an order that a leaf may have run.
TEST_CASE("ServiceOwner_OrderUncertain_EndsUnknownWithoutRetry") {
  owner_fixture bench;
  const int fault = GENERATE(0, 1, 2);
  for (std::uint32_t i = 0; i < 3; ++i) {
    bench.At(0, i).behave = [fault](const leaf_request&) {
      leaf_script script;
      script.broken = fault == 0;
      script.silent = fault == 1;
      if (fault == 2) script.status = leaf_status::failed;
      return script;
    };
  }
  bench.Order(bench.MakeOrder(1));
  bench.RunFor(milliseconds(3000));
  bench.Order(bench.MakeOrder(1, 1));
  bench.RunFor(milliseconds(3000));
  CHECK(bench.order_requests[kOrder] == 1);
  REQUIRE(bench.orders.size() == 2);
  CHECK(bench.orders[0].outcome == run_state::unknown);
  CHECK(bench.orders[1].outcome == run_state::unknown);
  CHECK(bench.owner.Idle());
}

// Guards against the failure of an order that a leaf shed without running it.
TEST_CASE("ServiceOwner_OrderShed_RunsOnAnotherLeaf") {
  owner_fixture bench;
  int shed = 0;
  for (std::uint32_t i = 0; i < 3; ++i) {
    bench.At(0, i).behave = [&shed](const leaf_request&) {
      leaf_script script;
      if (shed++ == 0) script.status = leaf_status::not_run;
      return script;
    };
  }
  bench.Order(bench.MakeOrder(1));
  bench.RunFor(milliseconds(100));
  CHECK(bench.order_requests[kOrder] == 2);
  REQUIRE(bench.orders.size() == 1);
  CHECK(bench.orders[0].outcome == run_state::ran);
}

// Guards against a late duplicate that runs after the owner reported not_run.
TEST_CASE("ServiceOwner_OrderDroppedInQueue_IsRecordedNotRun") {
  owner_fixture bench(1, 1);
  bench.auto_connect = false;
  bench.SetOpen(bench.Leaf(0, 0), 0);
  bench.Order(bench.MakeOrder(1));
  bench.RunFor(milliseconds(1000));
  bench.SetOpen(bench.Leaf(0, 0), 4);
  bench.Order(bench.MakeOrder(1));
  bench.RunFor(milliseconds(1000));
  CHECK(bench.order_requests.empty());
  REQUIRE(bench.orders.size() == 2);
  CHECK(bench.orders[0].outcome == run_state::not_run);
  CHECK(bench.orders[1].outcome == run_state::not_run);
  // After not_run the home may try again, with a higher attempt number.
  bench.Order(bench.MakeOrder(1, 1));
  bench.RunFor(milliseconds(1000));
  CHECK(bench.order_requests[kOrder] == 1);
  CHECK(bench.orders.back().outcome == run_state::ran);
}

// Guards against running an attempt that was sent to an earlier incarnation of
// this host, which may have run it.
TEST_CASE("ServiceOwner_OrderForOtherIncarnation_EndsUnknown") {
  owner_fixture bench;
  bench.Order(bench.MakeOrder(1), incarnation_id{9});
  bench.Order(bench.MakeOrder(2), incarnation_id{});
  bench.RunFor(milliseconds(100));
  CHECK(bench.LeafRequests() == 0);
  REQUIRE(bench.orders.size() == 2);
  CHECK(bench.orders[0].outcome == run_state::unknown);
  CHECK(bench.orders[1].outcome == run_state::unknown);
}

// Guards against an order that runs in a service that does not hold its key.
TEST_CASE("ServiceOwner_OrderForForeignKey_IsNotRun") {
  owner_fixture bench(2);
  order_attempt body = bench.MakeOrder(1);
  body.service = service_id{1};
  bench.Order(body);
  CHECK(bench.LeafRequests() == 0);
  REQUIRE(bench.orders.size() == 1);
  CHECK(bench.orders[0].outcome == run_state::not_run);
  CHECK(bench.orders[0].reason == refusal_reason::no_topology);
}

// Guards against queued orders that run after a pause of the process, when
// their home no longer waits, and against orders in flight reported as not run.
TEST_CASE("ServiceOwner_ClockGapWithOrders_ReportsWhetherTheyRan") {
  owner_fixture bench(1, 1);
  bench.At(0, 0).behave = [](const leaf_request&) {
    leaf_script script;
    script.silent = true;
    return script;
  };
  bench.Order(bench.MakeOrder(1));
  bench.Order(bench.MakeOrder(2));
  bench.now += milliseconds(60'000);
  bench.owner.OnClockGap(bench.now, bench.effects);
  bench.ApplyEffects();
  bench.RunFor(milliseconds(3000));
  REQUIRE(bench.orders.size() == 2);
  for (const order_result& result : bench.orders) {
    CHECK(result.outcome ==
          (result.id.sequence == 1 ? run_state::unknown : run_state::not_run));
  }
}

// Guards against running an order whose record has been dropped.
TEST_CASE("AttemptLog_OutsideWindow_IsUnknown") {
  attempt_log log(4);
  for (std::uint64_t sequence = 0; sequence < 10; ++sequence) {
    const order_id id{kEntry, sequence};
    REQUIRE(log.Register(id, 0, service_id{}) == attempt_verdict::run);
    log.Finish(id, run_state::ran, {}, "");
  }
  for (std::uint64_t sequence = 0; sequence < 6; ++sequence) {
    CHECK(log.Register({kEntry, sequence}, 0, service_id{}) ==
          attempt_verdict::unknown);
  }
  CHECK(log.Register({kEntry, 9}, 0, service_id{}) ==
        attempt_verdict::recorded);
}

// Guards against dropping the record of an order that is still at a leaf.
TEST_CASE("AttemptLog_PendingOutsideWindow_IsKept") {
  attempt_log log(2);
  for (std::uint64_t sequence = 1; sequence < 10; ++sequence) {
    log.Register({kEntry, sequence}, 0, service_id{});
  }
  CHECK(log.Register({kEntry, 1}, 0, service_id{}) == attempt_verdict::wait);
}

// Guards against orders of an earlier incarnation of a home that run after the
// restarted home has answered unknown for them.
TEST_CASE("AttemptLog_EarlierIncarnationOfHome_IsUnknown") {
  attempt_log log(4);
  const host_ref newer{kEntry.host, incarnation_id{21}};
  CHECK(log.Register({newer, 1}, 0, service_id{}) == attempt_verdict::run);
  CHECK(log.Register({kEntry, 1}, 0, service_id{}) == attempt_verdict::unknown);
}

// Guards against a late duplicate that is handled in place of a newer attempt.
TEST_CASE("AttemptLog_OlderAttempt_IsIgnored") {
  attempt_log log(4);
  log.Register(kOrder, 0, service_id{});
  log.Finish(kOrder, run_state::not_run, {}, "");
  CHECK(log.Register(kOrder, 1, service_id{}) == attempt_verdict::run);
  CHECK(log.Register(kOrder, 0, service_id{}) == attempt_verdict::ignore);
}

}  // namespace
}  // namespace corianderrail
