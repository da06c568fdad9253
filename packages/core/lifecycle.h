/** @file lifecycle.h Phases of a host and gaps in its clock. */

#pragma once

#include "core/effect_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Phase of a host. */
enum class host_phase : std::uint8_t { starting, ready, draining, stopped };

/** Timing of phases. */
struct lifecycle_settings {
  duration max_clock_gap = std::chrono::seconds(2);  ///< Clock jump distrusted.
  duration drain = std::chrono::seconds(6);          ///< Serving after leaving.
  duration drain_limit = std::chrono::seconds(30);   ///< Longest drain.
};

/** What the other topics report. */
struct lifecycle_inputs {
  bool contracts = false;   ///< A contract set is in force and not behind.
  bool topology = false;    ///< A topology is in force.
  bool members = false;     ///< Membership is confirmed.
  bool reads_done = false;  ///< Peers or the platform were asked.
  bool format_ok = true;    ///< Reads the newest document format.
  bool shares = false;      ///< The share of this host's seat is usable.
  bool idle = false;        ///< No work is open.
};

/** State machine of the phases. */
class lifecycle {
 public:
  lifecycle(lifecycle_settings settings, time_point started);

  /** @return True when the clock jumped by more than the gap. */
  bool ObserveClock(time_point now);

  /**
   * Moves between phases. A host whose clock jumped, or that cannot read the
   * newest format, starts again from `starting`.
   * @return True when the phase differs from that of the call before.
   */
  bool Update(const lifecycle_inputs& inputs, time_point now,
              effect_list& effects);

  /** First call drains, second stops as soon as open orders are answered. */
  void OnStop(time_point now);

  /** Whether callers' requests are taken. */
  bool AcceptsRequests() const;

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
  bool was_ready_ = false;          ///< It was ready, so answers may name it.
  bool addresses_expired_ = false;  ///< The last answer that names it expired.
};

}  // namespace corianderrail
