/** @file answer_timing.h When a gathered query is answered. */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Progress of a gathered query. */
struct gather_progress {
  std::uint32_t shards = 0;    ///< Number of shards of the query.
  std::uint32_t answered = 0;  ///< Shards that answered.
  std::uint32_t open = 0;      ///< Shards with a request in flight or queued.
  double min_ratio = 1;        ///< Minimum share of shards for a useful answer.
  time_point objective_at{};   ///< When the latency objective is missed.
  time_point deadline{};       ///< When the query times out.
};

/** Decision on a gathered query. */
enum class gather_step : std::uint8_t {
  wait,    ///< Wait for more parts.
  answer,  ///< Answer with the parts that arrived.
  fail,    ///< Too few shards can answer before the deadline.
};

/** True when enough shards answered for a useful answer. */
bool IsUseful(const gather_progress& progress);

/** Decides whether to answer now, to wait, or to fail. */
gather_step DecideGather(const gather_progress& progress, time_point now);

}  // namespace corianderrail::gateway
