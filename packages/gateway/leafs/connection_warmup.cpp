/**
 * @file connection_warmup.cpp Start and pace of connections in advance.
 *
 * When all hosts start at the same time, most of them count as entry hosts
 * until they know the others. If each connected to all leafs, leafs would reach
 * their connection limits, and small hosts would spend their first second on
 * handshakes instead of requests. A starting host connects on demand only.
 */

#include "gateway/leafs/connection_warmup.h"

#include <algorithm>

#include "gateway/leafs/connection_share.h"

namespace corianderrail::gateway {

namespace {

/** Maximum number of connections per call of Take(), that is, in each check of
 *  the leafs. */
constexpr std::size_t kMaxBatch = 16;

}  // namespace

void connection_warmup::Add(leaf_handle leaf, bool near) {
  if (!known_.insert(leaf).second) return;
  (near ? near_ : far_).push_back(leaf);
}

void connection_warmup::Clear() {
  near_.clear();
  far_.clear();
  known_.clear();
}

std::vector<leaf_handle> connection_warmup::Take(time_point started,
                                                 time_point now) {
  std::vector<leaf_handle> taken;
  if (now < started + kStartupPeriod) return taken;
  for (std::deque<leaf_handle>* queue : {&near_, &far_}) {
    while (!queue->empty() && taken.size() < kMaxBatch) {
      taken.push_back(queue->front());
      known_.erase(queue->front());
      queue->pop_front();
    }
  }
  return taken;
}

}  // namespace corianderrail::gateway
