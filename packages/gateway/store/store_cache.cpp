/** @file store_cache.cpp Current items and recent removals. */

#include "gateway/store/store_cache.h"

#include <algorithm>

namespace corianderrail::gateway {

void store_cache::Apply(std::span<const store_item> changes,
                        std::uint64_t revision) {
  // Removals before the first listing are unknown.
  if (revision_ == 0) removals_from_ = revision;
  for (const store_item& change : changes) {
    if (!change.removed) {
      items_[change.key] = change;
      continue;
    }
    items_.erase(change.key);
    removals_.push_back(change);
  }
  while (removals_.size() > kMaxRemovals) {
    removals_from_ = std::max(removals_from_, removals_.front().revision);
    removals_.pop_front();
  }
  revision_ = std::max(revision_, revision);
}

std::optional<store_reply> store_cache::List() const {
  if (revision_ == 0) return std::nullopt;
  store_reply reply;
  reply.revision = revision_;
  for (const auto& [key, item] : items_) reply.items.push_back(item);
  return reply;
}

std::optional<store_reply> store_cache::ChangesAfter(
    std::uint64_t revision) const {
  if (revision_ == 0 || revision < removals_from_) return std::nullopt;
  store_reply reply;
  reply.revision = revision_;
  for (const auto& [key, item] : items_) {
    if (item.revision > revision) reply.items.push_back(item);
  }
  for (const store_item& item : removals_) {
    // A key that was written again is already in the reply.
    const bool returned = items_.contains(item.key);
    if (item.revision > revision && !returned) reply.items.push_back(item);
  }
  return reply;
}

}  // namespace corianderrail::gateway
