/** @file concurrency_window.h Adaptive limit on open requests per leaf. */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Latency sample that shows the queue at a leaf. */
struct window_sample {
  duration latency{};   ///< From sending to the answer.
  duration unloaded{};  ///< Usual latency without queueing.
  duration work{};      ///< Estimated time that a leaf works for the request.
  std::uint32_t open = 1;  ///< Open requests at the leaf, including this one.
};

/**
 * Adaptive limit on the open requests of this host at one leaf. It starts when
 * answers show a queue at the leaf or the leaf refuses a request, shrinks with
 * each further sign of a queue, grows over time, and ends when it has grown far
 * beyond its last reduced value.
 */
class concurrency_window {
 public:
  void OnAnswer(const window_sample& sample, time_point now);

  /** The leaf refused a request because it is full. */
  void OnRefusal(std::uint32_t open, time_point now);

  /** Maximum open requests; very large while there is no limit. */
  double Limit(time_point now) const;

  bool HasLimit(time_point now) const;

  /** Average queueing delay at the leaf. */
  duration Delay() const;

 private:
  void Shrink(std::uint32_t open, double factor, time_point now);

  double limit_ = 0;  ///< Value at shrunk_at_; 0 means no limit.
  time_point shrunk_at_{};
  duration growth_period_{};  ///< Time in which it grows by one request.
  time_point observed_at_{};  ///< Last answer that was used as a sample.
  double delay_us_ = 0;       ///< Average queueing delay.
  double work_us_ = 0;        ///< Average work per request.
};

}  // namespace corianderrail::gateway
