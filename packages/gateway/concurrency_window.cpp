/**
 * @file concurrency_window.cpp Shrinking by queueing delay and by refusals.
 *
 * Answers floods and leafs that all turned slow. A queue at a leaf is served
 * in order of arrival and holds work of all hosts, so urgent requests wait
 * behind others there. With a short queue at the leaf, requests wait in the
 * hosts, where they are ordered by rank and refused in time.
 */

#include "gateway/concurrency_window.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Weight of one answer in the averages. */
constexpr double kSampleWeight = 0.3;

/** Average wait at which the leaf has a queue, as a multiple of its work. One
 *  request that waits behind each slot keeps a leaf busy. */
constexpr double kQueueThreshold = 1.5;

/** Longer waits count as this multiple of the work: a pause of the leaf, not
 *  its queue. */
constexpr double kMaxCountedDelay = 4;

/** The window shrinks to this part of the open requests. */
constexpr double kQueueShrinkFactor = 0.75;
constexpr double kRefusalShrinkFactor = 0.5;

/** Time in which the window grows by one request. */
constexpr duration kGrowthPeriod = std::chrono::milliseconds(250);

/** The bound ends when the window has grown by this much. */
constexpr double kMaxGrowth = 20;

/** Least bound. Callers keep one request open in any case; a bound below one
 *  takes longer to allow the second. */
constexpr double kMinLimit = 0.25;

constexpr double kUnlimited = 1e9;

double Ratio(duration part, duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<duration::rep>(whole.count(), 1));
}

}  // namespace

void concurrency_window::OnAnswer(const window_sample& sample, time_point now) {
  // Requests that were open at the same time waited in the same queue, or
  // behind the same pause of the leaf: they are one observation.
  if (now - sample.latency < observed_at_) return;
  observed_at_ = now;
  const auto work = static_cast<double>(sample.work.count());
  work_us_ += kSampleWeight * (work - work_us_);
  const auto waited = static_cast<double>(
      std::max(duration{}, sample.latency - sample.unloaded).count());
  const double counted = std::min(waited, kMaxCountedDelay * work_us_);
  delay_us_ += kSampleWeight * (counted - delay_us_);
  if (delay_us_ > kQueueThreshold * work_us_)
    Shrink(sample.open, kQueueShrinkFactor, now);
}

void concurrency_window::OnRefusal(std::uint32_t open, time_point now) {
  Shrink(open, kRefusalShrinkFactor, now);
}

void concurrency_window::Shrink(std::uint32_t open, double factor,
                                time_point now) {
  limit_ = std::max(kMinLimit, std::min<double>(Limit(now), open) * factor);
  shrunk_at_ = now;
}

bool concurrency_window::IsBounded(time_point now) const {
  return Limit(now) < kUnlimited;
}

duration concurrency_window::Delay() const {
  return duration(static_cast<duration::rep>(delay_us_));
}

double concurrency_window::Limit(time_point now) const {
  if (limit_ == 0) return kUnlimited;
  const double growth = Ratio(now - shrunk_at_, kGrowthPeriod);
  return growth > kMaxGrowth ? kUnlimited : limit_ + growth;
}

}  // namespace corianderrail::gateway
