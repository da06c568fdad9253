/** @file lifecycle.cpp Phases of a host and detection of clock gaps. */

#include "core/lifecycle.h"

#include <algorithm>

namespace corianderrail {

namespace {

// The clock is observed several times within max_clock_gap, so that an idle
// host is not mistaken for a paused one.
constexpr duration kObservePeriod = std::chrono::milliseconds(500);

// After a second stop, open requests may finish within this time. Open orders
// are answered at once.
constexpr duration kStopGrace = std::chrono::milliseconds(250);

}  // namespace

lifecycle::lifecycle(lifecycle_settings settings, time_point started)
    : settings_(settings), last_observed_(started) {}

bool lifecycle::ObserveClock(time_point now) {
  const bool jumped = now - last_observed_ > settings_.max_clock_gap;
  last_observed_ = std::max(last_observed_, now);
  if (jumped && phase_ == host_phase::ready) phase_ = host_phase::starting;
  return jumped;
}

bool lifecycle::DrainEnded(const lifecycle_inputs& inputs,
                           time_point now) const {
  if (now >= stop_requested_ + settings_.drain_limit) return true;
  if (StopAtOnce()) return inputs.idle || now >= stop_now_ + kStopGrace;
  return addresses_expired_ && inputs.idle;
}

bool lifecycle::Update(const lifecycle_inputs& inputs, time_point now,
                       effect_list& effects) {
  const bool confirmed = inputs.contracts && inputs.topology &&
                         inputs.members && inputs.reads_done && inputs.shares;
  if (phase_ == host_phase::starting && confirmed && inputs.format_ok) {
    phase_ = host_phase::ready;
    was_ready_ = true;
  }
  if (phase_ == host_phase::ready && !inputs.format_ok) {
    phase_ = host_phase::starting;
  }
  const bool stopping = stop_requested_ != kNever;
  if (stopping && phase_ != host_phase::stopped) {
    phase_ = host_phase::draining;
    addresses_expired_ =
        !was_ready_ || now >= stop_requested_ + settings_.drain;
  }
  if (phase_ == host_phase::draining &&
      reported_phase_ == host_phase::draining && DrainEnded(inputs, now)) {
    phase_ = host_phase::stopped;
    effects.push_back(stopped_effect{});
  }
  const bool changed = phase_ != reported_phase_;
  reported_phase_ = phase_;
  return changed;
}

void lifecycle::OnStop(time_point now) {
  if (stop_requested_ == kNever) {
    stop_requested_ = now;
  } else if (stop_now_ == kNever) {
    stop_now_ = now;
  }
}

bool lifecycle::AcceptsRequests() const {
  if (phase_ == host_phase::ready) return true;
  return phase_ == host_phase::draining && was_ready_ && !addresses_expired_;
}

bool lifecycle::StopAtOnce() const { return stop_now_ != kNever; }

host_phase lifecycle::Phase() const { return phase_; }

time_point lifecycle::NextWake() const {
  if (phase_ == host_phase::stopped) return kNever;
  return last_observed_ + std::min(kObservePeriod, settings_.max_clock_gap / 4);
}

}  // namespace corianderrail
