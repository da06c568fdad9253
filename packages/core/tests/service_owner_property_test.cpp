/** @file service_owner_property_test.cpp Invariants under random faults. */

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace corianderrail {
namespace {

/** Random behavior of a leaf, with each kind of fault. */
leaf_script RandomScript(owner_fixture& bench, bool order,
                         std::map<order_id, std::uint32_t>& shed,
                         const leaf_request& request) {
  leaf_script script;
  script.latency =
      duration(500 + static_cast<duration::rep>(bench.random.Below(30'000)));
  const std::uint64_t fault = bench.random.Below(20);
  if (fault == 0) script.broken = true;
  if (fault == 1) script.silent = true;
  if (fault == 2) script.status = leaf_status::not_run;
  if (fault == 3) script.status = leaf_status::wrong_snapshot;
  if (fault == 4) script.status = leaf_status::failed;
  if (fault == 5) script.draining = bench.random.Below(10) == 0;
  const bool ran_not =
      !script.broken && !script.silent && (fault == 2 || fault == 3);
  if (order && ran_not) ++shed[*request.order];
  return script;
}

/** One random step: a query, an order, changed connections or topology, or a
 *  pause. */
void Step(owner_fixture& bench, std::uint64_t& orders) {
  const std::uint64_t action = bench.random.Below(40);
  const rank urgency = kAllRanks[bench.random.Below(kRankCount)];
  if (action < 25) {
    bench.Query(milliseconds(5 + bench.random.Below(200)), urgency);
  } else if (action < 35) {
    bench.Order(bench.MakeOrder(1 + bench.random.Below(++orders)));
  } else if (action < 37) {
    const leaf_id leaf = bench.Leaf(0, bench.random.Below(3));
    bench.SetOpen(leaf, bench.random.Below(5));
  } else if (action < 38) {
    bench.owner.SetTopology(
        owner_fixture::MakeTopology(1 + bench.random.Below(2), 3), bench.now,
        bench.effects);
    bench.ApplyEffects();
  } else if (action < 39) {
    bench.now += milliseconds(bench.random.Below(4000));
    bench.owner.OnClockGap(bench.now, bench.effects);
    bench.ApplyEffects();
  }
  bench.RunFor(duration(bench.random.Below(5'000)));
}

// Guards against more requests than slots, parts that are answered twice or
// never, and orders that are sent again although an earlier request may have
// run.
TEST_CASE("ServiceOwner_RandomFaults_KeepInvariants") {
  const bool held = rc::check([](std::uint64_t seed) {
    owner_fixture bench(2, 3, {}, seed);
    std::map<order_id, std::uint32_t> shed;
    for (std::uint32_t s = 0; s < 2; ++s) {
      for (std::uint32_t i = 0; i < 3; ++i) {
        bench.At(s, i).behave = [&](const leaf_request& request) {
          return RandomScript(bench, request.order.has_value(), shed, request);
        };
      }
    }
    std::uint64_t orders = 0;
    for (int i = 0; i < 300; ++i) Step(bench, orders);
    bench.RunFor(milliseconds(10'000));
    RC_ASSERT(bench.owner.Idle());
    std::map<std::pair<query_id, partition_id>, int> answers;
    for (const auto& [query, part] : bench.results) {
      ++answers[{query, part.partition}];
    }
    RC_ASSERT(answers.size() == 2 * bench.last_query);
    for (const auto& [part, count] : answers) RC_ASSERT(count == 1);
    for (const auto& [id, count] : bench.order_requests) {
      RC_ASSERT(count <= 1 + shed[id]);
    }
    for (std::uint32_t s = 0; s < 2; ++s) {
      for (std::uint32_t i = 0; i < 3; ++i) {
        RC_ASSERT(bench.At(s, i).max_running <= 2);
      }
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace corianderrail
