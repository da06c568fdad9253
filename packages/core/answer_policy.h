/** @file answer_policy.h Whether to wait for more parts or to answer now. */

#pragma once

#include "core/contract_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Progress of one query, as the policy sees it. */
struct answer_progress {
  duration deadline{};  ///< From start to deadline.
  duration target{};    ///< Latency target of the contract.
  duration
      part_latency_p95{};  ///< Learned 95th percentile of a part; 0 if none.
  ppm coverage = 0;        ///< Reached so far.
  ppm min_coverage = 0;    ///< Least coverage before the deadline.
};

/** Decides how long a query waits at its present coverage. */
class answer_policy {
 public:
  virtual ~answer_policy() = default;

  /** Time since the start at which to answer unless more parts arrive. Never
   *  beyond the deadline, and the deadline below the least coverage. */
  virtual duration AnswerAfter(const answer_progress& progress) const = 0;
};

/** The policy for a preference; lives forever. */
const answer_policy& PolicyFor(answer_preference preference);

}  // namespace corianderrail
