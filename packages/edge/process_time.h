/** @file process_time.h The clock of the reducers. */

#pragma once

#include <ctime>

#include <chrono>

#include "core/time_type.h"

namespace corianderrail::edge {

/** Now, on the clock of the reducers. It also counts the time in which the
 *  host was suspended, so that nothing from before seems recent. */
inline time_point Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/** A moment of the reducers as one of the clock that timers use. */
inline std::chrono::steady_clock::time_point SteadyTime(time_point at) {
  return std::chrono::steady_clock::now() + (at - Now());
}

}  // namespace corianderrail::edge
