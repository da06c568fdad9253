/** @file replica_choice.cpp Chooses the leaf for a request. */

#include <algorithm>

#include "core/owner_state.h"

namespace corianderrail {

namespace {

/** A request this many tails old marks its leaf as stuck for now. */
constexpr int kStuckTails = 2;

}  // namespace

bool service_owner::state::Suits(const task_record& task,
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

bool service_owner::state::Stuck(const service_state& service,
                                 const leaf_health& leaf, time_point now) {
  if (leaf.calls.empty() || !service.digest.Learned(now)) return false;
  return OldestAge(leaf, now) > kStuckTails * service.digest.Tail();
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
  std::size_t suitable = 0;
  std::size_t lacking = 0;
  std::size_t untried = 0;
  std::size_t bad = 0;
  for (const leaf_health* leaf : leafs) {
    if (leaf->ejected || Stuck(service, *leaf, now)) ++bad;
  }
  // As with ejection, at most half of the replicas are avoided. When more are
  // slow, the whole service is slow and avoiding them helps nobody.
  const bool avoid_stuck = 2 * bad <= leafs.size();
  leaf_choice choice{placement::busy};
  leaf_health* best = nullptr;
  leaf_health* fallback = nullptr;
  double best_score = 0;
  double fallback_score = 0;
  bool healthy_exists = false;
  // A random start breaks ties between equal leafs.
  const std::size_t start = random.Below(leafs.size());
  for (std::size_t i = 0; i < leafs.size(); ++i) {
    leaf_health* leaf = leafs[(start + i) % leafs.size()];
    const bool free = leaf->HasFreeSlot();
    choice.any_free = choice.any_free || free;
    if (!Suits(task, *leaf)) continue;
    ++suitable;
    const bool lacks = !task.order && leaf->Lacks(snapshot, now);
    if (lacks) ++lacking;
    if (std::find(task.tried.begin(), tried_end, leaf->info.id) != tried_end) {
      continue;
    }
    if (lacks) continue;
    ++untried;
    const bool healthy =
        !leaf->ejected && !(avoid_stuck && Stuck(service, *leaf, now));
    if (healthy && leaf->open > 0 && !leaf->Leaving()) healthy_exists = true;
    if (!free) continue;
    leaf_health*& slot = healthy ? best : fallback;
    double& slot_score = healthy ? best_score : fallback_score;
    const double score = Score(service, *leaf, now);
    if (slot != nullptr && score >= slot_score) continue;
    slot = leaf;
    slot_score = score;
  }
  if (untried == 0) {
    const bool all_lack = suitable > 0 && lacking == suitable;
    choice.verdict = all_lack ? placement::lacking : placement::exhausted;
    return choice;
  }
  // An ejected leaf serves only when no other replica can be reached.
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
  const double left = static_cast<double>((task.deadline - now).count());
  leaf_health* best = nullptr;
  double best_estimate = std::min(age, left);
  for (leaf_health* leaf : service.leafs) {
    if (leaf == call.leaf || leaf->ejected || !leaf->HasFreeSlot()) continue;
    if (!Suits(task, *leaf) || leaf->Lacks(snapshot, now)) continue;
    if (std::find(task.tried.begin(), tried_end, leaf->info.id) != tried_end) {
      continue;
    }
    // When its own requests are overdue too, the other leaf is no faster:
    // hedging while everything is slow only adds load.
    const duration oldest = OldestAge(*leaf, now);
    if (oldest > service.digest.Tail()) continue;
    const double estimate = leaf->Estimate(service.mean, now);
    if (estimate >= best_estimate) continue;
    best = leaf;
    best_estimate = estimate;
  }
  return best;
}

}  // namespace corianderrail
