/** @file connection_warmup.h Opens connections to leafs in advance. */

#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>
#include <vector>

#include "core/time_type.h"
#include "gateway/message_type.h"

namespace corianderrail::gateway {

/**
 * Selects the leafs to which an entry host connects before a request needs
 * them: none after a start, later a few at a time, near ones first.
 */
class connection_warmup {
 public:
  /** Adds a leaf unless it is already waiting. */
  void Add(leaf_handle leaf, bool near);

  /** Drops all waiting leafs. */
  void Clear();

  /** Removes and returns the leafs to connect to now.
   *  @param started When this process started. */
  std::vector<leaf_handle> Take(time_point started, time_point now);

  std::size_t Size() const { return known_.size(); }

 private:
  std::deque<leaf_handle> near_;           ///< In the region of this host.
  std::deque<leaf_handle> far_;            ///< In other regions.
  std::unordered_set<leaf_handle> known_;  ///< In either queue.
};

}  // namespace corianderrail::gateway
