/** @file leaf_queue.cpp Queues of one service by rank, with guaranteed floors.
 */

#include "core/leaf_queue.h"

#include <algorithm>
#include <utility>

namespace corianderrail {

namespace {

constexpr double kPpm = 1e6;

/** Factor on the credit of a floor. A floor is a share of the capacity, but
 *  credit accrues with charged slot time only; hedges, retries and the time
 *  between a reply and the next request are not charged. Under an overload of
 *  urgent work, a rank got 0.995 of its floor with 1.12 and 1.034 with 1.15, on
 *  the worst of 5 seeds. */
constexpr double kFloorMargin = 1.15;

/** Largest credit, in requests. Without the limit, a rank whose work cannot be
 *  placed for a while would exclude the others afterwards. */
constexpr double kMaxCreditRequests = 4;

/** Heap order: the earliest deadline on top. */
bool HasLaterDeadline(const queue_entry& a, const queue_entry& b) {
  if (a.deadline != b.deadline) return a.deadline > b.deadline;
  return a.sequence > b.sequence;
}

}  // namespace

void leaf_queue::Push(rank urgency, queue_entry entry) {
  auto& heap = heaps_[RankIndex(urgency)];
  heap.push_back(entry);
  std::push_heap(heap.begin(), heap.end(), HasLaterDeadline);
}

const queue_entry* leaf_queue::Front(rank urgency) const {
  const auto& heap = heaps_[RankIndex(urgency)];
  return heap.empty() ? nullptr : &heap.front();
}

queue_entry leaf_queue::Pop(rank urgency) {
  auto& heap = heaps_[RankIndex(urgency)];
  std::pop_heap(heap.begin(), heap.end(), HasLaterDeadline);
  const queue_entry entry = heap.back();
  heap.pop_back();
  return entry;
}

void leaf_queue::RemoveLive(rank urgency) {
  const std::size_t i = RankIndex(urgency);
  --live_[i];
  // Without waiting work, credit would accumulate into a burst that delays
  // higher ranks. While work of higher ranks waits, a rank below its floor
  // keeps its credit for its next requests, because their arrivals are uneven.
  if (live_[i] == 0 && !higher_rank_waits_[i]) {
    credit_[i] = std::min(credit_[i], last_cost_);
  }
}

void leaf_queue::AddWaitingHedge(slot_handle call) {
  const auto found =
      std::find(waiting_hedges_.begin(), waiting_hedges_.end(), call);
  if (found == waiting_hedges_.end()) waiting_hedges_.push_back(call);
}

per_rank<rank> leaf_queue::ServingOrder(const per_rank<ppm>& floors) const {
  per_rank<double> due{};
  for (std::size_t i = 0; i < kRankCount; ++i) {
    if (live_[i] == 0 || floors[i] == 0) continue;
    if (credit_[i] >= last_cost_) due[i] = credit_[i] / floors[i];
  }
  // Insertion sort, which is stable. std::stable_sort allocates a buffer, and
  // this runs once for each leaf request.
  per_rank<rank> order = kAllRanks;
  for (std::size_t i = 1; i < kRankCount; ++i) {
    for (std::size_t j = i; j > 0; --j) {
      if (due[RankIndex(order[j])] <= due[RankIndex(order[j - 1])]) break;
      std::swap(order[j], order[j - 1]);
    }
  }
  return order;
}

void leaf_queue::Charge(rank served, duration cost,
                        const per_rank<ppm>& floors) {
  const double micros = std::max<double>(1, static_cast<double>(cost.count()));
  // Floors that exceed the capacity are scaled down, so that credit stays
  // bounded.
  const double sum = static_cast<double>(floors[0]) + floors[1] + floors[2];
  const double divisor = std::max(kPpm, kFloorMargin * sum);
  last_cost_ = micros;
  bool higher_waits = false;  // A rank above `i` has work waiting.
  for (std::size_t i = 0; i < kRankCount; ++i) {
    higher_rank_waits_[i] = higher_waits;
    higher_waits = higher_waits || live_[i] > 0;
    if (live_[i] > 0 || higher_rank_waits_[i] || i == RankIndex(served)) {
      credit_[i] += micros * kFloorMargin * floors[i] / divisor;
    }
  }
  double& own = credit_[RankIndex(served)];
  own = std::max(0.0, own - micros);
  for (double& credit : credit_) {
    credit = std::min(credit, kMaxCreditRequests * micros);
  }
}

}  // namespace corianderrail
