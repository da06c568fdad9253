/** @file update_queue.cpp Order in which member updates are sent. */

#include "core/update_queue.h"

#include <utility>

namespace corianderrail {

namespace {

/** Sends that are saved when another host sent the same record. */
constexpr std::uint32_t kSendsPerHeard = 3;

}  // namespace

void update_queue::Put(host_id host, std::uint32_t sends) {
  Remove(host);
  const queue_key key{sends, ++sequence_};
  keys_[host] = key;
  order_[key] = host;
}

std::vector<host_id> update_queue::NextBatch(std::size_t count) {
  std::vector<std::pair<queue_key, host_id>> batch;
  while (batch.size() < count && !order_.empty()) {
    batch.emplace_back(*order_.begin());
    order_.erase(order_.begin());
  }
  std::vector<host_id> result;
  for (auto& [key, host] : batch) {
    result.push_back(host);
    if (--key.sends_left == 0) {
      keys_.erase(host);
    } else {
      keys_[host] = key;
      order_[key] = host;
    }
  }
  return result;
}

void update_queue::OnHeard(host_id host) {
  const auto found = keys_.find(host);
  if (found == keys_.end()) return;
  queue_key key = found->second;
  Remove(host);
  if (key.sends_left <= kSendsPerHeard) return;
  key.sends_left -= kSendsPerHeard;
  keys_[host] = key;
  order_[key] = host;
}

void update_queue::Remove(host_id host) {
  const auto found = keys_.find(host);
  if (found == keys_.end()) return;
  order_.erase(found->second);
  keys_.erase(found);
}

}  // namespace corianderrail
