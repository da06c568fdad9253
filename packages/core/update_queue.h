/** @file update_queue.h Queue of member updates to piggyback. */

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/id_type.h"

namespace corianderrail {

/** Members whose records are piggybacked on messages, each a bounded number of
 *  times. */
class update_queue {
 public:
  /**
   * Queues a member, or resets the count of one already queued.
   * @param sends Number of times that the record is sent; at least 1.
   */
  void Put(host_id host, std::uint32_t sends);

  /**
   * Returns up to `count` members and counts one send for each. Members with
   * the most sends left come first, and among them the newest, so that a new
   * change is not delayed by a long queue, such as the joins while a whole
   * fleet starts.
   */
  std::vector<host_id> NextBatch(std::size_t count);

  /** Another host sent the same record. Counts several sends, because members
   *  that hear a change from others need it less often from this host. */
  void OnHeard(host_id host);

  void Remove(host_id host);
  std::size_t Size() const { return keys_.size(); }

 private:
  /** Sort key of a queued member. */
  struct queue_key {
    std::uint32_t sends_left = 0;  ///< Sends left; at least 1.
    std::uint64_t sequence = 0;    ///< Incremented by each Put().

    auto operator<=>(const queue_key&) const = default;
  };

  // Each message contains a few members of a queue that may hold the whole
  // fleet.
  // A sorted map avoids sorting the queue for each message.
  std::map<queue_key, host_id, std::greater<>> order_;
  std::unordered_map<host_id, queue_key> keys_;
  std::uint64_t sequence_ = 0;
};

}  // namespace corianderrail
