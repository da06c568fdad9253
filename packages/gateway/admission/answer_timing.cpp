/**
 * @file answer_timing.cpp Early answers of gathered queries.
 *
 * When single shards are slow, the query is answered at its latency objective
 * with the parts that arrived, because missing the objective costs far more
 * than a missing part. If too few parts have arrived by then, it is answered
 * as soon as enough have.
 */

#include "gateway/admission/answer_timing.h"

namespace corianderrail::gateway {

bool IsUseful(const gather_progress& progress) {
  return progress.answered > 0 &&
         progress.answered >= progress.min_ratio * progress.shards - 1e-9;
}

gather_step DecideGather(const gather_progress& progress, time_point now) {
  const bool useful = IsUseful(progress);
  if (progress.answered == progress.shards) return gather_step::answer;
  if (useful && now >= progress.objective_at) return gather_step::answer;
  if (progress.open == 0)
    return useful ? gather_step::answer : gather_step::fail;
  if (now >= progress.deadline) return gather_step::fail;
  const gather_progress best_case{progress.shards,
                                  progress.answered + progress.open,
                                  0,
                                  progress.min_ratio,
                                  {},
                                  {}};
  return IsUseful(best_case) ? gather_step::wait : gather_step::fail;
}

}  // namespace corianderrail::gateway
