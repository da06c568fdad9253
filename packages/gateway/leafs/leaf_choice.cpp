/**
 * @file leaf_choice.cpp Leaf selection by predicted latency.
 *
 * Some leafs of a service may be slow, failing or far while others are idle.
 * Distance, latency, failures and the open requests of this host are combined
 * into one cost. Links between regions are narrow and shared by all hosts, so a
 * near leaf that is only a little slower keeps its requests as long as they are
 * on time: a query over many shards is no earlier for one part that is.
 */

#include "gateway/leafs/leaf_choice.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Latency of a leaf shortly after its start relative to the expected one. */
constexpr double kColdFactor = 1.5;

/** A near leaf goes before another one of up to this fraction of its cost. */
constexpr double kNearTolerance = 1.5;

/** Its cost counts this many times when the time is checked, because many of
 *  its answers take longer than predicted. */
constexpr int kNearMargin = 2;

bool IsBetter(const leaf_choice& one, const leaf_choice& other) {
  if (one.eligibility != other.eligibility) {
    return one.eligibility < other.eligibility;
  }
  return one.cost < other.cost;
}

/** Whether a leaf can be asked after a near one and still answer on time. */
bool LeavesTime(const leaf_choice& near, const leaf_choice& other,
                duration time_left) {
  return kNearMargin * near.cost + other.cost <= time_left;
}

/** The better of two choices, the first one of the own region. */
leaf_choice PreferNear(const leaf_choice& near, const leaf_choice& best,
                       duration time_left) {
  const double tolerated =
      kNearTolerance * static_cast<double>(best.cost.count());
  const bool similar = static_cast<double>(near.cost.count()) <= tolerated;
  return similar && LeavesTime(near, best, time_left) ? near : best;
}

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

leaf_choice ChooseLeaf(std::span<const leaf_candidate> candidates,
                       duration time_left) {
  leaf_choice best;
  leaf_choice near;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const leaf_candidate& one = candidates[i];
    if (one.eligibility == leaf_eligibility::unusable) continue;
    if (one.open >= one.limit) {
      if (best.outcome == choice_outcome::nothing) {
        best.outcome = choice_outcome::full;
      }
      continue;
    }
    const leaf_choice choice{choice_outcome::chosen, i, PlacementCost(one),
                             one.eligibility};
    if (IsBetter(choice, best)) best = choice;
    if (one.near && IsBetter(choice, near)) near = choice;
  }
  const bool equal = near.outcome == choice_outcome::chosen &&
                     near.eligibility == best.eligibility;
  return equal ? PreferNear(near, best, time_left) : best;
}

}  // namespace corianderrail::gateway
