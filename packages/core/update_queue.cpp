/** @file update_queue.cpp Choice of piggybacked member updates. */

#include "core/update_queue.h"

#include <utility>

namespace corianderrail {

void update_queue::Put(host_id host, std::uint32_t sends) {
  Remove(host);
  const place at{sends, ++sequence_};
  places_[host] = at;
  order_[at] = host;
}

std::vector<host_id> update_queue::Take(std::size_t count) {
  std::vector<std::pair<place, host_id>> taken;
  while (taken.size() < count && !order_.empty()) {
    taken.emplace_back(*order_.begin());
    order_.erase(order_.begin());
  }
  std::vector<host_id> result;
  for (auto& [at, host] : taken) {
    result.push_back(host);
    if (--at.left == 0) {
      places_.erase(host);
    } else {
      places_[host] = at;
      order_[at] = host;
    }
  }
  return result;
}

void update_queue::Remove(host_id host) {
  const auto found = places_.find(host);
  if (found == places_.end()) return;
  order_.erase(found->second);
  places_.erase(found);
}

}  // namespace corianderrail
