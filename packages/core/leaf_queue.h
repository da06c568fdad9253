/** @file leaf_queue.h Rank queues of one service with weighted floors. */

#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "core/contract_type.h"
#include "core/rank_type.h"
#include "core/slot_table.h"
#include "core/time_type.h"

namespace corianderrail {

/** One queued piece of work. */
struct queue_entry {
  time_point deadline{};       ///< Order within the rank.
  std::uint64_t sequence = 0;  ///< Order among equal deadlines.
  slot_handle task = 0;        ///< The work; may be gone already.
};

/**
 * One queue per rank, earliest deadline first. Each rank with waiting work
 * gets its floor share of slot time first; the rest goes by strict rank.
 */
class leaf_queue {
 public:
  void Push(rank urgency, queue_entry entry);

  /** Earliest entry of a rank, or null. */
  const queue_entry* Front(rank urgency) const;
  queue_entry Pop(rank urgency);

  /** Counts live entries; stale entries stay until they are popped. */
  void AddLive(rank urgency) { ++live_[RankIndex(urgency)]; }
  void RemoveLive(rank urgency);
  std::size_t Live(rank urgency) const { return live_[RankIndex(urgency)]; }
  std::size_t LiveTotal() const { return live_[0] + live_[1] + live_[2]; }

  /** Adds a request whose hedge waits for a free slot, unless it is there. */
  void AddWaitingHedge(slot_handle call);

  /** Removes and returns the requests whose hedge waits. */
  std::vector<slot_handle> TakeWaitingHedges() {
    return std::exchange(waiting_hedges_, {});
  }

  /** Ranks in the order in which they are served now. */
  per_rank<rank> ServingOrder(const per_rank<ppm>& floors) const;

  /** Charges slot time to the rank that was served. */
  void Charge(rank served, duration cost, const per_rank<ppm>& floors);

 private:
  per_rank<std::vector<queue_entry>> heaps_;
  std::vector<slot_handle> waiting_hedges_;  ///< Requests whose hedge waits.
  per_rank<std::size_t> live_{};
  per_rank<double> credit_{};  ///< Slot time due to each rank, microseconds.
  per_rank<bool> higher_rank_waits_{};  ///< Higher ranks have work waiting.
  double last_cost_ = 1;  ///< Credit that entitles a rank to be served.
};

}  // namespace corianderrail
