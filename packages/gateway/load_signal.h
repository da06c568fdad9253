/** @file load_signal.h Whether a host should share its clients. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/** When a host calls itself busy. */
struct load_settings {
  double cores = 1;          ///< Processor that the host may use.
  double busy_above = 0.5;   ///< Part of it; above, the host is busy.
  double calm_below = 0.25;  ///< Below, it is not any more.
  duration time_constant = std::chrono::seconds(2);  ///< Of the average.
};

/** Average use of the processor, with hysteresis. */
class load_signal {
 public:
  explicit load_signal(const load_settings& settings);

  /**
   * Takes the processor time that the process used so far.
   * @return Whether the host is busy.
   */
  bool Update(duration used, time_point now);

  /** Part of the processor that is in use. */
  double Use() const { return use_; }

 private:
  load_settings settings_;
  double use_ = 0;
  bool busy_ = false;
  duration last_used_{};
  time_point last_{};
};

}  // namespace corianderrail::gateway
