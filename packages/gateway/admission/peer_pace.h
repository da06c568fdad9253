/** @file peer_pace.h How far a peer is behind a usual pace of transfer. */

#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** A peer that moves less than this per second falls behind: a 160th of the
 *  link of the smallest host, so no usual client or leaf does. */
inline constexpr std::size_t kUsualBytesPerSecond = 16u << 10;

/** Falling behind by up to this is not counted. It covers the interval between
 *  two observations (200 ms) and the repeat of a lost packet (200 ms). */
inline constexpr duration kPaceTolerance = std::chrono::milliseconds(500);

/**
 * Measures how far a transfer is behind the usual pace. Time adds to it and
 * bytes moved subtract from it, so a peer that moves single bytes from time to
 * time falls behind like one that moves none, and a large transfer at a usual
 * rate does not. Addresses clients and leafs that read or send slowly.
 */
class peer_pace {
 public:
  /** Notes that `moved` bytes moved since the last call. The first call begins
   *  the measurement. */
  void Advance(std::size_t moved, time_point now) {
    if (begun_) behind_ += now - seen_;
    begun_ = true;
    seen_ = now;
    const std::chrono::duration<double> usual(
        static_cast<double>(moved) / static_cast<double>(kUsualBytesPerSecond));
    behind_ = std::max(duration::zero(),
                       behind_ - std::chrono::duration_cast<duration>(usual));
  }

  /** Zero within the tolerance. */
  duration Behind(time_point now) const {
    const duration all = behind_ + std::max(duration::zero(), now - seen_);
    return all > kPaceTolerance ? all : duration::zero();
  }

 private:
  bool begun_ = false;
  time_point seen_{};  ///< Last call of Advance().
  duration behind_{};  ///< At `seen_`.
};

}  // namespace corianderrail::gateway
