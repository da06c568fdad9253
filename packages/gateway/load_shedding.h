/** @file load_shedding.h Refusing on arrival what leafs have no room for. */

#pragma once

#include <cstdint>
#include <span>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** The queue of one service as seen by a request that arrives. */
struct queue_estimate {
  duration wait{};      ///< Expected time until its part gets room.
  duration interval{};  ///< Usual time between two parts that get room.
};

/** Room for a request as a whole. */
struct request_estimate {
  duration wait{};      ///< Until enough of its parts have room.
  duration interval{};  ///< Usual time between two such requests.
};

/**
 * Room for a request that needs all but `spare` of its parts.
 * @param services One entry a part; reordered.
 */
request_estimate EstimateRequest(std::span<queue_estimate> services,
                                 std::size_t spare);

/** True when an answer on time is still expected. */
bool IsWorthQueueing(const request_estimate& estimate, duration usual_latency,
                     duration time_to_objective);

/**
 * Moments at which refused clients may return: not before the present queue
 * is served, and one after the other at the pace of the leafs, so that they
 * return in the order in which they were refused.
 */
class retry_schedule {
 public:
  /** Takes the next moment. @return How long the client should wait. */
  duration Next(const request_estimate& estimate, time_point now);

 private:
  time_point next_{};  ///< First moment that is not taken.
};

}  // namespace corianderrail::gateway
