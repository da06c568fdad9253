/** @file load_scenarios.cpp The scenarios under load. */

#include "load_scenarios.h"

#include <algorithm>
#include <array>
#include <optional>

namespace corianderrail::bench {

namespace {

using driver::fake_leaf;
using std::chrono::milliseconds;

constexpr double kStragglerFactor = 20;
constexpr double kSlowFactor = 5;

/** Longest a flood or an outage lasts before it ends. */
constexpr duration kFaultLength = std::chrono::seconds(2);

/** Time after the end in which recovery is looked for. */
constexpr duration kRecoveryTime = std::chrono::seconds(9);

constexpr int kIndexChanges = 4;
constexpr duration kIndexPeriod = milliseconds(1500);
constexpr duration kIndexSpread = milliseconds(400);

template <typename Action>
void ForEachService(scenario_run& run, Action action) {
  std::size_t index = 0;
  for (const service_info& service : run.Store().Topology()->services) {
    action(service, index++);
  }
}

void PlayHealthy(scenario_run& run) {
  run.MeasureReference();
  run.MeasureFault();
}

void PlayStraggler(scenario_run& run) {
  run.MeasureReference();
  ForEachService(run, [&](const service_info& service, std::size_t) {
    run.Fleet().leafs.Leaf(service.leafs[0].id).SetFactor(kStragglerFactor);
  });
  run.Run(kSettle);
  run.MeasureFault();
}

/** The reference of a flood is the urgent work alone. */
void PlayFlood(scenario_run& run, rank urgency) {
  for (const rank other : {rank::normal, rank::background}) {
    run.Load().SetFactor(other, std::nullopt, 0);
  }
  run.Run(kSettle);
  run.MeasureReference();
  for (const rank other : {rank::normal, rank::background}) {
    run.Load().SetFactor(other, std::nullopt, 1);
  }
  run.Run(kSettle);
  run.Flood(urgency, kFloodLoad);
  run.Run(kSettle);
  // Floods cost the most to run, so that their window is shorter.
  run.MeasureFault([&] { run.Run(run.Window() * 2 / 3); });
}

void PlayBackgroundFlood(scenario_run& run) {
  PlayFlood(run, rank::background);
}

void PlayUrgentFlood(scenario_run& run) { PlayFlood(run, rank::urgent); }

void PlayReplicaLoss(scenario_run& run) {
  run.MeasureReference();
  ForEachService(run, [&](const service_info& service, std::size_t index) {
    if (index % 2 == 0) run.Fleet().leafs.SetUp(service.leafs[0].id, false);
  });
  run.Run(kSettle);
  run.MeasureFault();
}

void PlaySlow(scenario_run& run) {
  run.MeasureReference();
  ForEachService(run, [&](const service_info& service, std::size_t) {
    for (const leaf_info& leaf : service.leafs) {
      run.Fleet().leafs.Leaf(leaf.id).SetFactor(kSlowFactor);
    }
  });
  run.Run(kSettle);
  run.MeasureFault();
}

void PlayFloodRecovery(scenario_run& run) {
  run.MeasureReference();
  run.Flood(rank::background, kFloodLoad);
  run.Run(kFaultLength);
  run.Flood(rank::background,
            kHealthyLoad * kRankShare[RankIndex(rank::background)]);
  run.MarkEnd();
  run.Run(kRecoveryTime);
}

/** All leafs of every third service are gone for a time. */
void PlayOutageRecovery(scenario_run& run) {
  run.MeasureReference();
  for (const bool up : {false, true}) {
    ForEachService(run, [&](const service_info& service, std::size_t index) {
      if (index % 3 != 0) return;
      for (const leaf_info& leaf : service.leafs) {
        run.Fleet().leafs.SetUp(leaf.id, up);
      }
    });
    if (!up) run.Run(kFaultLength);
  }
  run.MarkEnd();
  run.Run(kRecoveryTime);
}

/** Services load and drop snapshots at different times around publication. */
void ChangeIndex(scenario_run& run) {
  driver::document_store& store = run.Store();
  driver::virtual_fleet& fleet = run.Fleet();
  store.AddSnapshot();
  const std::uint64_t fresh = store.Snapshots().back();
  const std::uint64_t old = store.Snapshots().front();
  const auto spread = [&] {
    return duration(run.Random().Below(kIndexSpread.count()));
  };
  ForEachService(run, [&](const service_info& service, std::size_t) {
    fleet.After(spread(), [&run, service, fresh] {
      run.Store().Load(run.Fleet(), service, fresh);
    });
  });
  fleet.After(kIndexSpread / 2, [&run] { run.Store().Publish(run.Fleet()); });
  run.Run(kIndexPeriod / 2);
  store.RemoveSnapshot();
  store.Publish(fleet);
  ForEachService(run, [&](const service_info& service, std::size_t) {
    fleet.After(spread(), [&run, service, old] {
      for (const leaf_info& leaf : service.leafs) {
        run.Fleet().leafs.Leaf(leaf.id).Drop(snapshot_id{old});
      }
    });
  });
  run.Run(kIndexPeriod / 2);
}

void PlayIndexChange(scenario_run& run) {
  run.MeasureReference();
  const int windows = static_cast<int>(run.Window() / kIndexPeriod) + 1;
  run.MeasureFault([&] {
    for (int i = 0; i < std::max(windows, kIndexChanges); ++i) ChangeIndex(run);
  });
}

constexpr std::array kScenarios = {
    load_scenario{"healthy", target_kind::none, "no target", PlayHealthy},
    load_scenario{"straggler", target_kind::straggler,
                  "p99 at most 2x healthy, extra load at most 5%",
                  PlayStraggler},
    load_scenario{"background_flood", target_kind::background_flood,
                  "urgent p99 at most 1.2x unloaded, 99.9% answered; floors "
                  "kept; goodput at least 95%",
                  PlayBackgroundFlood},
    load_scenario{"urgent_flood", target_kind::urgent_flood,
                  "floors of other ranks kept; goodput at least 95%",
                  PlayUrgentFlood},
    load_scenario{"replica_loss", target_kind::replica_loss,
                  "coverage 100%, 99% within the latency target",
                  PlayReplicaLoss},
    load_scenario{"all_slow", target_kind::slow, "extra load at most 5%",
                  PlaySlow},
    load_scenario{"flood_recovery", target_kind::recovery,
                  "within 5% of healthy p99 in 5 s", PlayFloodRecovery},
    load_scenario{"outage_recovery", target_kind::recovery,
                  "within 5% of healthy p99 in 5 s", PlayOutageRecovery},
    load_scenario{"index_change", target_kind::index_change,
                  "0 mixed snapshots, 0 overstated coverage in 100,000 queries",
                  PlayIndexChange},
};

}  // namespace

std::span<const load_scenario> LoadScenarios() { return kScenarios; }

}  // namespace corianderrail::bench
