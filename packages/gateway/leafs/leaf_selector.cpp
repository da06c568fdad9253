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

/** Slots that a host may expect for itself at a leaf. With one, a request at a
 *  fast leaf would count as a queue, and slow leafs would be preferred. */
constexpr std::uint32_t kMinOwnSlots = 2;

/** True for a candidate that is skipped only because this host has no permit
 *  for it now. */
bool LacksPermit(const leaf_candidate& candidate, time_point now) {
  if (!candidate.permits || candidate.permit_at <= now) return false;
  return *candidate.permits == 0 ||
         candidate.eligibility != leaf_eligibility::unusable;
}

/** Predicted latency of the best candidate but one; 0 without any. */
duration BestLatency(std::span<const leaf_candidate> candidates,
                     std::size_t excluded) {
  duration best = duration::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == excluded) continue;
    if (candidates[i].eligibility > leaf_eligibility::stalled) continue;
    best = std::min(best, PredictLatency(candidates[i]));
  }
  return best == duration::max() ? duration{} : best;
}
/** Latency relative to the expected one from which a leaf counts as slow. With
 *  a floor for leafs below it, a pause of an equal leaf has no lasting effect.
 */
constexpr double kSlowLeaf = 1.4;

}  // namespace

leaf_selector::leaf_selector(location here, leaf_directory& directory,
                             const evacuation& evacuations)
    : here_(std::move(here)),
      directory_(directory),
      evacuations_(evacuations),
      cold_(here_) {}

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
  const bool keeps_floor =
      near || leaf.monitor.Performance().Slowness(now) < kSlowLeaf;
  const double window = std::max<double>(leaf.monitor.Window().Limit(now),
                                         keeps_floor ? min_limit : 0);
  if (window < share) share = static_cast<std::uint32_t>(window);
  // Open requests at a stalled leaf are late already; more would only queue.
  if (leaf.monitor.Stalled(now)) {
    share = std::min(share, std::max(leaf.monitor.Open(), min_limit));
  }
  return share;
}

// The hosts of the region use a leaf together, so the requests of this host
// queue there before they fill all slots. Until the leaf's answers give a
// level, the slots are taken as stated.
std::uint32_t leaf_selector::Concurrency(const leaf_state& leaf,
                                         time_point now) const {
  const leaf_performance& performance = leaf.monitor.Performance();
  const std::uint32_t slots = leaf.record.slots;
  if (!performance.Level(now)) return slots;
  const std::uint32_t share =
      slots / std::max(fleet_.own_region.near_hosts, 1u);
  const std::uint32_t usable = std::min(slots, std::max(share, kMinOwnSlots));
  const std::uint32_t learned = performance.Concurrency(now);
  return learned == 0 ? usable : std::min(usable, learned);
}

leaf_distance leaf_selector::DistanceOf(const leaf_state& leaf) const {
  if (leaf.record.zone == here_.zone) return leaf_distance::zone;
  return here_.SameRegion(leaf.record.zone) ? leaf_distance::region
                                            : leaf_distance::other;
}

leaf_exclusion leaf_selector::ExclusionOf(const leaf_state& leaf,
                                          const residency& homes) const {
  const std::string& zone = leaf.record.zone;
  if (evacuations_.Covers(zone)) return leaf_exclusion::evacuation;
  return homes.PermitsZone(zone, here_) ? leaf_exclusion::none
                                        : leaf_exclusion::residency;
}

leaf_eligibility leaf_selector::Eligibility(const leaf_state& leaf,
                                            const residency& homes,
                                            time_point now,
                                            duration work) const {
  if (ExclusionOf(leaf, homes) != leaf_exclusion::none)
    return leaf_eligibility::unusable;
  if (cold_.Held(leaf, now) == 0u) return leaf_eligibility::unusable;
  return directory_.Eligibility(leaf, now, work);
}

bool leaf_selector::HasUsable(std::string_view service, const residency& homes,
                              time_point now) const {
  const auto leafs = directory_.LeafsOf(service);
  return std::any_of(leafs.begin(), leafs.end(), [&](const leaf_state* leaf) {
    return Eligibility(*leaf, homes, now, {}) != leaf_eligibility::unusable;
  });
}

leaf_candidate leaf_selector::CandidateFor(const leaf_state& leaf,
                                           const leaf_query& query,
                                           time_point now) const {
  leaf_candidate candidate;
  candidate.expected = query.stats->ExpectedLatency(
      leaf.record.zone, here_, query.matched->objective, now);
  candidate.eligibility =
      Eligibility(leaf, *query.homes, now, candidate.expected);
  const bool asked = std::find(query.asked.begin(), query.asked.end(),
                               leaf.handle) != query.asked.end();
  if (asked) candidate.eligibility = leaf_eligibility::unusable;
  candidate.unloaded = query.stats->UnloadedLatency(leaf.record.zone);
  const leaf_performance& performance = leaf.monitor.Performance();
  candidate.slowness = performance.Slowness(now);
  candidate.failure_rate = leaf.monitor.FailureRate(now);
  // Few repeats are allowed, so a failure usually loses the part.
  candidate.failure_cost = query.matched->objective;
  candidate.open = leaf.monitor.Open();
  candidate.limit = Limit(leaf, query.max_connections, now) + query.reserve;
  candidate.slots = Concurrency(leaf, now);
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
  LimitCold(leaf, candidate, now);
  ApplyShared(leaf, candidate, now);
  return candidate;
}

/** A cold leaf has capacity only while this host has a permit for it. */
void leaf_selector::LimitCold(const leaf_state& leaf, leaf_candidate& candidate,
                              time_point now) const {
  candidate.permits = cold_.Held(leaf, now);
  if (!candidate.permits) return;
  candidate.permit_at =
      leaf.permits.FreeAt(*candidate.permits, candidate.open, now);
  if (candidate.permit_at <= now) return;
  candidate.limit = std::min(candidate.limit, candidate.open);
}

// After the limit, so that other hosts can make a leaf look slow, but not full.
void leaf_selector::ApplyShared(const leaf_state& leaf,
                                leaf_candidate& candidate,
                                time_point now) const {
  if (shared_.Hosts() == 0) return;
  const leaf_performance& own = leaf.monitor.Performance();
  const double confidence = own.Confidence(now);
  if (SupersedesShared(confidence)) return;
  const auto slowness = shared_.Slowness(leaf.boot, own.RecentMean(now), now);
  if (!slowness) return;
  candidate.slowness =
      CombineSlowness(candidate.slowness, confidence, *slowness);
  candidate.shared = true;
}

void leaf_selector::Collect(const leaf_query& query, time_point now) {
  candidates_.clear();
  permit_skips_ = 0;
  leafs_.clear();
  for (leaf_state* leaf : directory_.LeafsOf(query.service)) {
    const leaf_candidate candidate = CandidateFor(*leaf, query, now);
    if (LacksPermit(candidate, now)) ++permit_skips_;
    candidates_.push_back(candidate);
    ++exclusions_[static_cast<std::size_t>(ExclusionOf(*leaf, *query.homes))];
    leafs_.push_back(leaf);
  }
}

std::vector<leaf_selector::explained_leaf> leaf_selector::Explain(
    const leaf_query& query, time_point now) const {
  std::vector<explained_leaf> all;
  for (const leaf_state* leaf : directory_.LeafsOf(query.service)) {
    all.push_back({leaf, CandidateFor(*leaf, query, now),
                   ExclusionOf(*leaf, *query.homes)});
  }
  return all;
}

leaf_choice leaf_selector::Choose(duration time_left) const {
  return ChooseLeaf(candidates_, time_left);
}

leaf_estimate leaf_selector::Estimate(const leaf_query& query,
                                      duration time_left,
                                      time_point now) const {
  std::vector<leaf_candidate> candidates;
  for (const leaf_state* leaf : directory_.LeafsOf(query.service)) {
    candidates.push_back(CandidateFor(*leaf, query, now));
  }
  const leaf_choice choice = ChooseLeaf(candidates, time_left);
  if (choice.outcome == choice_outcome::chosen) {
    return {true, PredictLatency(candidates[choice.index])};
  }
  return {false, BestLatency(candidates, candidates.size())};
}

duration leaf_selector::NextBestLatency(std::size_t chosen) const {
  return BestLatency(candidates_, chosen);
}

}  // namespace corianderrail::gateway
