/**
 * @file leaf_choice.cpp Leaf selection by predicted latency.
 *
 * Some leafs of a service may be slow, failing or far while others are idle.
 * Distance, latency, failures and the open requests of this host are combined
 * into one cost, so that a far leaf is used exactly when it is expected to
 * answer earlier than a near one.
 */

#include "gateway/leaf_choice.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Latency of a leaf shortly after its start relative to the expected one. */
constexpr double kColdFactor = 1.5;

}  // namespace

duration PredictLatency(const leaf_candidate& candidate) {
  const double slots = std::max<std::uint32_t>(candidate.slots, 1);
  const double rounds = std::max(1.0, (candidate.open + 1) / slots);
  // The expected latency already includes the usual queue. For a longer queue,
  // the unloaded latency is multiplied by the number of rounds in which the
  // slots serve the queue.
  const auto usual = static_cast<double>(candidate.expected.count());
  const double unloaded = candidate.unloaded == duration{}
                              ? usual
                              : static_cast<double>(candidate.unloaded.count());
  double latency =
      std::max(usual, unloaded * rounds) * std::max(candidate.slowness, 0.5);
  if (candidate.cold) latency *= kColdFactor;
  return duration(static_cast<duration::rep>(latency));
}

duration PlacementCost(const leaf_candidate& candidate) {
  const auto failures = static_cast<duration::rep>(
      candidate.failure_rate *
      static_cast<double>(candidate.failure_cost.count()));
  return PredictLatency(candidate) + duration(failures);
}

leaf_choice ChooseLeaf(std::span<const leaf_candidate> candidates) {
  leaf_choice best;
  leaf_eligibility eligibility = leaf_eligibility::unusable;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const leaf_candidate& one = candidates[i];
    if (one.eligibility == leaf_eligibility::unusable) continue;
    if (one.open >= one.limit) {
      if (best.outcome == choice_outcome::nothing) {
        best.outcome = choice_outcome::full;
      }
      continue;
    }
    const duration cost = PlacementCost(one);
    const bool better = one.eligibility < eligibility ||
                        (one.eligibility == eligibility && cost < best.cost);
    if (best.outcome == choice_outcome::chosen && !better) continue;
    best = {choice_outcome::chosen, i, cost};
    eligibility = one.eligibility;
  }
  return best;
}

}  // namespace corianderrail::gateway
