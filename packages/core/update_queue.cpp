/** @file update_queue.cpp Choice of piggybacked member updates. */

#include "core/update_queue.h"

#include <algorithm>
#include <utility>

namespace corianderrail {

void update_queue::Put(host_id host, std::uint32_t sends) {
  left_[host] = sends;
}

std::vector<host_id> update_queue::Take(std::size_t count) {
  std::vector<std::pair<std::uint32_t, host_id>> order;
  order.reserve(left_.size());
  for (const auto& [host, left] : left_) order.emplace_back(left, host);
  count = std::min(count, order.size());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
  // Fresh updates go first, so that a long queue does not delay them.
  std::partial_sort(order.begin(), end, order.end(), std::greater<>());
  std::vector<host_id> result;
  for (auto it = order.begin(); it != end; ++it) {
    result.push_back(it->second);
    if (--left_[it->second] == 0) left_.erase(it->second);
  }
  return result;
}

void update_queue::Remove(host_id host) { left_.erase(host); }

}  // namespace corianderrail
