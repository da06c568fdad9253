/** @file time_type.h Duration and time types of the core. */

#pragma once

#include <chrono>

namespace corianderrail {

/** Duration in microseconds, used throughout the core. */
using duration = std::chrono::microseconds;

/** Steady clock of one process, starting at 0 with the process. It has no
 *  now(): the core gets each time from its caller. */
struct process_clock {
  using duration = corianderrail::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true;
};

/** Time on the clock of one process; not comparable between hosts. */
using time_point = process_clock::time_point;

/** Time that never occurs; as a wake-up time it means that none is set. */
inline constexpr time_point kNever = time_point::max();

}  // namespace corianderrail
