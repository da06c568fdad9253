/** @file invariant_test.cpp Tests the tier's invariants in virtual time. */

#include <catch2/catch.hpp>
#include <span>
#include <vector>

#include "driver/load_generator.h"
#include "driver/order_load.h"
#include "driver/tier_host.h"

namespace corianderrail::driver {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A small fleet of the tier under load. */
class tier_fleet {
 public:
  tier_fleet(std::uint64_t seed, double load)
      : store_(SmallPlan()),
        fleet_(store_.Plan().hosts, store_.Plan().delays,
               TierFactory(store_, seed), seed),
        load_(fleet_, Streams(load), kDeadline, seed) {
    store_.Install(fleet_, fake_leaf_settings{}, seed);
    for (std::size_t i = 0; i < fleet_.HostCount(); ++i) fleet_.StartHost(i);
    Run(kTierStartTime);
    load_.Start();
  }

  void Run(duration length) { fleet_.RunUntil(fleet_.Now() + length); }

  void Finish() {
    load_.Stop();
    Run(kDeadline + seconds(1));
  }

  std::uint64_t Count(rank r, query_outcome outcome) const {
    std::uint64_t count = 0;
    for (const query_sample& sample : load_.Samples()) {
      count += sample.urgency == r && sample.outcome == outcome ? 1 : 0;
    }
    return count;
  }

  /** Share of a rank's queries with this outcome. */
  double Share(rank r, query_outcome outcome) const {
    double total = 0;
    for (const query_sample& sample : load_.Samples()) {
      total += sample.urgency == r ? 1 : 0;
    }
    return total == 0 ? 0 : static_cast<double>(Count(r, outcome)) / total;
  }

  document_store& Store() { return store_; }
  virtual_fleet& Fleet() { return fleet_; }
  load_generator& Load() { return load_; }

 private:
  std::vector<load_stream> Streams(double load) const {
    std::vector<load_stream> streams;
    const auto& collections = store_.Plan().collections;
    for (std::uint32_t c = 0; c < collections.size(); ++c) {
      const collection_plan& plan = collections[c];
      const double rate = load * Capacity(plan, {}) / plan.services;
      for (const rank r : kAllRanks) {
        streams.push_back({r, c, plan.name, plan.services * kPartitionWidth,
                           rate / kRankCount});
      }
    }
    return streams;
  }

  document_store store_;
  virtual_fleet fleet_;
  load_generator load_;
};

// Guards against hosts that never become ready: they admit nothing, so the
// other tests of this file would hold trivially.
TEST_CASE("Tier_HealthyLoad_AnswersAllQueries") {
  for (const std::uint64_t seed : {1, 2}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.5);
    tier.Run(seconds(2));
    tier.Finish();
    for (const rank r : kAllRanks) {
      INFO(RankName(r));
      CHECK(tier.Share(r, query_outcome::answered) > 0.999);
    }
  }
}

/**
 * Changes the index three times under load. In each change the services load
 * the new snapshot within 300 ms and drop the oldest between 400 ms and 700 ms.
 * @param publish Time from the start of a change until the topology with the
 *                new snapshot is published.
 */
void ChangeIndexThreeTimes(tier_fleet& tier, std::uint64_t seed,
                           duration publish) {
  random_source random(seed);
  for (int change = 0; change < 3; ++change) {
    tier.Store().AddSnapshot();
    const std::uint64_t old = tier.Store().Snapshots().front();
    const std::uint64_t newest = tier.Store().Snapshots().back();
    for (const service_info& service : tier.Store().Topology()->services) {
      tier.Fleet().After(duration(random.Below(300'000)),
                         [&tier, service, newest] {
                           tier.Store().Load(tier.Fleet(), service, newest);
                         });
      tier.Fleet().After(
          milliseconds(400) + duration(random.Below(300'000)),
          [&tier, service, old] {
            for (const leaf_info& leaf : service.leafs) {
              tier.Fleet().leafs.Leaf(leaf.id).Drop(snapshot_id{old});
            }
          });
    }
    tier.Run(publish);
    tier.Store().Publish(tier.Fleet());
    tier.Run(milliseconds(500) - publish);
    tier.Store().RemoveSnapshot();
    tier.Store().Publish(tier.Fleet());
    tier.Run(milliseconds(500));
  }
  tier.Finish();
}

// Guards against answers that merge two snapshots, and against coverage that
// counts keys that no leaf read, while the index is repartitioned.
TEST_CASE("Tier_IndexChangesUnderLoad_KeepsSnapshotsAndCoverageTrue") {
  const auto publish = GENERATE(milliseconds(150), milliseconds(350));
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed " << seed << ", published after " << publish.count() << " ms");
    tier_fleet tier(seed, 0.4);
    ChangeIndexThreeTimes(tier, seed, publish);
    const answer_violations& violations = tier.Load().Violations();
    CHECK(tier.Load().Samples().size() > 1000);
    CHECK(tier.Count(rank::urgent, query_outcome::answered) > 100);
    CHECK(violations.mixed == 0);
    CHECK(violations.overstated == 0);
    CHECK(violations.crossed == 0);
  }
}

// Guards against lost coverage when the publisher follows the protocol and
// publishes a snapshot only after the leafs have loaded it.
TEST_CASE("Tier_IndexPublishedAfterLoading_AnswersQueries") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.4);
    ChangeIndexThreeTimes(tier, seed, milliseconds(350));
    for (const rank r : kAllRanks) {
      INFO(RankName(r));
      CHECK(tier.Share(r, query_outcome::answered) > 0.99);
    }
  }
}

// Guards against lost coverage when a snapshot is published before all leafs
// have loaded it. The leafs still hold the previous snapshot in full, so
// queries must fall back to it.
TEST_CASE("Tier_IndexPublishedBeforeLoading_AnswersFromPreviousSnapshot") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.4);
    ChangeIndexThreeTimes(tier, seed, milliseconds(150));
    for (const rank r : kAllRanks) {
      INFO(RankName(r));
      CHECK(tier.Share(r, query_outcome::answered) > 0.95);
    }
  }
}

/** Starts to drain the first leaf of every service and returns these leafs. */
std::vector<leaf_id> DrainFirstLeafs(tier_fleet& tier) {
  std::vector<leaf_id> draining;
  for (const service_info& service : tier.Store().Topology()->services) {
    draining.push_back(service.leafs.front().id);
    tier.Fleet().leafs.Leaf(draining.back()).SetDraining(true);
  }
  return draining;
}

/** Number of requests that the leafs have received. */
std::uint64_t SubmittedTo(tier_fleet& tier, std::span<const leaf_id> leafs) {
  std::uint64_t sum = 0;
  for (const leaf_id id : leafs) sum += tier.Fleet().leafs.Leaf(id).Submitted();
  return sum;
}

// Guards against new work for a leaf that has reported that it drains, under a
// load that the other replicas cannot serve without queueing.
TEST_CASE("Tier_LeafsDrain_GetNoWorkAfterThreeSeconds") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.6);
    tier.Run(seconds(2));
    const std::vector<leaf_id> draining = DrainFirstLeafs(tier);
    tier.Run(seconds(3));
    const std::uint64_t before = SubmittedTo(tier, draining);
    CHECK(before > 0);
    tier.Run(seconds(5));
    CHECK(SubmittedTo(tier, draining) == before);
  }
}

// Guards against a new owner that sends work to a draining leaf: the host of
// the previous owner fails, and its services move to hosts that did not receive
// the drain signal.
TEST_CASE("Tier_LeafsDrainAndOwnersFail_GetNoWorkAfterThreeSeconds") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.4);
    tier.Run(seconds(2));
    const std::vector<leaf_id> draining = DrainFirstLeafs(tier);
    tier.Run(seconds(3));
    const std::uint64_t before = SubmittedTo(tier, draining);
    tier.Fleet().KillHost(0);
    tier.Run(seconds(8));
    tier.Fleet().KillHost(1);
    tier.Run(seconds(8));
    CHECK(SubmittedTo(tier, draining) == before);
  }
}

// Guards against owners that let work queue in the leaf, where neither rank nor
// cancellation has an effect.
TEST_CASE("Tier_LoadAboveCapacity_NeverExceedsSlots") {
  for (const std::uint64_t seed : {1, 2}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 2);
    tier.Run(seconds(2));
    tier.Finish();
    for (const service_info& service : tier.Store().Topology()->services) {
      for (const leaf_info& leaf : service.leafs) {
        INFO(leaf.address);
        const fake_leaf& self = tier.Fleet().leafs.Leaf(leaf.id);
        CHECK(self.Submitted() > 0);
        CHECK(self.Peak() <= self.Settings().slots);
      }
    }
  }
}

// Guards against calls that are answered twice or never while hosts pause and a
// leaf fails.
TEST_CASE("Tier_PausesAndDeadLeafs_AnswersEachCallOnce") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.5);
    tier.Fleet().faults = {0.02, 0.05, 0.1, milliseconds(100), 0.01};
    tier.Run(milliseconds(500));
    tier.Fleet().PauseHost(1, milliseconds(300));
    const leaf_id leaf = tier.Store().Topology()->services[0].leafs[0].id;
    tier.Fleet().leafs.SetUp(leaf, false);
    tier.Run(seconds(1));
    tier.Fleet().leafs.SetUp(leaf, true);
    tier.Fleet().PauseHost(2, seconds(3));
    tier.Run(seconds(4));
    tier.Finish();
    for (const rank r : kAllRanks) {
      CHECK(tier.Count(r, query_outcome::open) == 0);
      CHECK(tier.Count(r, query_outcome::lost) == 0);
    }
    CHECK(tier.Load().Violations().repeated == 0);
    CHECK(tier.Fleet().repeated_answers == 0);
    CHECK(tier.Load().Violations().crossed == 0);
  }
}

// Guards against a flood of background work that starves urgent work.
TEST_CASE("Tier_BackgroundFlood_ServesUrgentWork") {
  for (const std::uint64_t seed : {1, 2}) {
    INFO("seed " << seed);
    tier_fleet tier(seed, 0.4);
    tier.Run(seconds(1));
    tier.Load().SetFactor(rank::background, std::nullopt, 50);
    tier.Run(seconds(2));
    tier.Finish();
    CHECK(tier.Share(rank::urgent, query_outcome::answered) > 0.99);
    CHECK(tier.Share(rank::background, query_outcome::answered) > 0.01);
  }
}

// Guards against runs that cannot be reproduced from the seed in a report.
TEST_CASE("Tier_SameSeed_RepeatsTheRun") {
  tier_fleet first(5, 0.5);
  tier_fleet second(5, 0.5);
  for (tier_fleet* tier : {&first, &second}) {
    tier->Run(milliseconds(500));
    tier->Finish();
  }
  const auto& one = first.Load().Samples();
  const auto& two = second.Load().Samples();
  REQUIRE(one.size() == two.size());
  for (std::size_t i = 0; i < one.size(); ++i) {
    REQUIRE(one[i].elapsed == two[i].elapsed);
  }
}

// Guards against orders that run twice, and against a not_run for an order that
// ran, while messages are lost, duplicated and delayed and while hosts pause,
// fail and are partitioned.
TEST_CASE("Tier_OrdersUnderAllFaults_RunAtMostOnce") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    order_run_settings settings;
    settings.seed = seed;
    settings.orders = 2000;
    const order_run_result result = RunOrders(settings);
    CHECK(result.sent > 500);
    CHECK(result.ran > 100);
    CHECK(result.run_twice == 0);
    CHECK(result.wrong_not_run == 0);
    CHECK(result.wrong_ran == 0);
    CHECK(result.repeated == 0);
    CHECK(result.unanswered == 0);
  }
}

// Guards against errors of the simulation that look like errors of the order
// protocol: without injected faults, every order must run once.
TEST_CASE("Tier_OrdersWithoutFaults_AllRun") {
  order_run_settings settings;
  settings.orders = 1000;
  settings.faults = false;
  const order_run_result result = RunOrders(settings);
  CHECK(result.sent == 1000);
  CHECK(result.ran == result.sent);
  CHECK(result.answered_ran == result.sent);
  CHECK(result.run_twice == 0);
}

}  // namespace
}  // namespace corianderrail::driver
