/** @file answer_policy.cpp Whether to wait for more parts or to answer now. */

#include "core/answer_policy.h"

#include <algorithm>

namespace corianderrail {

namespace {

/**
 * Expected gain against time. Late parts follow a heavy-tailed latency, so a
 * part that is open after time t arrives in the next moment with a hazard
 * proportional to 1/t, and the expected gain per unit of time is
 * missing / t. Waiting stops when that falls below `price`, the coverage in
 * ppm that one latency target of waiting must add.
 */
duration WorthwhileWait(const answer_progress& progress, ppm required_gain) {
  const double missing = kWholePpm - std::min(progress.coverage, kWholePpm);
  const double target = static_cast<double>(progress.target.count());
  return duration(static_cast<duration::rep>(target * missing / required_gain));
}

/** Never before parts usually arrive, never after `latest`. */
duration ClampWait(duration value, duration earliest, duration latest) {
  return std::min(std::max(value, earliest), latest);
}

/** Weighs the tail more than coverage. */
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
  /// A missing 6% is worth the whole latency target, 3% half of it.
  static constexpr ppm kRequiredGain = 60'000;
};

/** Weighs coverage and upstream work already spent more than the tail. */
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
  /// One of 1,500 equal parts (667 ppm) is worth two latency targets.
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
