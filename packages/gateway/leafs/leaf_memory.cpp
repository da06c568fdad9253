/** @file leaf_memory.cpp Bounded memory of lapsed registrations. */

#include "gateway/leafs/leaf_memory.h"

#include <algorithm>
#include <utility>

#include "core/stable_hash.h"

namespace corianderrail::gateway {

namespace {

/** Longer than leafs serve after they began to leave, and than their entries
 *  lapse in an outage of the registry. */
constexpr duration kMemoryTime = std::chrono::seconds(120);

/** Some 900 bytes each, so two megabytes at most. */
constexpr std::size_t kMaxKept = 2048;

}  // namespace

bool IsOtherProcess(const leaf_record& a, const leaf_record& b) {
  const bool restarted = a.born_unix_ms != 0 && b.born_unix_ms != 0 &&
                         a.born_unix_ms != b.born_unix_ms;
  return restarted || a.address != b.address || a.service != b.service ||
         a.instance != b.instance;
}

leaf_boot BootOf(const leaf_record& record) {
  const std::uint64_t instance = HashBytes(record.instance);
  return leaf_boot{
      MixHash(instance ^ static_cast<std::uint64_t>(record.born_unix_ms))};
}

void leaf_memory::Keep(std::unique_ptr<leaf_state> leaf, time_point now) {
  leaf->monitor.DropAllCalls();
  leaf->connecting = false;
  kept_.push_back({now + kMemoryTime, std::move(leaf)});
  if (kept_.size() > kMaxKept) kept_.pop_front();
}

std::unique_ptr<leaf_state> leaf_memory::Take(const std::string& key,
                                              const leaf_record& record) {
  const auto found =
      std::find_if(kept_.begin(), kept_.end(), [&](const kept_leaf& one) {
        return one.leaf->key == key &&
               !IsOtherProcess(one.leaf->record, record);
      });
  if (found == kept_.end()) return nullptr;
  auto leaf = std::move(found->leaf);
  kept_.erase(found);
  return leaf;
}

void leaf_memory::Expire(time_point now) {
  while (!kept_.empty() && kept_.front().until <= now) kept_.pop_front();
}

}  // namespace corianderrail::gateway
