/**
 * @file cold_time.cpp Combines the sources of the cold time.
 *
 * Addresses leafs that are slow for some seconds after a start and crash when
 * they get their usual load then.
 */

#include "gateway/leafs/cold_time.h"

#include <algorithm>

namespace corianderrail::gateway {

void cold_time::OnEntry(duration left, time_point written_after,
                        time_point now) {
  entry_until_ = now + left;
  if (left == duration{}) started_.reset();
  // An entry that may date from the evacuation tells nothing about the load
  // that the leaf can take after it.
  if (evacuation_end_ && written_after >= *evacuation_end_) {
    evacuation_end_.reset();
  }
}

void cold_time::OnStated(duration left, time_point now) {
  stated_until_ = now + left;
}

time_point cold_time::Until(duration length) const {
  time_point until = std::max(entry_until_, stated_until_);
  if (started_) until = std::max(until, *started_ + length);
  if (evacuation_end_) until = std::max(until, *evacuation_end_ + length);
  return until;
}

}  // namespace corianderrail::gateway
