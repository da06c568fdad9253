/** @file lag_detector.h Detects changes that only other hosts know. */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * Compares the newest revision of this host with that of its peers. Changes
 * reach hosts at different times, so a change counts as overdue only when it is
 * missing for longer than the usual propagation time.
 */
class lag_detector {
 public:
  /**
   * @param own Newest revision that this host knows.
   * @param peers Newest revision that any peer claims to know.
   * @param stale The items of this host were not confirmed in time, so the
   *     usual way of a change is interrupted.
   * @return True when a change is overdue, at most once per propagation time.
   */
  bool Overdue(std::uint64_t own, std::uint64_t peers, time_point now,
               bool stale = false);

 private:
  std::uint64_t expected_ = 0;  ///< Revision that must arrive; 0 for none.
  time_point since_{};  ///< When a peer first claimed it, or the last report.
};

}  // namespace corianderrail::gateway
