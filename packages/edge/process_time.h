/** @file process_time.h Clock of the reducers and its conversion for timers. */

#pragma once

#include <ctime>

#include <chrono>

#include "core/time_type.h"

namespace corianderrail::edge {

/** Current time on the clock of the reducers. CLOCK_BOOTTIME also counts the
 *  time in which the host was suspended, so that state from before a
 *  suspension does not seem recent. */
inline time_point Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/** Converts a time of the reducers to the clock of the asio timers. */
inline std::chrono::steady_clock::time_point SteadyTime(time_point at) {
  return std::chrono::steady_clock::now() + (at - Now());
}

}  // namespace corianderrail::edge
