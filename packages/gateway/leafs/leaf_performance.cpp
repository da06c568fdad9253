/**
 * @file leaf_performance.cpp Lasting level, short deviations and concurrency.
 *
 * Leafs of one service differ in speed, some slow down before their slots are
 * full, and some become slow for a while. With many hosts, each sends a leaf
 * only a few requests per second, and an average that forgets within seconds
 * never reaches the true latency of a slow leaf that gets few requests.
 */

#include "gateway/leafs/leaf_performance.h"

#include <algorithm>
#include <cmath>

namespace corianderrail::gateway {

namespace {

/** Bounds of one relative latency. */
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 12.0;

/** Weights of samples that are slower or faster than the average. A leaf that
 *  is fast again must be noticed soon; a single slow request means little. */
constexpr double kSlowerWeight = 0.2;
constexpr double kFasterWeight = 0.4;

/** Relative latency from which an answer is late. */
constexpr double kLateFactor = 3.0;

/** Time constant of the decay towards 1. Without it, a leaf that gets no
 *  requests would never be tried again. */
constexpr duration kForgetTime = std::chrono::seconds(6);

/** Time constant of the decay of a deviation from a learned level. Pauses and
 *  noise end within 0.6 s. */
constexpr duration kDeviationTime = std::chrono::seconds(1);

/** Answers of one period count once in the median, so that a burst of answers
 *  during a pause does not outweigh the time before it. */
constexpr duration kPeriod = std::chrono::milliseconds(125);

/** Time that the median covers. Noise of 0.6 s is well below half of it, and a
 *  lasting change is followed after a little more than half. */
constexpr duration kMedianTime = std::chrono::milliseconds(1600);

/** The same for a leaf that gets few requests. */
constexpr duration kMaxMedianTime = std::chrono::seconds(4);

/** A host that has learned a leaf relies on its own answers for this time after
 *  the latest one. Figures of others would keep it from trying a slow leaf. */
constexpr duration kOwnTime = std::chrono::seconds(10);

/** Weight of one answer in the mean at a number of open requests, and the bound
 *  of an answer there, because a pause says nothing about concurrency. */
constexpr double kConcurrencyWeight = 0.1;
constexpr double kMaxConcurrencyRatio = 6.0;

/** Means at a number of open requests expire after this time, so that more are
 *  tried again. */
constexpr duration kConcurrencyLifetime = std::chrono::seconds(8);

/** Goodput falls if it is below this fraction of that at fewer requests. A
 *  queue keeps it unchanged; the rest is a margin for noise. */
constexpr double kFallingGoodput = 0.9;

double Decay(duration passed, duration time_constant) {
  return std::exp(-static_cast<double>(passed.count()) /
                  static_cast<double>(time_constant.count()));
}

}  // namespace

void leaf_performance::OnAnswer(const performance_sample& sample,
                                time_point now) {
  const double expected =
      std::max<double>(1, static_cast<double>(sample.expected.count()));
  const double ratio =
      std::clamp(static_cast<double>((now - sample.sent).count()) / expected,
                 kMinRatio, kMaxRatio);
  // Requests that were delayed by the same pause count as one sample.
  if (ratio >= kLateFactor) {
    if (sample.sent < last_late_) return;
    last_late_ = now;
  }
  // What the prediction attributes to concurrency is not slowness.
  const std::uint32_t concurrency = Concurrency(now);
  const double rounds =
      concurrency == 0
          ? 1.0
          : std::max(1.0, static_cast<double>(sample.open) / concurrency);
  const double speed = ratio / rounds;
  const double mean = Slowness(now);
  const double weight = speed > mean ? kSlowerWeight : kFasterWeight;
  learned_ = learned_ && now - slowness_at_ < kOwnTime;
  AddToPeriod(speed, now);
  AddToConcurrency(sample, ratio, now);
  slowness_ = mean + weight * (speed - mean);
  slowness_at_ = now;
  const std::size_t recent = RecentPeriods(now);
  if (recent >= settings_.min_periods) {
    level_ = MedianOfLatest(recent);
    learned_ = true;
  } else {
    level_.reset();
  }
}

void leaf_performance::AddToPeriod(double ratio, time_point now) {
  const bool fresh =
      periods_[head_].answers == 0 || now - periods_[head_].begin >= kPeriod;
  if (fresh) {
    head_ = (head_ + 1) % kPeriods;
    periods_[head_] = {now, 0, 0};
  }
  period& one = periods_[head_];
  ++one.answers;
  one.mean +=
      (static_cast<float>(ratio) - one.mean) / static_cast<float>(one.answers);
}

// Other hosts cause most of a queue, whatever the open requests of this host
// are, so answers that show one tell nothing about concurrency.
void leaf_performance::AddToConcurrency(const performance_sample& sample,
                                        double ratio, time_point now) {
  if (sample.queue_known || sample.open == 0) return;
  if (sample.open > kConcurrencies) return;
  concurrency_stats& one = by_open_[sample.open - 1];
  if (now - one.last > kConcurrencyLifetime) one.answers = 0;
  const auto counted =
      static_cast<float>(std::min(ratio, kMaxConcurrencyRatio));
  ++one.answers;
  const auto weight = static_cast<float>(
      std::max(kConcurrencyWeight, 1.0 / static_cast<double>(one.answers)));
  one.mean += weight * (counted - one.mean);
  one.last = now;
}

const leaf_performance::period& leaf_performance::Latest(
    std::size_t steps_back) const {
  return periods_[(head_ + kPeriods - steps_back) % kPeriods];
}

/** Number of latest periods that the median covers. */
std::size_t leaf_performance::RecentPeriods(time_point now) const {
  std::size_t count = 0;
  for (; count < kPeriods; ++count) {
    const period& one = Latest(count);
    if (one.answers == 0) break;
    const duration age = now - one.begin;
    if (age > kMaxMedianTime) break;
    if (age > kMedianTime && count >= settings_.min_periods) break;
  }
  return count;
}

double leaf_performance::MedianOfLatest(std::size_t count) const {
  std::array<float, kPeriods> means{};
  for (std::size_t i = 0; i < count; ++i) means[i] = Latest(i).mean;
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(means.begin(), middle,
                   means.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

double leaf_performance::LastingLevel(time_point now) const {
  if (!level_) return 1;
  return 1 + (*level_ - 1) * Decay(now - slowness_at_, kForgetTime);
}

double leaf_performance::Slowness(time_point now) const {
  const duration time_constant = level_ ? kDeviationTime : kForgetTime;
  return LastingLevel(now) + (slowness_ - level_.value_or(1)) *
                                 Decay(now - slowness_at_, time_constant);
}

std::optional<performance_level> leaf_performance::Level(time_point now) const {
  const std::size_t recent = RecentPeriods(now);
  if (!level_ || recent < settings_.min_periods) return std::nullopt;
  performance_level level;
  level.slowness = *level_;
  for (std::size_t i = 0; i < recent; ++i) level.samples += Latest(i).answers;
  level.age = now - slowness_at_;
  return level;
}

std::optional<double> leaf_performance::RecentMean(time_point now) const {
  double sum = 0;
  std::uint32_t answers = 0;
  const std::size_t recent = RecentPeriods(now);
  for (std::size_t i = 0; i < recent; ++i) {
    sum += static_cast<double>(Latest(i).mean) * Latest(i).answers;
    answers += Latest(i).answers;
  }
  if (answers == 0) return std::nullopt;
  return sum / answers;
}

double leaf_performance::Confidence(time_point now) const {
  if (learned_ && now - slowness_at_ < kOwnTime) return 1;
  return std::min(1.0, static_cast<double>(RecentPeriods(now)) /
                           std::max(settings_.min_periods, 1u));
}

std::uint32_t leaf_performance::Concurrency(time_point now) const {
  std::uint32_t best = 0;
  double best_goodput = 0;
  bool falls = false;
  for (std::size_t i = 0; i < kConcurrencies; ++i) {
    const concurrency_stats& one = by_open_[i];
    if (one.answers < settings_.min_answers) continue;
    if (now - one.last > kConcurrencyLifetime) continue;
    const double goodput = static_cast<double>(i + 1) /
                           std::max(static_cast<double>(one.mean), kMinRatio);
    if (goodput > best_goodput) {
      best = static_cast<std::uint32_t>(i + 1);
      best_goodput = goodput;
      falls = false;
    } else if (goodput < kFallingGoodput * best_goodput) {
      falls = true;
    }
  }
  return falls ? best : 0;
}

}  // namespace corianderrail::gateway
