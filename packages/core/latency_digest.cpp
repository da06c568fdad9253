/** @file latency_digest.cpp Decaying histogram of latencies. */

#include "core/latency_digest.h"

#include <algorithm>
#include <cmath>

namespace corianderrail {

namespace {

constexpr double kBucketsPerOctave = 8.0;

/** Weights are halved after this many samples. 2,000 samples after a change of
 *  speed, 3/4 of the weight belongs to new samples. */
constexpr std::uint32_t kDecayEvery = 1000;

/** Cached quantiles are recomputed after this many samples. */
constexpr std::uint32_t kRecomputeEvery = 16;

/** Fewer samples are too few to estimate a tail quantile. */
constexpr double kMinSamples = 16;

/** After this long without a sample, the old ones no longer describe the load.
 */
constexpr duration kSampleLifetime = std::chrono::seconds(30);

/** Quantile of the time reserved for a request at a leaf. With the median, half
 *  of the work sent under overload would expire in the leaf. */
constexpr double kRequiredTimeQuantile = 0.98;

std::size_t BucketOf(duration latency, std::size_t buckets) {
  const auto micros =
      static_cast<double>(std::max<duration::rep>(latency.count(), 1));
  const auto bucket =
      static_cast<std::size_t>(std::log2(micros) * kBucketsPerOctave);
  return std::min(bucket, buckets - 1);
}

duration UpperEdge(std::size_t bucket) {
  const double micros =
      std::exp2((static_cast<double>(bucket) + 1) / kBucketsPerOctave);
  return duration(static_cast<duration::rep>(std::ceil(micros)));
}

}  // namespace

void latency_digest::Add(duration latency, time_point now) {
  if (total_ > 0 && now - last_sample_ > kSampleLifetime) {
    counts_.fill(0);
    total_ = 0;
    until_recompute_ = 0;
  }
  last_sample_ = now;
  if (until_decay_ == 0) {
    until_decay_ = kDecayEvery;
    total_ = 0;
    for (float& count : counts_) {
      count /= 2;
      total_ += count;
    }
  }
  --until_decay_;
  counts_[BucketOf(latency, kBuckets)] += 1;
  total_ += 1;
  if (until_recompute_ == 0) {
    until_recompute_ = kRecomputeEvery;
    Recompute();
  }
  --until_recompute_;
}

bool latency_digest::HasEnoughSamples(time_point now) const {
  return total_ >= kMinSamples && now - last_sample_ <= kSampleLifetime;
}

void latency_digest::Recompute() {
  tail_ = Quantile(tail_quantile_);
  required_time_ = Quantile(kRequiredTimeQuantile);
  median_ = Quantile(0.5);
}

duration latency_digest::Quantile(double quantile) const {
  if (total_ <= 0) return duration{};
  double left = total_ * quantile;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    left -= counts_[i];
    if (counts_[i] > 0 && left <= 0) return UpperEdge(i);
  }
  return UpperEdge(kBuckets - 1);
}

}  // namespace corianderrail
