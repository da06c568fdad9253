/** @file leaf_performance_test.cpp Performance learned from own answers. */

#include "gateway/leafs/leaf_performance.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>

#include "core/random.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Answers of one leaf, some per second, in virtual time. */
class performance_fixture {
 protected:
  static constexpr duration kExpected = milliseconds(20);

  /** Answers one request; time passes only by `Run`. */
  void Answer(double ratio, std::uint32_t open = 1) {
    const auto latency = duration(static_cast<duration::rep>(
        ratio * static_cast<double>(kExpected.count())));
    learned_.OnAnswer({now_ - latency, kExpected, open, false}, now_);
  }

  /** Answers at a steady rate for some time. */
  void Run(double ratio, double per_second, duration length) {
    const duration pause(static_cast<duration::rep>(1e6 / per_second));
    for (const time_point end = now_ + length; now_ < end;) {
      now_ += pause;
      Answer(ratio);
    }
  }

  double Slowness() const { return learned_.Slowness(now_); }

  leaf_performance learned_;
  time_point now_{seconds(100)};
};

}  // namespace

// Guards against predictions that follow few answers further than they did
// before levels were learned: the expected values are of that rule.
TEST_CASE_METHOD(performance_fixture, "Performance_FewAnswers_EqualsAverage") {
  Answer(2.5);
  CHECK(Slowness() == Approx(1.3));
  Answer(2.5);
  CHECK(Slowness() == Approx(1.54));
  CHECK(learned_.Slowness(now_ + seconds(6)) == Approx(1 + 0.54 / 2.71828));
  CHECK_FALSE(learned_.Level(now_));
  CHECK(learned_.Concurrency(now_) == 0);
}

// Guards against an estimate that follows a lasting change too late, at the few
// requests per second that one of many hosts sends.
TEST_CASE_METHOD(performance_fixture, "Performance_LastingChange_IsFollowed") {
  const double per_second = GENERATE(4.0, 10.0, 40.0);
  INFO(per_second);
  Run(1, per_second, seconds(5));
  Run(2.5, per_second, seconds(2));
  CHECK(Slowness() >= 2.2);
  CHECK(learned_.Level(now_)->slowness == Approx(2.5));
  Run(1, per_second, seconds(2));
  CHECK(Slowness() <= 1.15);
  CHECK(learned_.Level(now_)->slowness == Approx(1));
}

// Guards against pauses and noise that count as lasting slowness.
TEST_CASE_METHOD(performance_fixture, "Performance_ShortNoise_IsForgotten") {
  const double per_second = GENERATE(10.0, 40.0);
  INFO(per_second);
  Run(1, per_second, seconds(5));
  Run(2.5, per_second, milliseconds(600));
  CHECK(learned_.Level(now_)->slowness == Approx(1));
  CHECK(learned_.Slowness(now_ + seconds(2)) < 1.25);
  Run(1, per_second, seconds(2));
  now_ += milliseconds(300);
  for (int i = 0; i < 4; ++i) Answer(15);
  CHECK(learned_.Level(now_)->slowness == Approx(1));
  CHECK(learned_.Slowness(now_ + seconds(2)) < 1.35);
}

// Guards against a slow leaf that is never tried again.
TEST_CASE_METHOD(performance_fixture, "Performance_NoAnswers_IsForgotten") {
  Run(3, 10, seconds(4));
  CHECK(Slowness() >= 2.8);
  CHECK(learned_.Slowness(now_ + seconds(20)) < 1.1);
  CHECK_FALSE(learned_.Level(now_ + seconds(5)));
}

// Guards against a jump when answers become too old or too few for a level.
TEST_CASE_METHOD(performance_fixture, "Performance_LevelEnds_HasNoJump") {
  Run(3, 10, seconds(4));
  now_ += milliseconds(4200);
  const double before = Slowness();
  Answer(before);
  CHECK(Slowness() == Approx(before).epsilon(0.01));
}

// Guards against filling the slots of a leaf that slows down before.
TEST_CASE_METHOD(performance_fixture,
                 "Performance_GoodputFalls_LearnsConcurrency") {
  random_source random(5);
  for (int i = 0; i < 200; ++i) {
    now_ += milliseconds(25);
    const auto open = static_cast<std::uint32_t>(1 + random.Below(4));
    Answer((open <= 2 ? 1.0 : 2.0 * open / 3) * (0.5 + random.Unit()), open);
  }
  CHECK(learned_.Concurrency(now_) == 2);
  CHECK(learned_.Concurrency(now_ + seconds(10)) == 0);
}

// Guards against taking a queue for a slow-down: with it, goodput stays.
TEST_CASE_METHOD(performance_fixture,
                 "Performance_QueueOnly_LearnsNoConcurrency") {
  random_source random(6);
  int learned = 0;
  for (int i = 0; i < 2000; ++i) {
    now_ += milliseconds(25);
    const auto open = static_cast<std::uint32_t>(1 + random.Below(8));
    const double rounds = open <= 4 ? 1.0 : open / 4.0;
    Answer(rounds * (0.5 + random.Unit()), open);
    const std::uint32_t concurrency = learned_.Concurrency(now_);
    if (concurrency != 0 && concurrency < 4) ++learned;
  }
  CHECK(learned == 0);
}

}  // namespace corianderrail::gateway
