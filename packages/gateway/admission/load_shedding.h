/** @file load_shedding.h Refuses requests whose expected wait is too long. */

#pragma once

#include <cstdint>
#include <span>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Queue of one service as seen by a new part. */
struct queue_estimate {
  duration wait{};      ///< Expected time until the part is sent.
  duration interval{};  ///< Usual time between two parts that are sent.
};

/** Expected queueing of a whole request. */
struct request_estimate {
  duration wait{};      ///< Until enough of its parts are sent.
  duration interval{};  ///< Usual time between two such requests.
};

/**
 * Estimates the wait of a request that needs all but `spare` of its parts.
 * @param services One entry per part; reordered.
 */
request_estimate EstimateRequest(std::span<queue_estimate> services,
                                 std::size_t spare);

/** True when the request is still expected to be answered within `time_left`.
 */
bool IsWorthQueueing(const request_estimate& estimate, duration usual_latency,
                     duration time_left);

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
