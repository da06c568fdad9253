/** @file process_time.h The steady clock as the reducers see it. */

#pragma once

#include <chrono>

#include "core/time_type.h"

namespace corianderrail::edge {

/** Now, on the clock of the reducers. */
inline time_point Now() {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/** A moment of the reducers as one of the steady clock. */
inline std::chrono::steady_clock::time_point SteadyTime(time_point at) {
  return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

}  // namespace corianderrail::edge
