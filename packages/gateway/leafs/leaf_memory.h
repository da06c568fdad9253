/** @file leaf_memory.h What is known of leafs without an entry. */

#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "core/time_type.h"
#include "gateway/leafs/leaf_state.h"

namespace corianderrail::gateway {

/**
 * Keeps what a host knows of a leaf after its entry lapsed or was replaced, for
 * the same boot of the leaf only. An entry that returns then brings no fresh
 * time to a leaf that leaves, and no fresh trust to one that fails.
 */
class leaf_memory {
 public:
  /** Keeps the state of a leaf whose entry is dropped. */
  void Keep(std::unique_ptr<leaf_state> leaf, time_point now);

  /** Takes the state of the process that a record names; null if unknown. */
  std::unique_ptr<leaf_state> Take(const std::string& key,
                                   const leaf_record& record);

  /** Forgets what no rule looks back at any more. */
  void Expire(time_point now);

  std::size_t Size() const { return kept_.size(); }

 private:
  struct kept_leaf {
    time_point until{};  ///< Forgotten then.
    std::unique_ptr<leaf_state> leaf;
  };

  std::deque<kept_leaf> kept_;  ///< Oldest first.
};

}  // namespace corianderrail::gateway
