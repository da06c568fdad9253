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

time_point permit_use::FreeAt(std::uint32_t permits, std::uint32_t open,
                              time_point now) const {
  const std::uint32_t resting = Resting(now);
  if (open + resting < permits) return now;
  // This many have to become free, the one that ended first before others.
  const std::uint32_t missing = open + resting - permits + 1;
  if (missing > resting) return now + kPermitRest;
  return ended_[ended_.size() - resting + missing - 1] + kPermitRest;
}

}  // namespace corianderrail::gateway
