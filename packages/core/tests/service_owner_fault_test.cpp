/** @file service_owner_fault_test.cpp Tests with slow, failing and draining
 * leafs. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "core/leaf_health.h"
#include "owner_fixture.h"

namespace corianderrail {
namespace {

leaf_script Script(leaf_status status) {
  leaf_script script;
  script.latency = milliseconds(1);
  script.status = status;
  return script;
}

/** Delays 1 in `one_in` requests of a rank to 200 ms. */
void SetRareDelay(owner_fixture& bench, rank urgency, std::uint64_t one_in) {
  for (std::uint32_t i = 0; i < 3; ++i) {
    bench.At(0, i).behave = [&bench, urgency,
                             one_in](const leaf_request& sent) {
      const auto spread = static_cast<duration::rep>(bench.random.Below(4000));
      leaf_script script;
      script.latency = milliseconds(8) + duration(spread);
      if (sent.urgency == urgency && bench.random.Below(one_in) == 0) {
        script.latency = milliseconds(200);
      }
      return script;
    };
  }
}

// Guards against slow urgent requests that get no hedge under overload, because
// queued background work takes every slot that becomes free.
TEST_CASE("ServiceOwner_UrgentDelayedInFlood_HedgeTakesNextFreeSlot") {
  owner_fixture bench;
  SetRareDelay(bench, rank::urgent, 10);
  for (int step = 0; step < 500; ++step) {
    for (int i = 0; i < 20; ++i)
      bench.Query(milliseconds(500), rank::background);
    bench.Query(milliseconds(500), rank::urgent);
    bench.RunFor(milliseconds(20));
  }
  bench.RunFor(milliseconds(1000));
  std::vector<duration> urgent;
  auto latency = bench.latencies.begin();
  for (const auto& [query, part] : bench.results) {
    if (part.status != part_status::ok) continue;
    if (bench.rank_of.at(query) == rank::urgent) urgent.push_back(*latency);
    ++latency;
  }
  REQUIRE(urgent.size() == 500);
  std::sort(urgent.begin(), urgent.end());
  CHECK(urgent[490] <= milliseconds(60));
  CHECK(bench.owner.Counters().hedges * 20 <= bench.LeafRequests());
}

// Guards against idle slots at a leaf that has one slow request but answers
// others at the usual speed.
TEST_CASE("ServiceOwner_OneSlowRequest_KeepsOtherSlotsBusy") {
  owner_settings settings;
  settings.extra_load = 0;
  owner_fixture bench(1, 3, settings);
  bench.SetLatency(milliseconds(8), milliseconds(4));
  bench.Load(300, milliseconds(4));
  bool slow = true;
  bench.At(0, 0).behave = [&](const leaf_request&) {
    leaf_script script;
    if (std::exchange(slow, false)) script.latency = milliseconds(500);
    return script;
  };
  for (int i = 0; i < 500; ++i) bench.Query(milliseconds(2000));
  bench.RunFor(milliseconds(50));
  const std::uint64_t before = bench.At(0, 0).requests;
  bench.RunFor(milliseconds(400));
  // The other slot of the leaf can run 40 requests of 10 ms.
  CHECK(bench.At(0, 0).requests - before >= 38);
}

// Guards against a loss of coverage while a healthy replica is left.
TEST_CASE("ServiceOwner_DeadReplica_RetriesOnAnother") {
  owner_fixture bench;
  bench.Load(200, milliseconds(5));
  bench.At(0, 0).behave = [](const leaf_request&) {
    leaf_script script;
    script.latency = milliseconds(1);
    script.broken = true;
    return script;
  };
  bench.Load(1000, milliseconds(5));
  bench.RunFor(milliseconds(500));
  CHECK(bench.Count(part_status::ok) == 1200);
  CHECK(bench.LeafRequests() <= 1260);
}

// Guards against a replica that never replies and so raises the tail latency.
TEST_CASE("ServiceOwner_SilentReplica_IsEjected") {
  owner_fixture bench;
  bench.Load(200, milliseconds(5));
  bench.At(0, 0).behave = [](const leaf_request&) {
    leaf_script script;
    script.silent = true;
    return script;
  };
  bench.Load(1000, milliseconds(5));
  bench.RunFor(milliseconds(500));
  CHECK(bench.Count(part_status::ok) == 1200);
  CHECK(bench.owner.Counters().ejections >= 1);
  CHECK(bench.LeafRequests() <= 1260);
}

// Guards against a leaf that stays ejected after it has recovered.
TEST_CASE("ServiceOwner_RecoveredStraggler_IsReadmitted") {
  owner_fixture bench;
  bench.SetLatency(milliseconds(10));
  bench.Load(200, milliseconds(4));
  bench.At(0, 0).behave = [](const leaf_request&) {
    leaf_script script;
    script.latency = milliseconds(200);
    return script;
  };
  bench.Load(1000, milliseconds(4));
  CHECK(bench.owner.Counters().ejections == 1);
  bench.SetLatency(milliseconds(10));
  bench.Load(1000, milliseconds(4));
  const std::uint64_t before = bench.At(0, 0).requests;
  bench.Load(300, milliseconds(4));
  CHECK(bench.At(0, 0).requests - before >= 50);
}

// Guards against the ejection of so many replicas that the rest are overloaded.
TEST_CASE("ServiceOwner_TwoStragglersOfThree_EjectsAtMostOne") {
  owner_fixture bench;
  bench.SetLatency(milliseconds(10));
  bench.Load(200, milliseconds(4));
  for (std::uint32_t i = 0; i < 2; ++i) {
    bench.At(0, i).behave = [](const leaf_request&) {
      leaf_script script;
      script.latency = milliseconds(100);
      return script;
    };
  }
  bench.Load(50, milliseconds(4));
  CHECK(bench.owner.Counters().ejections <= 1);
}

// Guards against new work for a leaf after its in-band drain signal, and
// against other hosts that are not notified of it.
TEST_CASE("ServiceOwner_InBandDrain_StopsWorkAndNotifiesPeers") {
  owner_fixture bench;
  bench.At(0, 0).behave = [](const leaf_request&) {
    leaf_script script;
    script.draining = true;
    return script;
  };
  while (bench.At(0, 0).requests == 0) bench.Load(1, milliseconds(20));
  const std::uint64_t seen = bench.At(0, 0).requests;
  bench.Load(200, milliseconds(4));
  bench.RunFor(milliseconds(100));
  CHECK(bench.At(0, 0).requests == seen);
  CHECK(bench.Count(part_status::ok) == bench.last_query);
  REQUIRE(bench.observations.size() == 3);
  CHECK(bench.observations[0].leaf == bench.Leaf(0, 0));
  CHECK(bench.observations[0].draining);
}

// Guards against new work for a leaf after a drain signal from another host or
// from the host list.
TEST_CASE("ServiceOwner_DrainFromOthers_StopsWork") {
  const bool by_peer = GENERATE(true, false);
  owner_fixture bench(1, 2);
  if (by_peer) {
    bench.owner.OnLeafObservation({bench.Leaf(0, 0), true}, bench.now,
                                  bench.effects);
  } else {
    bench.owner.OnHostList({true, {{"10.0.0.0", true}}}, bench.now,
                           bench.effects);
  }
  bench.ApplyEffects();
  bench.Load(50, milliseconds(10));
  CHECK(bench.At(0, 0).requests == 0);
  CHECK(bench.Count(part_status::ok) == 50);
  if (by_peer) {
    bench.owner.OnLeafObservation({bench.Leaf(0, 0), false}, bench.now,
                                  bench.effects);
  } else {
    bench.owner.OnHostList({true, {{"10.0.0.0", false}}}, bench.now,
                           bench.effects);
  }
  bench.ApplyEffects();
  bench.Load(50, milliseconds(10));
  CHECK(bench.At(0, 0).requests > 0);
}

// Guards against a drained leaf that gets no work after its restart.
TEST_CASE("ServiceOwner_DrainedLeafRestarts_GetsWorkAgain") {
  owner_fixture bench(1, 2);
  bench.auto_connect = false;
  bench.owner.OnLeafObservation({bench.Leaf(0, 0), true}, bench.now,
                                bench.effects);
  bench.RunFor(milliseconds(100));
  bench.SetOpen(bench.Leaf(0, 0), 0);
  bench.RunFor(milliseconds(2000));
  bench.SetOpen(bench.Leaf(0, 0), 1);
  bench.Load(50, milliseconds(10));
  CHECK(bench.At(0, 0).requests > 0);
}

// Guards against a wrong_snapshot result while a replica holds the snapshot.
TEST_CASE("ServiceOwner_OneReplicaLacksSnapshot_UsesAnother") {
  owner_fixture bench;
  bench.At(0, 0).behave = [](const leaf_request&) {
    return Script(leaf_status::wrong_snapshot);
  };
  bench.Load(100, milliseconds(5));
  bench.RunFor(milliseconds(500));
  CHECK(bench.Count(part_status::ok) == 100);
}

// Guards against an entry that cannot plan a query again because the owner does
// not report the newer snapshot.
TEST_CASE("ServiceOwner_NoReplicaHoldsSnapshot_ReportsNewest") {
  owner_fixture bench;
  for (std::uint32_t i = 0; i < 3; ++i) {
    bench.At(0, i).behave = [](const leaf_request&) {
      leaf_script script = Script(leaf_status::wrong_snapshot);
      script.newest = snapshot_id{9};
      return script;
    };
  }
  bench.Load(20, milliseconds(5));
  bench.RunFor(milliseconds(500));
  CHECK(bench.Count(part_status::wrong_snapshot) == 20);
  CHECK(bench.results.back().second.newest == snapshot_id{9});
}

// Guards against a wrong_snapshot result for a part that the leaf holds: after
// a repartition, it may lack only another part of the snapshot.
TEST_CASE("LeafHealth_LacksOnePart_KeepsOthers") {
  leaf_health leaf;
  const time_point now{};
  leaf.RecordMissingPart(kSnapshot, {0, 10}, now);
  CHECK(leaf.LacksPart(kSnapshot, {0, 10}, now));
  CHECK_FALSE(leaf.LacksPart(kSnapshot, {10, 20}, now));
  CHECK_FALSE(leaf.LacksPart(kSnapshot, {0, 10}, now + milliseconds(500)));
}

// Guards against shed requests that are lost or retried beyond the budget.
TEST_CASE("ServiceOwner_SheddingLeaf_RetriesWithinBudget") {
  owner_fixture bench;
  bench.At(0, 0).behave = [&](const leaf_request&) {
    leaf_script script;
    if (bench.random.Below(10) == 0) script.status = leaf_status::not_run;
    return script;
  };
  bench.Load(2000, milliseconds(5));
  bench.RunFor(milliseconds(500));
  CHECK(bench.Count(part_status::ok) == 2000);
  CHECK(bench.LeafRequests() <= 2110);
}

// Guards against a retry that waits until its deadline, because a service with
// little traffic earns only one token in 20 requests.
TEST_CASE("ServiceOwner_QuietServiceWithBrokenReplica_RetriesWithinSecond") {
  owner_fixture bench;
  bench.At(0, 0).behave = [](const leaf_request&) {
    leaf_script script;
    script.latency = milliseconds(1);
    script.broken = true;
    return script;
  };
  for (int i = 0; i < 20; ++i) {
    bench.Query(std::chrono::seconds(20));
    bench.RunFor(milliseconds(1500));
    CHECK(bench.Count(part_status::ok) == static_cast<std::size_t>(i + 1));
  }
}

// Guards against parts that stay open after their service has been removed.
TEST_CASE("ServiceOwner_ServiceRemoved_AnswersFailed") {
  owner_fixture bench(2, 1);
  for (int i = 0; i < 5; ++i) bench.Query();
  bench.owner.SetTopology(owner_fixture::MakeTopology(1, 1), bench.now,
                          bench.effects);
  bench.ApplyEffects();
  CHECK(bench.Count(part_status::failed) == 5);
  bench.RunFor(milliseconds(500));
  CHECK(bench.results.size() == 10);
  CHECK(bench.Count(part_status::ok) == 5);
  CHECK(bench.owner.Idle());
}

// Guards against work that is sent although it expired during a pause of the
// process, and against leafs that seem slow because of the pause.
TEST_CASE("ServiceOwner_ClockGap_DropsExpiredWork") {
  owner_fixture bench(1, 2);
  bench.Load(100, milliseconds(10));
  for (int i = 0; i < 20; ++i) bench.Query();
  const std::uint64_t before = bench.LeafRequests();
  bench.now += milliseconds(60'000);
  bench.owner.OnClockGap(bench.now, bench.effects);
  bench.ApplyEffects();
  CHECK(bench.results.size() == 120);
  CHECK(bench.LeafRequests() == before);
  bench.RunFor(milliseconds(1000));
  bench.Load(100, milliseconds(10));
  CHECK(bench.Count(part_status::ok) == 200);
  CHECK(bench.owner.Counters().ejections == 0);
}

}  // namespace
}  // namespace corianderrail
