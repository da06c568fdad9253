/** @file load_scenarios.cpp Scenarios with load and faults. */

#include "load_scenarios.h"

#include <algorithm>
#include <array>
#include <optional>

namespace corianderrail::bench {

namespace {

using std::chrono::milliseconds;

constexpr double kStragglerFactor = 20;
constexpr double kSlowFactor = 5;

/** Duration of a flood or outage from which the tier has to recover. */
constexpr duration kFaultDuration = std::chrono::seconds(2);

/** Time after the fault over which recovery is measured. */
constexpr duration kRecoveryTime = std::chrono::seconds(9);

constexpr int kIndexChanges = 4;  ///< Minimum number of index changes.
constexpr duration kIndexPeriod = milliseconds(1500);
constexpr duration kMaxIndexDelay = milliseconds(400);

template <typename Action>
void ForEachService(scenario_run& run, Action action) {
  std::size_t index = 0;
  for (const service_info& service : run.Store().Topology()->services) {
    action(service, index++);
  }
}

void RunHealthy(scenario_run& run) {
  run.MeasureReference();
  run.MeasureFault();
}

void RunStraggler(scenario_run& run) {
  run.MeasureReference();
  ForEachService(run, [&](const service_info& service, std::size_t) {
    run.Fleet().leafs.Leaf(service.leafs[0].id).SetFactor(kStragglerFactor);
  });
  run.Run(kSettleTime);
  run.MeasureFault();
}

/** Floods the collections of scenario_run::Flood() with work of one rank. The
 *  reference is measured with urgent work only. */
void RunFlood(scenario_run& run, rank urgency) {
  for (const rank other : {rank::normal, rank::background}) {
    run.Load().SetFactor(other, std::nullopt, 0);
  }
  run.Run(kSettleTime);
  run.MeasureReference();
  for (const rank other : {rank::normal, rank::background}) {
    run.Load().SetFactor(other, std::nullopt, 1);
  }
  run.Run(kSettleTime);
  run.Flood(urgency, kFloodLoad);
  run.Run(kSettleTime);
  // A shorter window, because floods take the most time to simulate.
  run.MeasureFault([&] { run.Run(run.Window() * 2 / 3); });
}

void RunBackgroundFlood(scenario_run& run) { RunFlood(run, rank::background); }

void RunUrgentFlood(scenario_run& run) { RunFlood(run, rank::urgent); }

void RunReplicaLoss(scenario_run& run) {
  run.MeasureReference();
  ForEachService(run, [&](const service_info& service, std::size_t index) {
    if (index % 2 == 0) run.Fleet().leafs.SetUp(service.leafs[0].id, false);
  });
  run.Run(kSettleTime);
  run.MeasureFault();
}

void RunAllSlow(scenario_run& run) {
  run.MeasureReference();
  ForEachService(run, [&](const service_info& service, std::size_t) {
    for (const leaf_info& leaf : service.leafs) {
      run.Fleet().leafs.Leaf(leaf.id).SetFactor(kSlowFactor);
    }
  });
  run.Run(kSettleTime);
  run.MeasureFault();
}

void RunFloodRecovery(scenario_run& run) {
  run.MeasureReference();
  run.Flood(rank::background, kFloodLoad);
  run.Run(kFaultDuration);
  run.Flood(rank::background,
            kHealthyLoad * kRankShare[RankIndex(rank::background)]);
  run.MarkFaultEnd();
  run.Run(kRecoveryTime);
}

/** All leafs of every third service fail and restart after kFaultDuration. */
void RunOutageRecovery(scenario_run& run) {
  run.MeasureReference();
  for (const bool up : {false, true}) {
    ForEachService(run, [&](const service_info& service, std::size_t index) {
      if (index % 3 != 0) return;
      for (const leaf_info& leaf : service.leafs) {
        run.Fleet().leafs.SetUp(leaf.id, up);
      }
    });
    if (!up) run.Run(kFaultDuration);
  }
  run.MarkFaultEnd();
  run.Run(kRecoveryTime);
}

/** Publishes a new snapshot and removes the oldest. Each service loads the new
 *  one and drops the oldest at random times, so some services load the new
 *  snapshot only after its publication. */
void ChangeIndex(scenario_run& run) {
  driver::document_store& store = run.Store();
  driver::virtual_fleet& fleet = run.Fleet();
  store.AddSnapshot();
  const std::uint64_t newest = store.Snapshots().back();
  const std::uint64_t oldest = store.Snapshots().front();
  const auto random_delay = [&] {
    return duration(run.Random().Below(kMaxIndexDelay.count()));
  };
  ForEachService(run, [&](const service_info& service, std::size_t) {
    fleet.After(random_delay(), [&run, service, newest] {
      run.Store().Load(run.Fleet(), service, newest);
    });
  });
  fleet.After(kMaxIndexDelay / 2, [&run] { run.Store().Publish(run.Fleet()); });
  run.Run(kIndexPeriod / 2);
  store.RemoveSnapshot();
  store.Publish(fleet);
  ForEachService(run, [&](const service_info& service, std::size_t) {
    fleet.After(random_delay(), [&run, service, oldest] {
      for (const leaf_info& leaf : service.leafs) {
        run.Fleet().leafs.Leaf(leaf.id).Drop(snapshot_id{oldest});
      }
    });
  });
  run.Run(kIndexPeriod / 2);
}

void RunIndexChange(scenario_run& run) {
  run.MeasureReference();
  const int windows = static_cast<int>(run.Window() / kIndexPeriod) + 1;
  run.MeasureFault([&] {
    for (int i = 0; i < std::max(windows, kIndexChanges); ++i) ChangeIndex(run);
  });
}

constexpr std::array kScenarios = {
    load_scenario{"healthy", target_kind::none, "no target", RunHealthy},
    load_scenario{"straggler", target_kind::straggler,
                  "p99 at most 2x healthy, extra load at most 5%",
                  RunStraggler},
    load_scenario{"background_flood", target_kind::background_flood,
                  "urgent p99 at most 1.2x unloaded, 99.9% answered; floors "
                  "kept; goodput at least 95%",
                  RunBackgroundFlood},
    load_scenario{"urgent_flood", target_kind::urgent_flood,
                  "floors of other ranks kept; goodput at least 95%",
                  RunUrgentFlood},
    load_scenario{"replica_loss", target_kind::replica_loss,
                  "coverage 100%, 99% within the latency target",
                  RunReplicaLoss},
    load_scenario{"all_slow", target_kind::slow, "extra load at most 5%",
                  RunAllSlow},
    load_scenario{"flood_recovery", target_kind::recovery,
                  "within 5% of healthy p99 in 5 s", RunFloodRecovery},
    load_scenario{"outage_recovery", target_kind::recovery,
                  "within 5% of healthy p99 in 5 s", RunOutageRecovery},
    load_scenario{"index_change", target_kind::index_change,
                  "0 mixed snapshots, 0 overstated coverage in 100,000 queries",
                  RunIndexChange},
};

}  // namespace

std::span<const load_scenario> LoadScenarios() { return kScenarios; }

}  // namespace corianderrail::bench
