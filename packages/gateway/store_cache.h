/** @file store_cache.h Copy of a part of the store, for other hosts. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway/store_type.h"

namespace corianderrail::gateway {

/**
 * Keeps the items that a follower read and serves them like the store: a
 * listing, or the changes after a revision. Never goes back.
 */
class store_cache {
 public:
  /** Applies changes, and the revision up to which nothing is missing. */
  void Apply(std::span<const store_item> changes, std::uint64_t revision);

  /** All items; nothing before the first Apply(). */
  std::optional<store_reply> List() const;

  /** Changes after a revision; nothing when some of them are forgotten. */
  std::optional<store_reply> ChangesAfter(std::uint64_t revision) const;

  std::uint64_t Revision() const { return revision_; }

 private:
  /** Removals kept; a reader that missed more lists anew. */
  static constexpr std::size_t kMaxRemovals = 2048;

  std::map<std::string, store_item> items_;
  std::deque<store_item> removals_;  ///< In order of revision.
  std::uint64_t removals_from_ = 0;  ///< All later removals are kept.
  std::uint64_t revision_ = 0;
};

}  // namespace corianderrail::gateway
