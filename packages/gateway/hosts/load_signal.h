/** @file load_signal.h Decides whether a host is busy. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Thresholds of the load signal. */
struct load_settings {
  double cores = 1;         ///< Processor cores that the host may use.
  double busy_above = 0.5;  ///< The host becomes busy above this share of them.
  double calm_below = 0.25;  ///< It stops being busy below this share.
  duration time_constant = std::chrono::seconds(2);  ///< Of the moving average.
};

/** Averages processor use and reports a busy host with hysteresis. */
class load_signal {
 public:
  explicit load_signal(const load_settings& settings);

  /**
   * Adds a sample. @param used Processor time of the process since its start.
   * @return Whether the host is busy.
   */
  bool Update(duration used, time_point now);

  /** Average share of the available processor time that is used. */
  double Use() const { return use_; }

 private:
  load_settings settings_;
  double use_ = 0;
  bool busy_ = false;
  duration last_used_{};
  time_point last_{};
};

}  // namespace corianderrail::gateway
