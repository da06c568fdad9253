/** @file cold_time.h Until when a leaf is cold. */

#pragma once

#include <optional>

#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * Collects what is known about the cold time of one process of a leaf: its
 * registry entry, its own answers, its start, and the end of an evacuation of
 * its zone. The latest end applies.
 */
class cold_time {
 public:
  /** The leaf was first seen with a new start time. */
  void OnStarted(time_point now) { started_ = now; }

  /**
   * An entry of the leaf was read.
   * @param left Remaining cold time according to the entry.
   * @param written_after The entry was written after this time.
   */
  void OnEntry(duration left, time_point written_after, time_point now);

  /** The leaf stated its remaining cold time in an answer. */
  void OnStated(duration left, time_point now);

  /** An evacuation of the zone of the leaf ended. */
  void OnEvacuationEnd(time_point now) { evacuation_end_ = now; }

  /** @param length Cold time of the service after a start. */
  time_point Until(duration length) const;

 private:
  time_point entry_until_{};           ///< By the newest entry.
  time_point stated_until_{};          ///< By the newest answer that states it.
  std::optional<time_point> started_;  ///< First seen, unless refuted.
  std::optional<time_point> evacuation_end_;  ///< Unless refuted.
};

}  // namespace corianderrail::gateway
