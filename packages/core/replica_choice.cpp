/** @file replica_choice.cpp Chooses the leaf for a request. */

#include <algorithm>

#include "core/owner_state.h"

namespace corianderrail {

namespace {

/** Age of a request, in multiples of the tail quantile, from which its leaf may
 *  count as stalled. */
constexpr int kStalledTails = 2;

/** Age, in halves of the tail quantile, from which a hedge waits for the next
 *  free slot ahead of queued work of every rank. If a few requests take 10
 *  times as long as usual, most requests of this age are among them, and ending
 *  one early frees more slot time than its hedge uses. */
constexpr int kOutlierHalfTails = 3;

/** True when work waits and all of it has a lower rank than `urgency`. */
bool OnlyLowerRanksWait(const service_state& service, rank urgency) {
  const auto waiting = service.queue.LiveTotal();
  std::size_t lower = 0;
  for (std::size_t i = RankIndex(urgency) + 1; i < kRankCount; ++i) {
    lower += service.queue.Live(kAllRanks[i]);
  }
  return waiting > 0 && lower == waiting;
}

}  // namespace

bool service_owner::state::ServesPart(const task_record& task,
                                      const leaf_health& leaf) const {
  if (!leaf.published) return false;
  const auto& replicas = task.part->replicas;
  return std::find(replicas.begin(), replicas.end(), leaf.info.id) !=
         replicas.end();
}

duration service_owner::state::OldestAge(const leaf_health& leaf,
                                         time_point now) {
  duration oldest{};
  for (const slot_handle id : leaf.calls) {
    const call_record& call = *calls.Find(id);
    if (call.cancelled || call.spans_gap) continue;
    oldest = std::max(oldest, now - call.sent);
  }
  return oldest;
}

bool service_owner::state::IsStalled(const service_state& service,
                                     const leaf_health& leaf, time_point now) {
  if (leaf.calls.empty() || !service.digest.HasEnoughSamples(now)) return false;
  // If the leaf still answers other requests at the usual speed, its oldest
  // request is an exception. Avoiding the leaf would leave its other slots
  // idle.
  if (now - leaf.LastFastReply() <= service.digest.Tail()) return false;
  return OldestAge(leaf, now) > kStalledTails * service.digest.Tail();
}

double service_owner::state::Score(const service_state& service,
                                   const leaf_health& leaf, time_point now) {
  return leaf.Estimate(service.mean, now) *
         static_cast<double>(leaf.calls.size() + 1);
}

leaf_choice service_owner::state::Choose(const task_record& task,
                                         time_point now) {
  service_state& service = *task.service;
  const auto& leafs = service.leafs;
  const snapshot_id snapshot =
      task.order ? snapshot_id{} : batches.Find(task.batch)->snapshot;
  const auto tried_end = task.tried.begin() + task.tried_count;
  std::size_t replica_count = 0;
  std::size_t lacking_count = 0;
  std::size_t untried_count = 0;
  std::size_t unhealthy = 0;
  for (const leaf_health* leaf : leafs) {
    if (leaf->ejected || IsStalled(service, *leaf, now)) ++unhealthy;
  }
  // As with ejection, at most half of the replicas are avoided. If more are
  // slow, the whole service is slow, and avoiding them has no benefit.
  const bool avoid_stalled = 2 * unhealthy <= leafs.size();
  leaf_choice choice{placement::busy};
  leaf_health* best = nullptr;
  leaf_health* fallback = nullptr;
  double best_score = 0;
  double fallback_score = 0;
  bool healthy_exists = false;
  // The random start breaks ties between leafs of equal score.
  const std::size_t start = random.Below(leafs.size());
  for (std::size_t i = 0; i < leafs.size(); ++i) {
    leaf_health* leaf = leafs[(start + i) % leafs.size()];
    const bool free = leaf->HasFreeSlot();
    choice.any_free = choice.any_free || free;
    if (!ServesPart(task, *leaf)) continue;
    ++replica_count;
    const bool lacks =
        !task.order && leaf->LacksPart(snapshot, task.part->range, now);
    if (lacks) ++lacking_count;
    if (std::find(task.tried.begin(), tried_end, leaf->info.id) != tried_end) {
      continue;
    }
    if (lacks) continue;
    ++untried_count;
    const bool healthy =
        !leaf->ejected && !(avoid_stalled && IsStalled(service, *leaf, now));
    if (healthy && leaf->open_connections > 0 && !leaf->Leaving())
      healthy_exists = true;
    if (!free) continue;
    leaf_health*& slot = healthy ? best : fallback;
    double& slot_score = healthy ? best_score : fallback_score;
    const double score = Score(service, *leaf, now);
    if (slot != nullptr && score >= slot_score) continue;
    slot = leaf;
    slot_score = score;
  }
  if (untried_count == 0) {
    const bool all_lack = replica_count > 0 && lacking_count == replica_count;
    choice.verdict =
        all_lack ? placement::missing_snapshot : placement::exhausted;
    return choice;
  }
  // An ejected or stalled leaf is used only if no other replica is reachable.
  choice.leaf = best != nullptr || healthy_exists ? best : fallback;
  if (choice.leaf != nullptr) choice.verdict = placement::placed;
  return choice;
}

leaf_health* service_owner::state::ChooseHedge(const task_record& task,
                                               const call_record& call,
                                               time_point now) {
  service_state& service = *task.service;
  const snapshot_id snapshot = batches.Find(task.batch)->snapshot;
  const auto tried_end = task.tried.begin() + task.tried_count;
  const double age = static_cast<double>((now - call.sent).count());
  const double remaining = static_cast<double>((task.deadline - now).count());
  leaf_health* best = nullptr;
  bool replica_busy = false;
  double best_estimate = std::min(age, remaining);
  for (leaf_health* leaf : service.leafs) {
    if (leaf == call.leaf || leaf->ejected || leaf->Leaving()) continue;
    if (!ServesPart(task, *leaf) ||
        leaf->LacksPart(snapshot, task.part->range, now))
      continue;
    if (std::find(task.tried.begin(), tried_end, leaf->info.id) != tried_end) {
      continue;
    }
    // If the other leaf has overdue requests too, it is no faster than the
    // first, and a hedge would only add load.
    const duration oldest = OldestAge(*leaf, now);
    if (oldest > service.digest.Tail()) continue;
    const double estimate = leaf->Estimate(service.mean, now);
    if (estimate >= best_estimate) continue;
    if (!leaf->HasFreeSlot()) {
      replica_busy = replica_busy || leaf->Capacity() > 0;
      continue;
    }
    best = leaf;
    best_estimate = estimate;
  }
  const bool outlier =
      2 * age >=
      kOutlierHalfTails * static_cast<double>(service.digest.Tail().count());
  // Unless its hedge waits for a slot, a slow urgent request would get no hedge
  // under an overload of other ranks, because queued work takes every slot that
  // becomes free.
  if (best == nullptr && replica_busy &&
      (outlier || OnlyLowerRanksWait(service, task.urgency))) {
    for (const slot_handle id : task.calls) {
      const call_record* open = calls.Find(id);
      const bool same = open != nullptr && open->leaf == call.leaf;
      if (same) service.queue.AddWaitingHedge(id);
    }
  }
  return best;
}

}  // namespace corianderrail
