/** @file hedge_timing.cpp Late by quantile, or by what the objective allows. */

#include "gateway/hedge_timing.h"

#include <algorithm>

namespace corianderrail::gateway {

time_point HedgeAt(const hedge_inputs& inputs) {
  // A leaf with a queue of this host's own requests is not late before that
  // queue is done.
  const duration queue =
      std::max(duration{}, inputs.predicted - inputs.expected);
  const time_point tail_at = inputs.sent + inputs.tail + queue;
  const time_point last_useful = inputs.objective_at - inputs.alternative;
  // Most answers arrive until then, so an earlier repeat is mostly wasted.
  const time_point earliest =
      inputs.sent + inputs.expected + inputs.expected / 2;
  return std::min(tail_at, std::max(last_useful, earliest));
}

}  // namespace corianderrail::gateway
