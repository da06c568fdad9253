/** @file leaf_queue.h Queues of one service by rank, with guaranteed floors. */

#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "core/contract_type.h"
#include "core/rank_type.h"
#include "core/slot_table.h"
#include "core/time_type.h"

namespace corianderrail {

/** Queue entry of a task. */
struct queue_entry {
  time_point deadline{};       ///< Sort key within the rank.
  std::uint64_t sequence = 0;  ///< Sort key among equal deadlines.
  slot_handle task = 0;        ///< Queued task; may have ended meanwhile.
};

/**
 * One queue per rank, earliest deadline first. Each rank with waiting work
 * first gets its floor, a guaranteed share of slot time; the rest is given out
 * in strict rank order.
 */
class leaf_queue {
 public:
  void Push(rank urgency, queue_entry entry);

  /** Entry of a rank with the earliest deadline; null if there is none. */
  const queue_entry* Front(rank urgency) const;
  queue_entry Pop(rank urgency);

  /** Live entries are those whose task still waits in the queue. Stale entries
   *  are not counted, but stay in the heap until they are popped. */
  void AddLive(rank urgency) { ++live_[RankIndex(urgency)]; }
  void RemoveLive(rank urgency);
  std::size_t Live(rank urgency) const { return live_[RankIndex(urgency)]; }
  std::size_t LiveTotal() const { return live_[0] + live_[1] + live_[2]; }

  /** Adds a request whose hedge waits for a free slot, unless already added. */
  void AddWaitingHedge(slot_handle call);

  /** Removes and returns the requests whose hedge waits for a slot. */
  std::vector<slot_handle> ExtractWaitingHedges() {
    return std::exchange(waiting_hedges_, {});
  }

  /** Ranks in the order in which they are to be served now. */
  per_rank<rank> ServingOrder(const per_rank<ppm>& floors) const;

  /** Charges the expected slot time of a request to the rank that was served.
   *  Credits that rank, each rank with waiting work and each rank below one
   *  with waiting work with its floor's share of that time. */
  void Charge(rank served, duration cost, const per_rank<ppm>& floors);

 private:
  per_rank<std::vector<queue_entry>> heaps_;
  std::vector<slot_handle> waiting_hedges_;  ///< Calls; no duplicates.
  per_rank<std::size_t> live_{};
  per_rank<double> credit_{};  ///< Slot time owed to a rank by its floor, us.
  per_rank<bool> higher_rank_waits_{};  ///< As of the last charge.
  double last_cost_ = 1;  ///< Last charged time, us; a rank owed it is due.
};

}  // namespace corianderrail
