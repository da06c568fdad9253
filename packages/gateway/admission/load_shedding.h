/** @file load_shedding.h Refuses requests that cannot be answered in time. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Queue of one service as seen by a new part. */
struct queue_estimate {
  duration wait{};       ///< Expected time until the part is sent.
  duration interval{};   ///< Usual time between two parts that are sent.
  duration answer{};     ///< Predicted latency of its leaf once it is sent.
  std::size_t part = 0;  ///< Index of the part in its request.

  /** Time from now to the answer, with a margin for the wait. */
  duration Finish() const;
};

/** Estimate of a whole request: that of its deciding part. */
using request_estimate = queue_estimate;

/**
 * Estimates a request that needs all but `spare` of its parts. The deciding
 * part is the one that is answered last of those that it needs.
 * @param services One entry per part; reordered.
 */
request_estimate EstimateRequest(std::span<queue_estimate> services,
                                 std::size_t spare);

/** True when the request is still expected to be answered within `time_left`.
 */
bool IsWorthQueueing(const request_estimate& estimate, duration usual_latency,
                     duration time_left);

/** Decision on a request that arrives. */
enum class admission_outcome : std::uint8_t {
  admitted,
  late,  ///< Refused: it cannot be answered in time.
  rank,  ///< Refused: a more urgent rank was served less often.
};

/** Name of a refusal in logs; empty for an admitted request. */
constexpr std::string_view AdmissionName(admission_outcome outcome) {
  constexpr std::string_view kNames[] = {"", "late", "rank"};
  return kNames[static_cast<std::size_t>(outcome)];
}

/** Earliest pause before a refused client may return. */
inline constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);

/** True when the remaining time of a client shows that it returns after a
 *  refusal: the least Retry-After has passed since its first attempt. */
bool HasReturned(duration remaining, duration route_limit);

/**
 * Served shares of the requests to one service by rank. A more urgent query may
 * need more of its shards than a less urgent one, and is refused more often
 * then. Less urgent requests are refused too until the shares are equal.
 */
class rank_shares {
 public:
  /** Counts a request that arrived. */
  void Add(std::uint32_t rank, bool served, time_point now);

  /** True when requests of a more urgent rank were served less often. */
  bool Yields(std::uint32_t rank, time_point now) const;

 private:
  /** Ranks that are told apart; less urgent ones count as the last. */
  static constexpr std::size_t kRows = 4;

  /** Recent requests of one rank. */
  struct row {
    double served = 1;  ///< Share that was served.
    time_point at{};    ///< Last request.
  };

  std::array<row, kRows> rows_{};
};

/**
 * Assigns retry times to refused clients. The first time is when the current
 * queue is expected to be served; the next ones follow at the rate at which
 * leafs answer, so that clients retry in the order in which they were refused.
 */
class retry_schedule {
 public:
  /** Assigns the next retry time. @return Its distance from now. */
  duration Next(const request_estimate& estimate, time_point now);

 private:
  time_point next_{};  ///< Earliest time that is not assigned yet.
};

}  // namespace corianderrail::gateway
