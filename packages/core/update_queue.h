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
  std::vector<host_id> Take(std::size_t count);

  void Remove(host_id host);
  std::size_t Size() const { return places_.size(); }

 private:
  /** Place of a member in the order of sending. */
  struct place {
    std::uint32_t left = 0;      ///< Sends left.
    std::uint64_t sequence = 0;  ///< Rises with each Put().

    auto operator<=>(const place&) const = default;
  };

  // Each message takes a few members of a queue that may hold the whole fleet,
  // so the order is kept and not sorted for each message.
  std::map<place, host_id, std::greater<>> order_;
  std::unordered_map<host_id, place> places_;
  std::uint64_t sequence_ = 0;
};

}  // namespace corianderrail
