/** @file latency_digest.h Decaying histogram of latencies. */

#pragma once

#include <array>
#include <cstdint>

#include "core/time_type.h"

namespace corianderrail {

/**
 * Quantiles of recent latencies. The error is at most one bucket, an eighth of
 * an octave (9%). The weight of all samples is halved after every 1,000 new
 * ones, and all are dropped when none was added for 30 s.
 */
class latency_digest {
 public:
  void Add(duration latency, time_point now);

  /** True when there are enough recent samples to estimate a quantile. */
  bool HasEnoughSamples(time_point now) const;

  /** Upper edge of the bucket that holds the quantile; 0 without samples. */
  duration Quantile(double quantile) const;

  /** Tail quantile, the 95th percentile by default; cached. */
  duration Tail() const { return tail_; }

  /** 98th percentile, cached: time that must remain to send a request. */
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
