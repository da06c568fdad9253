/** @file lifecycle.h Phases of a host and detection of clock gaps. */

#pragma once

#include "core/effect_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Phase of a host. Address answers contain only ready hosts. */
enum class host_phase : std::uint8_t { starting, ready, draining, stopped };

/** Timing of phases. */
struct lifecycle_settings {
  duration max_clock_gap = std::chrono::seconds(2);  ///< Larger: a gap.
  duration drain = std::chrono::seconds(6);          ///< Serving after a stop.
  duration drain_limit = std::chrono::seconds(30);   ///< Maximum drain.
};

/** Conditions reported by the other components. */
struct lifecycle_inputs {
  bool contracts = false;   ///< A set is in force, and no newer one is known.
  bool topology = false;    ///< A topology is in force.
  bool members = false;     ///< Membership is confirmed.
  bool reads_done = false;  ///< A peer is known or the platform was read.
  bool format_ok = true;    ///< The newest documents are readable.
  bool shares = false;      ///< The share of this host's seat is usable.
  bool idle = false;        ///< No requests are open.
};

/** State machine of the phases. */
class lifecycle {
 public:
  lifecycle(lifecycle_settings settings, time_point started);

  /** @return True when more than max_clock_gap passed since the last call. */
  bool ObserveClock(time_point now);

  /**
   * Changes the phase. A ready host returns to `starting` after a clock gap or
   * if it cannot read the newest documents.
   * @return True when the phase differs from that of the previous call.
   */
  bool Update(const lifecycle_inputs& inputs, time_point now,
              effect_list& effects);

  /** The first call starts the drain. The second ends it early: the host stops
   * when no requests are open, or after a short grace period. */
  void OnStop(time_point now);

  /** Whether requests of callers are accepted. */
  bool AcceptsRequests() const;

  /** True after the second call of OnStop(). */
  bool StopAtOnce() const;
  host_phase Phase() const;
  time_point NextWake() const;

 private:
  bool DrainEnded(const lifecycle_inputs& inputs, time_point now) const;

  lifecycle_settings settings_;
  host_phase phase_ = host_phase::starting;
  host_phase reported_phase_ = host_phase::starting;
  time_point last_observed_;
  time_point stop_requested_ = kNever;
  time_point stop_now_ = kNever;
  bool was_ready_ = false;          ///< Callers may have this host's address.
  bool addresses_expired_ = false;  ///< Callers no longer have its address.
};

}  // namespace corianderrail
