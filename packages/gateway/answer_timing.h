/** @file answer_timing.h When a gathered query is answered. */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Progress of a gathered query. */
struct gather_progress {
  std::uint32_t shards = 0;    ///< Shards of the query.
  std::uint32_t answered = 0;  ///< Parts that arrived.
  std::uint32_t open = 0;      ///< Shards with a request in flight or queued.
  double min_ratio = 1;        ///< Fewest shards of a useful answer.
  time_point objective_at{};   ///< Latest moment for an answer on time.
  time_point deadline{};       ///< Latest moment for any answer.
};

/** What to do with a gathered query now. */
enum class gather_step : std::uint8_t {
  wait,    ///< Waiting longer is worth more than what is missing.
  answer,  ///< Answer with the parts that arrived.
  fail,    ///< A useful answer cannot be reached any more.
};

/** True when the parts that arrived make a useful answer. */
bool IsUseful(const gather_progress& progress);

/** Decides on a query that is not complete yet. */
gather_step DecideGather(const gather_progress& progress, time_point now);

}  // namespace corianderrail::gateway
