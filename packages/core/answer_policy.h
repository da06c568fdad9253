/** @file answer_policy.h When to answer a query that still lacks parts. */

#pragma once

#include "core/contract_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Progress of one query; input of an answer policy. */
struct answer_progress {
  duration deadline{};          ///< Time from the start to the deadline.
  duration target{};            ///< Latency target of the contract.
  duration part_latency_p95{};  ///< Estimate; 0 if there is none.
  ppm coverage = 0;             ///< Coverage reached so far.
  ppm min_coverage = 0;         ///< Minimum for an answer before the deadline.
};

/** Decides how long a query waits for more parts at its present coverage. */
class answer_policy {
 public:
  virtual ~answer_policy() = default;

  /** Time since the start at which to answer if no more parts arrive. It is
   *  never after the deadline; below the minimum coverage it is the deadline.
   */
  virtual duration AnswerAfter(const answer_progress& progress) const = 0;
};

/** Policy for a preference; a static object. */
const answer_policy& PolicyFor(answer_preference preference);

}  // namespace corianderrail
