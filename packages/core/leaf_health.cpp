/** @file leaf_health.cpp What the owner knows about one leaf. */

#include "core/leaf_health.h"

#include <algorithm>

namespace corianderrail {

namespace {

/** Weight of a new latency; 3 outliers of 6 means pass the straggler factor. */
constexpr double kSmoothing = 0.2;

/** A single outlier counts at most this many service means, because one slow
 *  reply says little about a leaf. */
constexpr double kOutlierCap = 6.0;

/** Without a sample for this long the estimate returns to the service's mean,
 *  so that a leaf which was slow once is tried again. */
constexpr duration kSampleLife = std::chrono::seconds(2);

constexpr duration kFirstProbe = std::chrono::milliseconds(250);

/** Bounds the time that a recovered leaf stays out; a service must be healthy
 *  5 s after a fault ends. */
constexpr duration kLongestProbe = std::chrono::seconds(2);

/** An ejection this soon after a readmission doubles the pause. */
constexpr duration kRelapse = std::chrono::seconds(30);

/** Time after which a leaf may have loaded a snapshot that it lacked. */
constexpr duration kLackLife = std::chrono::milliseconds(500);

}  // namespace

std::uint32_t leaf_health::Capacity() const {
  return std::min({allowed_, info.slots, open});
}

bool leaf_health::HasFreeSlot() const {
  return published && !Leaving() && calls.size() < Capacity();
}

void leaf_health::AddLatency(duration latency, double service_mean,
                             time_point now) {
  least_ = std::min(least_, latency);
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
  const bool fresh = samples_ > 0 && now - last_sample_ <= kSampleLife;
  return fresh ? mean_ : service_mean;
}

void leaf_health::OnGood() {
  strikes = 0;
  failures = 0;
  if (allowed_ >= info.slots) return;
  if (++good_ < kRampReplies) return;
  good_ = 0;
  ++allowed_;
}

void leaf_health::OnShed() {
  const std::uint32_t used = std::min(allowed_, info.slots);
  allowed_ = used > 1 ? used - 1 : 1;
  good_ = 0;
}

void leaf_health::StartCold() {
  allowed_ = 1;
  good_ = 0;
  mean_ = 0;
  samples_ = 0;
  strikes = 0;
  failures = 0;
}

void leaf_health::Eject(time_point now) {
  const bool relapse = backoff_.count() > 0 && now - readmitted_ <= kRelapse;
  backoff_ = relapse ? std::min(backoff_ * 2, kLongestProbe) : kFirstProbe;
  ejected = true;
  probing = false;
  probe_at = now + backoff_;
}

void leaf_health::ProbeFailed(time_point now) {
  probing = false;
  backoff_ = std::min(backoff_ * 2, kLongestProbe);
  probe_at = now + backoff_;
}

void leaf_health::Readmit(time_point now) {
  ejected = false;
  probing = false;
  readmitted_ = now;
  StartCold();
}

void leaf_health::NoteLacks(snapshot_id snapshot, const key_range& range,
                            time_point now) {
  for (lack& known : lacks_) {
    if (known.snapshot != snapshot || !(known.range == range)) continue;
    known.until = now + kLackLife;
    return;
  }
  lacks_[next_lack_] = {snapshot, range, now + kLackLife};
  next_lack_ = (next_lack_ + 1) % lacks_.size();
}

bool leaf_health::Lacks(snapshot_id snapshot, const key_range& range,
                        time_point now) const {
  return std::any_of(lacks_.begin(), lacks_.end(), [&](const lack& known) {
    return known.snapshot == snapshot && known.range == range &&
           now < known.until;
  });
}

}  // namespace corianderrail
