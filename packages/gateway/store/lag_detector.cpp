/** @file lag_detector.cpp Overdue changes. */

#include "gateway/store/lag_detector.h"

namespace corianderrail::gateway {

namespace {

/** A change reaches all hosts within this time. It covers two debounce pauses
 *  after earlier changes and two reads. */
constexpr duration kPropagationTime = std::chrono::milliseconds(1000);

/** A host that knows nothing lists all items within this time; one with a
 *  source that does not deliver reads another one within it. */
constexpr duration kListingTime = std::chrono::milliseconds(400);

}  // namespace

bool lag_detector::Overdue(std::uint64_t own, std::uint64_t peers,
                           time_point now, bool stale) {
  if (own >= expected_) expected_ = 0;
  if (own >= peers) return false;
  if (expected_ == 0) {
    expected_ = peers;
    since_ = now;
    return stale;
  }
  const bool urgent = own == 0 || stale;
  if (now < since_ + (urgent ? kListingTime : kPropagationTime)) return false;
  since_ = now;
  return true;
}

}  // namespace corianderrail::gateway
