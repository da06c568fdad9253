/** @file update_queue.h Member updates that still have to be sent. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/id_type.h"

namespace corianderrail {

/** Members whose records are piggybacked, each a bounded number of times. */
class update_queue {
 public:
  /** Queues a member, or starts its count anew. */
  void Put(host_id host, std::uint32_t sends);

  /** Picks up to `count` members, those sent least often first. */
  std::vector<host_id> Take(std::size_t count);

  void Remove(host_id host);
  std::size_t Size() const { return left_.size(); }

 private:
  std::map<host_id, std::uint32_t> left_;  ///< Sends left.
};

}  // namespace corianderrail
