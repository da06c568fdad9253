/** @file hedge_timing.h Decides when a late request is hedged. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Values known when a request is sent. */
struct hedge_inputs {
  time_point sent{};       ///< Time of sending.
  duration predicted{};    ///< Predicted latency of the chosen leaf.
  duration expected{};     ///< Median latency at its distance.
  duration tail{};         ///< Latency that few answers exceed.
  duration alternative{};  ///< Predicted latency of the best other leaf, or 0.
  time_point objective_at{};  ///< When the latency objective is missed.
};

/**
 * Returns when the request counts as late: when few answers take longer or, if
 * that is earlier, at the last moment at which a second leaf could still answer
 * on time.
 */
time_point HedgeAt(const hedge_inputs& inputs);

}  // namespace corianderrail::gateway
