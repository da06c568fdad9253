/** @file hedge_timing.h When a late request goes to a second leaf. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/** What is known when a request is sent. */
struct hedge_inputs {
  time_point sent{};          ///< When the request was sent.
  duration predicted{};       ///< Latency expected of the chosen leaf.
  duration expected{};        ///< Usual latency at its distance.
  duration tail{};            ///< Latency that few answers exceed.
  duration alternative{};     ///< Latency expected of the next best leaf.
  time_point objective_at{};  ///< Latest moment for an answer on time.
};

/**
 * The moment at which the request counts as late: few answers take longer, or
 * a second leaf would otherwise not answer on time any more.
 */
time_point HedgeAt(const hedge_inputs& inputs);

}  // namespace corianderrail::gateway
