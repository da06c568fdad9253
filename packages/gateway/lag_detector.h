/** @file lag_detector.h Notices that peers know changes that this host lacks.
 */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * Compares the newest change of this host with that of its peers. A change
 * reaches hosts at different moments, so only one that is missing for longer
 * than that counts.
 */
class lag_detector {
 public:
  /**
   * @param own Revision of the newest change that this host knows.
   * @param peers Newest revision that a peer claims to know.
   * @return True when a change is overdue; not again before another delay.
   */
  bool Overdue(std::uint64_t own, std::uint64_t peers, time_point now);

 private:
  std::uint64_t expected_ = 0;  ///< Change that must arrive; 0 for none.
  time_point since_{};          ///< When it was first heard of.
};

}  // namespace corianderrail::gateway
