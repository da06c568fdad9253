/** @file permit_use.h Permits of a cold leaf that rest after a request. */

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** A permit is free again this long after its request ended. Counted from the
 *  end, because a request may wait for a connection: counted from the sending,
 *  two of them could be written within one second. */
inline constexpr duration kPermitRest = std::chrono::seconds(1);

/** Requests of this host to one leaf that ended a short time ago. */
class permit_use {
 public:
  /** A request was answered, failed or was canceled. */
  void OnEnded(time_point now);

  /** Requests that ended less than kPermitRest ago. */
  std::uint32_t Resting(time_point now) const;

  /** Earliest time at which one of the permits can be free.
   *  @param open Requests that have not ended. */
  time_point FreeAt(std::uint32_t permits, std::uint32_t open,
                    time_point now) const;

 private:
  std::deque<time_point> ended_;  ///< In order; older ones are removed.
};

}  // namespace corianderrail::gateway
