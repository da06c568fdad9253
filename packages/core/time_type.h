/** @file time_type.h Virtual time as the reducer sees it. */

#pragma once

#include <chrono>

namespace corianderrail {

/** All durations in the core, in microseconds. */
using duration = std::chrono::microseconds;

/** Steady clock of one process; its epoch is the start of the process. */
struct process_clock {
  using duration = corianderrail::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true;
};

/** A moment on the clock of one process. */
using time_point = process_clock::time_point;

/** Later than every moment that occurs; means "no wake-up wanted". */
inline constexpr time_point kNever = time_point::max();

}  // namespace corianderrail
