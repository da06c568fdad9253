/** @file leaf_health.cpp State of one leaf as its owner sees it. */

#include "core/leaf_health.h"

#include <algorithm>

namespace corianderrail {

namespace {

/** Weight of a new latency in the mean. Three latencies of 6 times the
 *  mean raise it above kStragglerFactor times its previous value. */
constexpr double kSmoothing = 0.2;

/** A latency counts as at most this many times the mean of the service, because
 *  one slow reply says little about a leaf. */
constexpr double kOutlierCap = 6.0;

/** Without a sample for this long, the estimate falls back to the mean of the
 *  service, so that a leaf that was slow once is used again. */
constexpr duration kSampleLifetime = std::chrono::seconds(2);

constexpr duration kInitialProbeDelay = std::chrono::milliseconds(250);

/** Bounds the time that a recovered leaf stays ejected; a service must be
 *  healthy 5 s after a fault ends. */
constexpr duration kMaxProbeDelay = std::chrono::seconds(2);

/** An ejection within this time after a readmission doubles the probe delay. */
constexpr duration kRelapsePeriod = std::chrono::seconds(30);

/** After this time a leaf may have loaded a part that it lacked. */
constexpr duration kMissingPartLifetime = std::chrono::milliseconds(500);

}  // namespace

std::uint32_t leaf_health::Capacity() const {
  return std::min({concurrency_window_, info.slots, open_connections});
}

bool leaf_health::HasFreeSlot() const {
  return published && !Leaving() && calls.size() < Capacity();
}

void leaf_health::AddLatency(duration latency, double service_mean,
                             time_point now) {
  min_latency_ = std::min(min_latency_, latency);
  auto micros = static_cast<double>(latency.count());
  if (micros <= kStragglerFactor * service_mean) last_fast_ = now;
  if (service_mean > 0) micros = std::min(micros, kOutlierCap * service_mean);
  mean_ = samples_ == 0 ? micros : mean_ + kSmoothing * (micros - mean_);
  ++samples_;
  last_sample_ = now;
}

void leaf_health::AddCensored(duration age, double service_mean,
                              time_point now) {
  if (static_cast<double>(age.count()) > mean_) {
    const time_point last_fast = last_fast_;
    AddLatency(age, service_mean, now);
    last_fast_ = last_fast;
  }
}

double leaf_health::Estimate(double service_mean, time_point now) const {
  const bool fresh = samples_ > 0 && now - last_sample_ <= kSampleLifetime;
  return fresh ? mean_ : service_mean;
}

void leaf_health::OnSuccess() {
  consecutive_slow = 0;
  consecutive_failures = 0;
  if (concurrency_window_ >= info.slots) return;
  if (++successes_ < kRampRepliesPerSlot) return;
  successes_ = 0;
  ++concurrency_window_;
}

void leaf_health::OnShed() {
  const std::uint32_t window = std::min(concurrency_window_, info.slots);
  concurrency_window_ = window > 1 ? window - 1 : 1;
  successes_ = 0;
}

void leaf_health::StartCold() {
  concurrency_window_ = 1;
  successes_ = 0;
  mean_ = 0;
  samples_ = 0;
  consecutive_slow = 0;
  consecutive_failures = 0;
}

void leaf_health::Eject(time_point now) {
  const bool relapse =
      backoff_.count() > 0 && now - readmitted_ <= kRelapsePeriod;
  backoff_ =
      relapse ? std::min(backoff_ * 2, kMaxProbeDelay) : kInitialProbeDelay;
  ejected = true;
  probing = false;
  probe_at = now + backoff_;
}

void leaf_health::ProbeFailed(time_point now) {
  probing = false;
  backoff_ = std::min(backoff_ * 2, kMaxProbeDelay);
  probe_at = now + backoff_;
}

void leaf_health::Readmit(time_point now) {
  ejected = false;
  probing = false;
  readmitted_ = now;
  StartCold();
}

void leaf_health::RecordMissingPart(snapshot_id snapshot,
                                    const key_range& range, time_point now) {
  for (missing_part& known : missing_parts_) {
    if (known.snapshot != snapshot || !(known.range == range)) continue;
    known.until = now + kMissingPartLifetime;
    return;
  }
  missing_parts_[next_missing_part_] = {snapshot, range,
                                        now + kMissingPartLifetime};
  next_missing_part_ = (next_missing_part_ + 1) % missing_parts_.size();
}

bool leaf_health::LacksPart(snapshot_id snapshot, const key_range& range,
                            time_point now) const {
  return std::any_of(missing_parts_.begin(), missing_parts_.end(),
                     [&](const missing_part& known) {
                       return known.snapshot == snapshot &&
                              known.range == range && now < known.until;
                     });
}

}  // namespace corianderrail
