/** @file clock_gap.h Notices that this process did not run for a while. */

#pragma once

#include <optional>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Compares the times of looks that should come at a steady pace. */
class clock_gap {
 public:
  explicit clock_gap(duration period) : period_(period) {}

  /** @return Time that is missing since the last look, if it is long. */
  std::optional<duration> Check(time_point now);

 private:
  duration period_;
  time_point last_{};  ///< The last look; the epoch before the first.
};

}  // namespace corianderrail::gateway
