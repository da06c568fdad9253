/**
 * @file answer_timing.cpp Early answers of gathered queries.
 *
 * Answers the load in which single shards are late: a caller that is waiting
 * gets what is there while it is still on time, because a late answer is worth
 * far less than a missing part. After the objective it gets the first answer
 * that is useful at all.
 */

#include "gateway/answer_timing.h"

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
