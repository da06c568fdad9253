/** @file leaf_health.h State of one leaf as its owner sees it. */

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

/** Ratio to the usual latency of the service above which the mean latency of a
 *  leaf marks it as a possible outlier. */
inline constexpr double kStragglerFactor = 3.0;

/** Latencies needed before the mean of a leaf is compared with its peers. */
inline constexpr std::uint32_t kStragglerSamples = 3;

/** Consecutive slow requests after which a leaf is ejected. With 2% of
 *  outliers, 2 in a row are common on a healthy leaf; 3 occur once in 125,000
 *  requests. */
inline constexpr std::uint32_t kSlowRequestsToEject = 3;

/** Consecutive failures after which a leaf is ejected. A leaf that fails
 *  immediately would otherwise appear to be the fastest one. */
inline constexpr std::uint32_t kFailuresToEject = 3;

/** Successful replies after which the concurrency window grows by one slot. */
inline constexpr std::uint32_t kRampRepliesPerSlot = 8;

/** Latency, slots and outlier state of one leaf. */
class leaf_health {
 public:
  leaf_info info;                        ///< As in the current topology.
  bool published = false;                ///< In the current topology.
  std::uint32_t open_connections = 0;    ///< Reported by the transport.
  std::uint32_t target_connections = 0;  ///< Number last requested.
  std::vector<slot_handle> calls;        ///< Requests that occupy a slot.
  std::vector<service_state*> services;  ///< Services with this replica.

  bool listed_leaving = false;  ///< The host list marks it as leaving.
  bool draining = false;        ///< This or another host got its drain signal.
  bool drain_observed_locally = false;   ///< This host got the signal itself.
  time_point last_drain_signal{};        ///< Latest drain signal.
  std::uint32_t notifications_left = 0;  ///< Observation repeats left to send.
  time_point closed_at{};  ///< Time when its last connection closed.

  bool ejected = false;   ///< Excluded as an outlier.
  bool probing = false;   ///< A probe is in flight.
  time_point probe_at{};  ///< Due time of the next probe while ejected.
  std::uint32_t consecutive_slow = 0;      ///< Reset by a success.
  std::uint32_t consecutive_failures = 0;  ///< Reset by a success.

  /** True when it must get no new work because it is about to stop. */
  bool Leaving() const { return draining || listed_leaving || info.leaving; }

  /** True when one more request can be sent to it now. */
  bool HasFreeSlot() const;

  /** Usable slots: the least of connections, concurrency window and slots. */
  std::uint32_t Capacity() const;

  /** Adds the latency of a request that the leaf ran. */
  void AddLatency(duration latency, double service_mean, time_point now);

  /** Adds the age of a cancelled request, a lower bound of its latency, if it
   *  exceeds the mean latency of the leaf. */
  void AddCensored(duration age, double service_mean, time_point now);

  /** Expected latency in microseconds; the mean of the service if unknown. */
  double Estimate(double service_mean, time_point now) const;

  std::uint32_t Samples() const { return samples_; }
  double Mean() const { return mean_; }

  /** Lowest latency so far; duration::max() before the first one. */
  duration MinLatency() const { return min_latency_; }

  /** Time of its last reply within kStragglerFactor times the mean latency of
   *  the service. */
  time_point LastFastReply() const { return last_fast_; }

  /** Counts a success: resets the outlier counters and may widen the window. */
  void OnSuccess();

  /** Narrows the concurrency window by one slot after a shed request. */
  void OnShed();

  /** Resets latency, counters and the window (to one slot) for a new process or
   * a readmitted leaf. */
  void StartCold();

  void Eject(time_point now);
  void Readmit(time_point now);
  void ProbeFailed(time_point now);

  /**
   * Records for a short time that the leaf does not hold a part of a snapshot.
   * After a repartition it may hold other parts of the same snapshot.
   */
  void RecordMissingPart(snapshot_id snapshot, const key_range& range,
                         time_point now);
  bool LacksPart(snapshot_id snapshot, const key_range& range,
                 time_point now) const;

 private:
  /** Part of a snapshot that the leaf reported not to hold. */
  struct missing_part {
    snapshot_id snapshot{};  ///< Snapshot of the part; 0 if unused.
    key_range range;         ///< Keys of the part.
    time_point until{};      ///< Assumed missing until then.
  };

  std::uint32_t concurrency_window_ = 1;    ///< Grows with successful replies.
  std::uint32_t successes_ = 0;             ///< Since the window last changed.
  double mean_ = 0;                         ///< Smoothed latency, microseconds.
  std::uint32_t samples_ = 0;               ///< Number of latencies in `mean_`.
  time_point last_sample_{};                ///< Time of the last latency.
  time_point last_fast_{};                  ///< See LastFastReply().
  duration min_latency_ = duration::max();  ///< Lowest latency.
  duration backoff_{};                      ///< Delay before the next probe.
  time_point readmitted_{};                 ///< Time of the last readmission.
  std::array<missing_part, 4> missing_parts_{};
  std::size_t next_missing_part_ = 0;
};

}  // namespace corianderrail
