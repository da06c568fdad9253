/** @file permit_use.cpp Counts the requests that ended within a second. */

#include "gateway/leafs/permit_use.h"

#include <algorithm>

namespace corianderrail::gateway {

void permit_use::OnEnded(time_point now) {
  while (!ended_.empty() && ended_.front() + kPermitRest <= now) {
    ended_.pop_front();
  }
  ended_.push_back(now);
}

std::uint32_t permit_use::Resting(time_point now) const {
  const auto first = std::upper_bound(ended_.begin(), ended_.end(), now,
                                      [](time_point time, time_point ended) {
                                        return time < ended + kPermitRest;
                                      });
  return static_cast<std::uint32_t>(ended_.end() - first);
}

}  // namespace corianderrail::gateway
