/** @file leaf_health.h What the owner knows about one leaf. */

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/index_type.h"
#include "core/slot_table.h"
#include "core/time_type.h"

namespace corianderrail {

struct service_state;

/** Sizes and figures of straggler detection. */
inline constexpr double kStragglerFactor = 3.0;  ///< Mean against the peers'.
inline constexpr std::uint32_t kStragglerSamples = 3;  ///< Before comparing.

/** Consecutive slow requests that eject a leaf. With 2% of outliers, 2 in a row
 *  are common on a healthy leaf, while 3 occur once in 125,000 requests. */
inline constexpr std::uint32_t kSlowRequestsToEject = 3;

/** Consecutive failures that eject a leaf; a leaf that fails at once would
 *  otherwise look like the fastest one. */
inline constexpr std::uint32_t kFailuresToEject = 3;

/** Good replies per slot added while a leaf ramps up. */
inline constexpr std::uint32_t kRampRepliesPerSlot = 8;

/** Latency, slots and state of one leaf, as its owner sees it. */
class leaf_health {
 public:
  leaf_info info;                        ///< As published.
  bool published = false;                ///< Part of the topology in force.
  std::uint32_t open_connections = 0;    ///< Usable connections.
  std::uint32_t target_connections = 0;  ///< Connections asked for.
  std::vector<slot_handle> calls;        ///< Requests that hold a slot.
  std::vector<service_state*> services;  ///< Services that use it.

  bool listed_leaving = false;  ///< The host list says so.
  bool draining = false;        ///< It said so, or a peer saw it say so.
  bool drain_observed_locally = false;  ///< First-hand; told to other hosts.
  time_point last_drain_signal{};       ///< Latest sign.
  std::uint32_t notifications_left =
      0;                   ///< Repeats of the observation to send.
  time_point closed_at{};  ///< When its last connection closed.

  bool ejected = false;   ///< Slower or failing against its peers.
  bool probing = false;   ///< A probe is in flight.
  time_point probe_at{};  ///< Next probe while ejected.
  std::uint32_t consecutive_slow =
      0;  ///< Slow requests since the last good one.
  std::uint32_t consecutive_failures = 0;  ///< Consecutive failures.

  /** True when new work must not go to it, whatever its speed. */
  bool Leaving() const { return draining || listed_leaving || info.leaving; }

  /** True when it can take one more request now. */
  bool HasFreeSlot() const;

  /** Slots it may use now: connections, ramp and its own limit. */
  std::uint32_t Capacity() const;

  /** Takes a latency of a request that the leaf ran. */
  void AddLatency(duration latency, double service_mean, time_point now);

  /** Takes the age of a request that was cancelled: a lower bound. */
  void AddCensored(duration age, double service_mean, time_point now);

  /** Expected service time in microseconds. */
  double Estimate(double service_mean, time_point now) const;

  std::uint32_t Samples() const { return samples_; }
  double Mean() const { return mean_; }

  /** Lowest latency seen; the longest time before the first one. */
  duration MinLatency() const { return min_latency_; }

  /** When it last answered at the usual speed of its service. */
  time_point LastFastReply() const { return last_fast_; }

  /** Counts a good reply toward the ramp. */
  void OnSuccess();

  /** Takes one slot away after the leaf shed a request. */
  void OnShed();

  /** Forgets latency and starts from one slot: a new process, or unproven. */
  void StartCold();

  void Eject(time_point now);
  void Readmit(time_point now);
  void ProbeFailed(time_point now);

  /**
   * Remembers for a short time that the leaf does not hold a part of a
   * snapshot. After a repartition it may hold other parts of the same one.
   */
  void RecordMissingPart(snapshot_id snapshot, const key_range& range,
                         time_point now);
  bool LacksPart(snapshot_id snapshot, const key_range& range,
                 time_point now) const;

 private:
  /** A part of a snapshot that the leaf said it does not hold. */
  struct missing_part {
    snapshot_id snapshot{};  ///< The snapshot.
    key_range range;         ///< The part.
    time_point until{};      ///< Ask again after this.
  };

  std::uint32_t concurrency_window_ = 1;  ///< Slots that the ramp allows.
  std::uint32_t successes_ = 0;           ///< Good replies since the last step.
  double mean_ = 0;                       ///< Smoothed latency, microseconds.
  std::uint32_t samples_ = 0;             ///< Latencies seen.
  time_point last_sample_{};              ///< Time of the last one.
  time_point last_fast_{};                ///< Last reply at the usual speed.
  duration min_latency_ = duration::max();  ///< Lowest latency seen.
  duration backoff_{};                      ///< Pause before the next probe.
  time_point readmitted_{};                 ///< Time of the last readmission.
  std::array<missing_part, 4> missing_parts_{};
  std::size_t next_missing_part_ = 0;
};

}  // namespace corianderrail
