/**
 * @file concurrency_window.cpp Shrinks by queueing delay and refusals.
 *
 * Queues form at the leafs during a flood or when all leafs are slow. A leaf
 * serves the requests of all hosts in order of arrival, so urgent requests wait
 * behind others there. The window keeps that queue short: requests wait in the
 * hosts, which order them by rank and refuse them in time.
 */

#include "gateway/leafs/concurrency_window.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Weight of one sample in the averages. */
constexpr double kSampleWeight = 0.3;

/** Average delay, as a multiple of the work per request, above which the window
 *  shrinks. One waiting request per slot is enough to keep a leaf busy. */
constexpr double kQueueThreshold = 1.5;

/** Upper bound of a delay sample as a multiple of the work per request. Longer
 *  delays come from a pause of the leaf, not from its queue. */
constexpr double kMaxCountedDelay = 4;

/** When a queue or a refusal shows, the window shrinks to this fraction of its
 *  limit or of the open requests, whichever is smaller; in proportion to the
 *  excess for a long queue. */
constexpr double kQueueShrinkFactor = 0.75;
constexpr double kRefusalShrinkFactor = 0.5;

/** The window grows by one request in this time, or in this many latencies of
 *  a leaf with a queue: with a fixed period, each host adds several requests
 *  before the first answer shows their effect, and the queue stays full. */
constexpr duration kGrowthPeriod = std::chrono::milliseconds(250);
constexpr int kGrowthLatencies = 4;
constexpr duration kMaxGrowthPeriod = std::chrono::seconds(1);

/** The limit ends after the window has grown by this many requests. */
constexpr double kMaxGrowth = 20;

/** Minimum of the limit. The gateway allows one open request in any case; a
 *  limit below one delays the second one. */
constexpr double kMinLimit = 0.25;

constexpr double kUnlimited = 1e9;

double Ratio(duration part, duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<duration::rep>(whole.count(), 1));
}

}  // namespace

void concurrency_window::OnAnswer(const window_sample& sample, time_point now) {
  // Requests that were open at the same time waited in the same queue or for
  // the same pause of the leaf, so they count as one sample.
  if (now - sample.latency < observed_at_) return;
  observed_at_ = now;
  const auto work = static_cast<double>(sample.work.count());
  work_us_ += kSampleWeight * (work - work_us_);
  const auto waited = static_cast<double>(
      std::max(duration{}, sample.latency - sample.unloaded).count());
  const double counted = std::min(waited, kMaxCountedDelay * work_us_);
  delay_us_ += kSampleWeight * (counted - delay_us_);
  const double tolerated = kQueueThreshold * work_us_;
  if (delay_us_ <= tolerated) {
    growth_period_ = std::min(growth_period_, kGrowthPeriod);
    return;
  }
  growth_period_ = std::clamp(sample.latency * kGrowthLatencies, kGrowthPeriod,
                              kMaxGrowthPeriod);
  Shrink(sample.open, std::min(tolerated / delay_us_, kQueueShrinkFactor), now);
}

void concurrency_window::OnRefusal(std::uint32_t open, time_point now) {
  growth_period_ = std::max(growth_period_, kGrowthPeriod);
  Shrink(open, kRefusalShrinkFactor, now);
}

void concurrency_window::Shrink(std::uint32_t open, double factor,
                                time_point now) {
  limit_ = std::max(kMinLimit, std::min<double>(Limit(now), open) * factor);
  shrunk_at_ = now;
}

bool concurrency_window::HasLimit(time_point now) const {
  return Limit(now) < kUnlimited;
}

duration concurrency_window::Delay() const {
  return duration(static_cast<duration::rep>(delay_us_));
}

double concurrency_window::Limit(time_point now) const {
  if (limit_ == 0) return kUnlimited;
  const double growth = Ratio(now - shrunk_at_, growth_period_);
  return growth > kMaxGrowth ? kUnlimited : limit_ + growth;
}

}  // namespace corianderrail::gateway
