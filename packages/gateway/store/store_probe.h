/** @file store_probe.h Tests whether the store answers again. */

#pragma once

#include <cstdint>
#include <optional>

#include "core/random.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * Schedules short reads of the store beside the usual one, by a host that reads
 * from a peer in place of the store, or whose items were not confirmed in time.
 * Without them, hosts that lost the store at the same moment would read from
 * each other, and hosts behind a source that lost it would not notice.
 */
class store_probe {
 public:
  explicit store_probe(std::uint64_t seed) : random_(seed) {}

  /** Begins to probe at a random time within `spread`, unless that has begun
   *  already.
   *  @param spread Also the longest pause if it exceeds the usual one. */
  void Start(time_point now, duration spread = {});

  void Stop();

  /** Timeout of the probe that is due now, if any; open until it ends. */
  std::optional<duration> Next(time_point now);

  /** When the next probe is due; kNever while one is open or none is needed. */
  time_point NextWake() const { return open_ ? kNever : due_; }

  /** True until the store has answered or is not replaced any more. */
  bool Active() const { return due_ != kNever; }

  /** The open probe failed; ignored when none is open. */
  void OnFailure(time_point now);

 private:
  random_source random_;
  duration spread_{};
  time_point due_ = kNever;     ///< kNever while stopped.
  bool open_ = false;           ///< A probe is in progress.
  std::uint32_t failures_ = 0;  ///< Consecutive failures.
};

}  // namespace corianderrail::gateway
