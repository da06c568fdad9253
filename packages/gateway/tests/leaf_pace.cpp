/** @file leaf_pace.cpp Work of a simulated leaf between its pauses. */

#include "leaf_pace.h"

#include <cstdint>

namespace corianderrail::gateway {

leaf_pace::leaf_pace(const leaf_variation& variation,
                     const std::string& service, random_source& random)
    : pause_(variation.pause_length), period_(variation.pause_period) {
  if (variation.spread > 0) {
    work_factor_ += variation.spread * (2 * random.Unit() - 1);
  }
  if (period_ > duration{}) {
    phase_ = duration(static_cast<duration::rep>(
        random.Below(static_cast<std::uint64_t>(period_.count()))));
  }
  const bool slow =
      service == variation.slow_service ||
      (variation.slow_share > 0 && random.Unit() < variation.slow_share);
  if (slow) work_factor_ *= variation.slow_factor;
}

time_point leaf_pace::EndOfWork(time_point now, duration work) const {
  duration left(static_cast<duration::rep>(static_cast<double>(work.count()) *
                                           work_factor_));
  if (period_ == duration{}) return now + left;
  time_point at = now;
  duration in_period = (at.time_since_epoch() + phase_) % period_;
  if (in_period < pause_) {
    at += pause_ - in_period;
    in_period = pause_;
  }
  while (left > period_ - in_period) {
    left -= period_ - in_period;
    at += period_ - in_period + pause_;
    in_period = pause_;
  }
  return at + left;
}

double leaf_pace::Speed() const {
  const double paused = period_ == duration{}
                            ? 0
                            : static_cast<double>(pause_.count()) /
                                  static_cast<double>(period_.count());
  return (1 - paused) / work_factor_;
}

}  // namespace corianderrail::gateway
