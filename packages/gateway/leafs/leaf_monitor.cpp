/** @file leaf_monitor.cpp Failure average, stalls and ejection. */

#include "gateway/leafs/leaf_monitor.h"

#include <algorithm>
#include <cmath>

namespace corianderrail::gateway {

namespace {

/** Time constant of the exponential decay of the failure rate. Without decay, a
 *  leaf that gets no requests would never be tried again. */
constexpr duration kFailureDecayTime = std::chrono::seconds(10);

/** Weight of one answer in the failure rate. */
constexpr double kFailureWeight = 0.15;

/** Duration of the first ejection, and maximum after doubling. */
constexpr duration kFirstBackoff = std::chrono::milliseconds(400);
constexpr duration kMaxBackoff = std::chrono::seconds(3);

/** Pause of requests to a leaf that accepts no connection of this host, and its
 *  maximum after doubling. Leafs close idle connections and count those of a
 *  lost host for seconds, so capacity returns slowly. */
constexpr duration kFirstConnectBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxConnectBackoff = std::chrono::milliseconds(800);

double Decay(duration passed, duration time_constant) {
  return std::exp(-static_cast<double>(passed.count()) /
                  static_cast<double>(time_constant.count()));
}

}  // namespace

void leaf_monitor::OnSent(const open_call& call) {
  open_.push_back(call);
  open_.back().open = Open();
}

void leaf_monitor::DropCall(leaf_call call) {
  open_call ignored;
  RemoveCall(call, ignored);
}

bool leaf_monitor::RemoveCall(leaf_call call, open_call& removed) {
  const auto found =
      std::find_if(open_.begin(), open_.end(),
                   [&](const open_call& one) { return one.call == call; });
  if (found == open_.end()) return false;
  removed = *found;
  open_.erase(found);
  return true;
}

void leaf_monitor::OnAnswer(leaf_call call, time_point now) {
  const std::uint32_t open = Open();
  open_call removed;
  if (!RemoveCall(call, removed)) return;
  last_answer_ = now;
  connect_backoff_ = {};
  connect_after_ = {};
  consecutive_failures_ = 0;
  backoff_ = {};
  ejected_until_ = {};
  failure_rate_ = FailureRate(now) * (1 - kFailureWeight);
  failure_at_ = now;
  window_.OnAnswer({now - removed.sent, removed.unloaded, removed.work, open},
                   now);
  const performance_sample sample{removed.sent, removed.expected, removed.open,
                                  window_.HasLimit(now)};
  performance_.OnAnswer(sample, now);
}

void leaf_monitor::OnShed(leaf_call call, time_point now) {
  const std::uint32_t open = Open();
  open_call removed;
  if (!RemoveCall(call, removed)) return;
  last_answer_ = now;
  CountFailure(now);
  window_.OnRefusal(open, now);
}

void leaf_monitor::OnFailure(leaf_call call, leaf_failure failure,
                             time_point now) {
  if (failure == leaf_failure::withdrawn) {
    DropCall(call);
    return;
  }
  if (failure == leaf_failure::rejected || failure == leaf_failure::full) {
    OnShed(call, now);
    if (failure == leaf_failure::full) BackOffConnecting(now);
    return;
  }
  open_call removed;
  if (!RemoveCall(call, removed)) return;
  AddFailure(now);
  // No process accepts connections or answers at the address, so one failure is
  // enough to eject the leaf.
  if (failure == leaf_failure::not_sent || failure == leaf_failure::timed_out) {
    consecutive_failures_ = std::max(consecutive_failures_, kFailuresToEject);
    Eject(now);
  }
}

void leaf_monitor::OnErrorStatus(leaf_call call, time_point now) {
  open_call removed;
  if (!RemoveCall(call, removed)) return;
  last_answer_ = now;
  AddFailure(now);
}

// Leaves the count one below the limit, so the next failure ejects the leaf
// again.
void leaf_monitor::OnProbeSucceeded() {
  consecutive_failures_ = std::min(consecutive_failures_, kFailuresToEject - 1);
}

void leaf_monitor::OnProbeFailed(time_point now) { Eject(now); }

// Requests that were sent before the pause began fail together and count once.
void leaf_monitor::BackOffConnecting(time_point now) {
  if (AtConnectionLimit(now)) return;
  connect_backoff_ = connect_backoff_ == duration{}
                         ? kFirstConnectBackoff
                         : std::min(connect_backoff_ * 2, kMaxConnectBackoff);
  connect_after_ = now + connect_backoff_;
}

void leaf_monitor::CountFailure(time_point now) {
  failure_rate_ = FailureRate(now) + kFailureWeight * (1 - FailureRate(now));
  failure_at_ = now;
}

void leaf_monitor::AddFailure(time_point now) {
  CountFailure(now);
  if (++consecutive_failures_ >= kFailuresToEject) Eject(now);
}

void leaf_monitor::Eject(time_point now) {
  if (Ejected(now)) return;
  backoff_ = backoff_ == duration{} ? kFirstBackoff
                                    : std::min(backoff_ * 2, kMaxBackoff);
  ejected_until_ = now + backoff_;
}

double leaf_monitor::FailureRate(time_point now) const {
  return failure_rate_ * Decay(now - failure_at_, kFailureDecayTime);
}

bool leaf_monitor::Stalled(time_point now) const {
  return std::any_of(open_.begin(), open_.end(), [&](const open_call& one) {
    const time_point late_at = one.sent + one.suspect_after;
    return now >= late_at && last_answer_ < late_at;
  });
}

}  // namespace corianderrail::gateway
