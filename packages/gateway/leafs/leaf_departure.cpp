/** @file leaf_departure.cpp Evidence of a departure. */

#include "gateway/leafs/leaf_departure.h"

#include <algorithm>

namespace corianderrail::gateway {

void leaf_departure::OnServing(time_point sent) {
  serving_at_ = std::max(serving_at_, sent);
}

// The leaf may have left for some time before this answer, but it had not begun
// to when it received the last request that it answered without saying so.
bool leaf_departure::OnStatedLeaving() {
  if (stated_since_) return false;
  stated_since_ = serving_at_;
  return true;
}

// A leaf that drained before its removal has been leaving since it began to
// drain.
void leaf_departure::OnUnlisted(time_point since) {
  if (!unlisted_since_) unlisted_since_ = since;
}

std::optional<time_point> leaf_departure::Since() const {
  if (!stated_since_) return unlisted_since_;
  if (!unlisted_since_) return stated_since_;
  return std::min(*stated_since_, *unlisted_since_);
}

}  // namespace corianderrail::gateway
