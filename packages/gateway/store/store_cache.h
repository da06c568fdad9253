/** @file store_cache.h Copy of a store prefix that is served to other hosts. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway/store/store_type.h"

namespace corianderrail::gateway {

/**
 * Keeps the items that a store_follower read and serves them like the store:
 * as a listing, or as the changes after a revision. Its revision never
 * decreases.
 */
class store_cache {
 public:
  /** Applies changes. @param revision All changes up to it are included. */
  void Apply(std::span<const store_item> changes, std::uint64_t revision);

  /** All items; empty before the first Apply(). */
  std::optional<store_reply> List() const;

  /** Changes after a revision; empty when some of them are no longer kept. */
  std::optional<store_reply> ChangesAfter(std::uint64_t revision) const;

  std::uint64_t Revision() const { return revision_; }

 private:
  /** Removals that are kept. A reader that missed more must list again. */
  static constexpr std::size_t kMaxRemovals = 2048;

  std::map<std::string, store_item> items_;
  std::deque<store_item> removals_;  ///< In order of revision.
  std::uint64_t removals_from_ = 0;  ///< Removals after this revision are kept.
  std::uint64_t revision_ = 0;
};

}  // namespace corianderrail::gateway
