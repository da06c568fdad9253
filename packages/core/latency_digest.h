/** @file latency_digest.h Decaying histogram of latencies. */

#pragma once

#include <array>
#include <cstdint>

#include "core/time_type.h"

namespace corianderrail {

/**
 * Quantiles of recent latencies with an error of at most one bucket, an
 * eighth of an octave. Old samples lose weight by count, and all samples are
 * forgotten after a long time without one.
 */
class latency_digest {
 public:
  void Add(duration latency, time_point now);

  /** True when there are enough recent samples for a quantile. */
  bool HasEnoughSamples(time_point now) const;

  /** Upper edge of the bucket of the quantile; 0 without samples. */
  duration Quantile(double quantile) const;

  /** 95th or other tail quantile, cached between recomputations. */
  duration Tail() const { return tail_; }

  /** 98th percentile, cached: what a request needs to be sent. */
  duration RequiredTime() const { return required_time_; }

  duration Median() const { return median_; }

  void SetTailQuantile(double quantile) { tail_quantile_ = quantile; }

 private:
  static constexpr std::size_t kBuckets = 200;

  void Recompute();

  std::array<float, kBuckets> counts_{};
  double total_ = 0;
  std::uint32_t until_recompute_ = 0;  ///< Samples until the next refresh.
  std::uint32_t until_decay_ = 0;      ///< Samples until weights are halved.
  double tail_quantile_ = 0.95;
  duration tail_{};
  duration required_time_{};
  duration median_{};
  time_point last_sample_{};
};

}  // namespace corianderrail
