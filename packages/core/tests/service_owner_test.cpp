/** @file service_owner_test.cpp Tests of dispatch, hedges and outcomes. */

#include "core/service_owner.h"

#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace corianderrail {
namespace {

// Guards against parts that are lost or answered twice in plain operation.
TEST_CASE("ServiceOwner_PlainQuery_AnswersEachPartOnce") {
  owner_fixture bench(3);
  bench.Query();
  bench.RunFor(milliseconds(20));
  CHECK(bench.results.size() == 3);
  CHECK(bench.Count(part_status::ok) == 3);
  CHECK(bench.LeafRequests() == 3);
  CHECK(bench.owner.Idle());
}

// Guards against requests beyond a leaf's slots, which the leaf would shed.
TEST_CASE("ServiceOwner_Burst_KeepsSlotLimit") {
  owner_fixture bench;
  for (int i = 0; i < 100; ++i) bench.Query(milliseconds(2000));
  bench.RunFor(milliseconds(2000));
  CHECK(bench.Count(part_status::ok) == 100);
  for (std::uint32_t i = 0; i < 3; ++i) {
    CHECK(bench.At(0, i).most_running <= 2);
  }
}

// Guards against a straggler that sets the tail of its service, and against
// buying that tail with more than 5% extra requests.
TEST_CASE("ServiceOwner_Straggler_BoundsTailAndExtraLoad") {
  owner_fixture healthy;
  healthy.SetLatency(milliseconds(8), milliseconds(4));
  healthy.Load(5000, milliseconds(4));
  owner_fixture bench;
  bench.SetLatency(milliseconds(8), milliseconds(4));
  bench.At(0, 0).behave = [&](const leaf_request&) {
    leaf_script script;
    script.latency = milliseconds(200);
    return script;
  };
  bench.Load(5000, milliseconds(4));
  bench.RunFor(milliseconds(1000));
  CHECK(bench.Count(part_status::ok) == 5000);
  INFO("p99 " << bench.Percentile(0.99).count() << " healthy "
              << healthy.Percentile(0.99).count() << " requests "
              << bench.LeafRequests());
  CHECK(bench.Percentile(0.99) < 2 * healthy.Percentile(0.99));
  CHECK(bench.LeafRequests() <= 5250);
}

// Guards against running a copy of an order that was already taken.
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

}  // namespace
}  // namespace corianderrail
