/** @file answer_policy.cpp When to answer a query that still lacks parts. */

#include "core/answer_policy.h"

#include <algorithm>

namespace corianderrail {

namespace {

/**
 * Time until which waiting is worth its expected gain. The latency of late
 * parts is heavy-tailed: a part that is open after time t arrives with a hazard
 * rate proportional to 1/t, so the expected gain per unit of time is
 * missing / t. Waiting ends when that falls below `required_gain`, the coverage
 * in ppm that one latency target of waiting must add.
 */
duration WorthwhileWait(const answer_progress& progress, ppm required_gain) {
  const double missing = kWholePpm - std::min(progress.coverage, kWholePpm);
  const double target = static_cast<double>(progress.target.count());
  return duration(static_cast<duration::rep>(target * missing / required_gain));
}

/** Limits a wait to [earliest, latest]; `latest` wins if they conflict. */
duration ClampWait(duration value, duration earliest, duration latest) {
  return std::min(std::max(value, earliest), latest);
}

/** Prefers a short tail latency to coverage. */
class latency_policy final : public answer_policy {
 public:
  duration AnswerAfter(const answer_progress& progress) const override {
    if (progress.coverage < progress.min_coverage) return progress.deadline;
    const duration latest = std::min(progress.target, progress.deadline);
    // Twice the 95th percentile leaves time for one hedge per part.
    const duration earliest = progress.part_latency_p95 == duration{}
                                  ? latest
                                  : 2 * progress.part_latency_p95;
    return ClampWait(WorthwhileWait(progress, kRequiredGain), earliest, latest);
  }

 private:
  /// Waits the whole latency target for a missing 6%, half of it for 3%.
  static constexpr ppm kRequiredGain = 60'000;
};

/** Prefers coverage, and use of the upstream work already done, to a short
 *  tail. */
class coverage_policy final : public answer_policy {
 public:
  duration AnswerAfter(const answer_progress& progress) const override {
    if (progress.coverage < progress.min_coverage) return progress.deadline;
    const duration earliest =
        std::max(progress.target, 4 * progress.part_latency_p95);
    return ClampWait(WorthwhileWait(progress, kRequiredGain), earliest,
                     progress.deadline);
  }

 private:
  /// Waits two latency targets for one of 1,500 equal parts (667 ppm).
  static constexpr ppm kRequiredGain = 333;
};

}  // namespace

const answer_policy& PolicyFor(answer_preference preference) {
  static const latency_policy latency;
  static const coverage_policy coverage;
  if (preference == answer_preference::coverage) return coverage;
  return latency;
}

}  // namespace corianderrail
