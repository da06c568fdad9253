/** @file update_queue.h Member updates that still have to be sent. */

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

/** Members whose records are piggybacked, each a bounded number of times. */
class update_queue {
 public:
  /** Queues a member, or starts its count anew. */
  void Put(host_id host, std::uint32_t sends);

  /**
   * Picks up to `count` members, those sent least often first and among them
   * the newest. A change is then not delayed by a long queue, such as the
   * joins of a whole fleet that starts.
   */
  std::vector<host_id> NextBatch(std::size_t count);

  void Remove(host_id host);
  std::size_t Size() const { return keys_.size(); }

 private:
  /** Place of a member in the order of sending. */
  struct queue_key {
    std::uint32_t sends_left = 0;  ///< Sends left.
    std::uint64_t sequence = 0;    ///< Rises with each Put().

    auto operator<=>(const queue_key&) const = default;
  };

  // Each message takes a few members of a queue that may hold the whole fleet,
  // so the order is kept and not sorted for each message.
  std::map<queue_key, host_id, std::greater<>> order_;
  std::unordered_map<host_id, queue_key> keys_;
  std::uint64_t sequence_ = 0;
};

}  // namespace corianderrail
