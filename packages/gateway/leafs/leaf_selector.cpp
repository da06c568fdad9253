/** @file leaf_selector.cpp Candidates with their limits and predictions. */

#include "gateway/leafs/leaf_selector.h"

#include <algorithm>
#include <utility>

#include "gateway/leafs/connection_share.h"

namespace corianderrail::gateway {

namespace {

/** In its startup period, a host uses this fraction of its share of the
 *  connections of a leaf. */
constexpr std::uint32_t kStartupDivisor = 4;

/** Latency relative to the expected one from which a leaf counts as slow. With
 *  a floor for leafs below it, a pause of an equal leaf has no lasting effect.
 */
constexpr double kSlowLeaf = 1.4;

}  // namespace

leaf_selector::leaf_selector(location here, leaf_directory& directory)
    : here_(std::move(here)), directory_(directory) {}

std::uint32_t leaf_selector::Limit(const leaf_state& leaf,
                                   std::uint32_t max_connections,
                                   time_point now) const {
  const bool near = here_.SameRegion(leaf.record.zone);
  std::uint32_t share = ConnectionShare(
      max_connections, near ? fleet_.own_region : fleet_.other_regions, near);
  // The startup period, the window and a stall never limit a host in the region
  // of a leaf to less than an equal share of the slots, so these hosts can keep
  // the leaf busy.
  const std::uint32_t hosts = std::max(fleet_.own_region.near_hosts, 1u);
  const std::uint32_t min_limit =
      near ? (leaf.record.slots + hosts - 1) / hosts : 1;
  // The leaf may still count connections of the previous process.
  if (now < started_ + kStartupPeriod) {
    share = std::max(share / kStartupDivisor, std::min(share, min_limit));
  }
  // A host of another region waits until its window allows a request to a slow
  // leaf: all of them together would otherwise fill its queue.
  const bool keeps_floor = near || leaf.monitor.Slowness(now) < kSlowLeaf;
  const double window = std::max<double>(leaf.monitor.Window().Limit(now),
                                         keeps_floor ? min_limit : 0);
  if (window < share) share = static_cast<std::uint32_t>(window);
  // Open requests at a stalled leaf are late already; more would only queue.
  if (leaf.monitor.Stalled(now)) {
    share = std::min(share, std::max(leaf.monitor.Open(), min_limit));
  }
  return share;
}

leaf_distance leaf_selector::DistanceOf(const leaf_state& leaf) const {
  if (leaf.record.zone == here_.zone) return leaf_distance::zone;
  return here_.SameRegion(leaf.record.zone) ? leaf_distance::region
                                            : leaf_distance::other;
}

leaf_eligibility leaf_selector::Eligibility(const leaf_state& leaf,
                                            const route& /*matched*/,
                                            time_point now,
                                            duration work) const {
  return directory_.Eligibility(leaf, now, work);
}

bool leaf_selector::HasUsable(std::string_view service, const route& matched,
                              time_point now) const {
  const auto leafs = directory_.LeafsOf(service);
  return std::any_of(leafs.begin(), leafs.end(), [&](const leaf_state* leaf) {
    return Eligibility(*leaf, matched, now, {}) != leaf_eligibility::unusable;
  });
}

leaf_candidate leaf_selector::CandidateFor(const leaf_state& leaf,
                                           const leaf_query& query,
                                           time_point now) const {
  leaf_candidate candidate;
  candidate.expected = query.stats->ExpectedLatency(
      leaf.record.zone, here_, query.matched->objective, now);
  candidate.eligibility =
      Eligibility(leaf, *query.matched, now, candidate.expected);
  const bool asked = std::find(query.asked.begin(), query.asked.end(),
                               leaf.handle) != query.asked.end();
  if (asked) candidate.eligibility = leaf_eligibility::unusable;
  candidate.unloaded = query.stats->UnloadedLatency(leaf.record.zone);
  candidate.slowness = leaf.monitor.Slowness(now);
  candidate.failure_rate = leaf.monitor.FailureRate(now);
  // Few repeats are allowed, so a failure usually loses the part.
  candidate.failure_cost = query.matched->objective;
  candidate.open = leaf.monitor.Open();
  candidate.limit = Limit(leaf, query.max_connections, now) + query.reserve;
  candidate.slots = leaf.record.slots;
  candidate.cold = now < leaf.cold_until;
  candidate.near = here_.SameRegion(leaf.record.zone);
  // A leaf gets no more requests than it can answer on time. Further parts
  // wait in this host by rank, and a gathered query may be answered without
  // the parts that wait.
  const bool overloaded = candidate.open > 0 &&
                          now + PredictLatency(candidate) > query.objective_at;
  if (overloaded || leaf.monitor.AtConnectionLimit(now)) {
    candidate.limit = std::min(candidate.limit, candidate.open);
  }
  return candidate;
}

void leaf_selector::Collect(const leaf_query& query, time_point now) {
  candidates_.clear();
  leafs_.clear();
  for (leaf_state* leaf : directory_.LeafsOf(query.service)) {
    candidates_.push_back(CandidateFor(*leaf, query, now));
    leafs_.push_back(leaf);
  }
}

leaf_choice leaf_selector::Choose(duration time_left) const {
  return ChooseLeaf(candidates_, time_left);
}

duration leaf_selector::BestLatency() const {
  return NextBestLatency(candidates_.size());
}

duration leaf_selector::NextBestLatency(std::size_t chosen) const {
  duration best = duration::max();
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    if (i == chosen) continue;
    if (candidates_[i].eligibility > leaf_eligibility::stalled) continue;
    best = std::min(best, PredictLatency(candidates_[i]));
  }
  return best == duration::max() ? duration{} : best;
}

}  // namespace corianderrail::gateway
