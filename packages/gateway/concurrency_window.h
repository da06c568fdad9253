/** @file concurrency_window.h How many requests a host keeps open at one leaf.
 */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** An answer as evidence of the queue at its leaf. */
struct window_sample {
  duration latency{};      ///< From sending to the answer.
  duration unloaded{};     ///< Usual latency while leafs have no queue.
  duration work{};         ///< Part of it that a leaf works.
  std::uint32_t open = 1;  ///< Requests open at the leaf, this one included.
};

/**
 * Adaptive bound on the open requests of this host at one leaf. There is none
 * until answers show a queue at the leaf or the leaf refuses; then it shrinks,
 * and grows again while answers show no queue.
 */
class concurrency_window {
 public:
  void OnAnswer(const window_sample& sample, time_point now);

  /** The leaf refused a request because it is full. */
  void OnRefusal(std::uint32_t open, time_point now);

  /** Most open requests; very large while there is no bound. */
  double Limit(time_point now) const;

  bool IsBounded(time_point now) const;

  /** Average wait at the leaf, from answers. */
  duration Delay() const;

 private:
  void Shrink(std::uint32_t open, double factor, time_point now);

  double limit_ = 0;  ///< At shrunk_at_; 0 means none.
  time_point shrunk_at_{};
  time_point observed_at_{};  ///< Last answer that counted.
  double delay_us_ = 0;       ///< Average wait at the leaf.
  double work_us_ = 0;        ///< Average work for one request, of all kinds.
};

}  // namespace corianderrail::gateway
