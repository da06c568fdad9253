/** @file answer_policy_test.cpp Tests of the answer policies. */

#include "core/answer_policy.h"

#include <catch2/catch.hpp>

#include "property.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;

struct answer_policy_fixture {
  answer_progress progress{milliseconds(400), milliseconds(100),
                           milliseconds(10), 0, 900'000};
  const answer_policy& latency = PolicyFor(answer_preference::latency);
  const answer_policy& coverage = PolicyFor(answer_preference::coverage);
};

// Guards against an answer before the deadline below the minimum coverage.
TEST_CASE_METHOD(answer_policy_fixture,
                 "AnswerPolicy_BelowMinCoverage_WaitsForDeadline") {
  progress.coverage = 899'999;
  CHECK(latency.AnswerAfter(progress) == milliseconds(400));
  CHECK(coverage.AnswerAfter(progress) == milliseconds(400));
}

// Guards against one slow part that delays every answer to the latency target.
TEST_CASE_METHOD(answer_policy_fixture,
                 "AnswerPolicy_LatencyWithSmallGain_AnswersBeforeTarget") {
  progress.coverage = 970'000;
  CHECK(latency.AnswerAfter(progress) == milliseconds(50));
  progress.coverage = 999'000;
  CHECK(latency.AnswerAfter(progress) == milliseconds(20));
}

// Guards against an answer before parts usually arrive, when there is no
// estimate of their latency yet, for example right after the start.
TEST_CASE_METHOD(answer_policy_fixture,
                 "AnswerPolicy_NoLatencyEstimate_WaitsForTarget") {
  progress.coverage = 999'000;
  progress.part_latency_p95 = {};
  CHECK(latency.AnswerAfter(progress) == milliseconds(100));
}

// Guards against a loss of coverage when the contract prefers coverage.
TEST_CASE_METHOD(answer_policy_fixture,
                 "AnswerPolicy_Coverage_WaitsAtLeastForTarget") {
  progress.coverage = 999'999;
  CHECK(coverage.AnswerAfter(progress) == milliseconds(100));
  progress.coverage = 970'000;
  CHECK(coverage.AnswerAfter(progress) == milliseconds(400));
}

// Guards against a wait beyond the deadline, and against a shorter wait with
// less coverage.
TEST_CASE_METHOD(answer_policy_fixture,
                 "AnswerPolicy_AnyProgress_IsBoundedAndMonotone") {
  CheckProperty(2, 1'000, [this] {
    progress.deadline = milliseconds(*rc::gen::inRange(0, 1'000));
    progress.target = milliseconds(*rc::gen::inRange(0, 1'000));
    progress.part_latency_p95 = milliseconds(*rc::gen::inRange(0, 1'000));
    progress.min_coverage = *rc::gen::inRange<ppm>(0, kWholePpm + 1);
    const ppm less = *rc::gen::inRange<ppm>(0, kWholePpm + 1);
    const ppm more = *rc::gen::inRange<ppm>(less, kWholePpm + 1);
    for (const auto* policy : {&latency, &coverage}) {
      progress.coverage = less;
      const duration longer = policy->AnswerAfter(progress);
      progress.coverage = more;
      const duration shorter = policy->AnswerAfter(progress);
      RC_ASSERT(longer <= progress.deadline);
      RC_ASSERT(shorter <= longer);
    }
  });
}

}  // namespace
}  // namespace corianderrail
