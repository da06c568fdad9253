/** @file loop_lag.h Measures how late this process handles events. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * Recent lateness of timers, as an estimate of how long the bytes of a request
 * wait before this process reads them.
 */
class loop_lag {
 public:
  /** A timer that was due at `due` is handled at `now`. */
  void OnTimer(time_point due, time_point now);

  /** Estimate at `now`; decays towards 0. */
  duration At(time_point now) const;

 private:
  duration lag_{};  ///< Value at measured_.
  time_point measured_{};
};

}  // namespace corianderrail::gateway
