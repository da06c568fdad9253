/** @file hedge_timing.cpp Hedge time by tail latency and latency objective. */

#include "gateway/admission/hedge_timing.h"

#include <algorithm>

namespace corianderrail::gateway {

time_point HedgeAt(const hedge_inputs& inputs) {
  // If this host has a queue at the leaf, the request is late only after the
  // queue has been served.
  const duration queue =
      std::max(duration{}, inputs.predicted - inputs.expected);
  const time_point tail_at = inputs.sent + inputs.tail + queue;
  const time_point last_useful = inputs.objective_at - inputs.alternative;
  // Most answers arrive within 1.5 times the median latency, so an earlier
  // hedge is mostly wasted.
  const time_point earliest =
      inputs.sent + inputs.expected + inputs.expected / 2;
  return std::min(tail_at, std::max(last_useful, earliest));
}

}  // namespace corianderrail::gateway
