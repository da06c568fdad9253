/** @file clock_gap.h Detects that this process did not run for a while. */

#pragma once

#include <optional>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Compares the times of calls that should come at a fixed interval. */
class clock_gap {
 public:
  explicit clock_gap(duration period) : period_(period) {}

  /** @return Delay of this call beyond the interval; empty for the
   *  short delays of a busy host. */
  std::optional<duration> Check(time_point now);

 private:
  duration period_;
  time_point last_{};  ///< Time of the last call; the epoch before the first.
};

}  // namespace corianderrail::gateway
