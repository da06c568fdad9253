/** @file leaf_performance.h Learned speed and concurrency of one leaf. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** From how many samples a leaf's performance is learned. */
struct performance_settings {
  /** Periods with answers that a lasting level needs. With fewer, the slowness
   *  is an average that decays towards 1. */
  std::uint32_t min_periods = 5;
  /** Answers at each of two concurrencies that are compared. */
  std::uint32_t min_answers = 12;
};

/** One answer of a leaf. */
struct performance_sample {
  time_point sent{};         ///< When the request was passed to the connection.
  duration expected{};       ///< Usual latency at the distance of the leaf.
  std::uint32_t open = 1;    ///< Open requests then, including this one.
  bool queue_known = false;  ///< The answers already showed a queue.
};

/** A learned level that other hosts may use. */
struct performance_level {
  double slowness = 1;        ///< Latency relative to the expected one.
  std::uint32_t samples = 0;  ///< Answers that it was learned from.
  duration age{};             ///< Time since the latest of them.
};

/**
 * Latency of one boot of a leaf relative to the leafs of its service, and the
 * number of open requests from which its goodput falls, both from answers to
 * this host alone.
 *
 * The slowness has two parts. The lasting level is the median over the recent
 * periods, which a pause or noise shorter than half of them does not change.
 * The rest is an average that follows single answers and decays quickly.
 */
class leaf_performance {
 public:
  leaf_performance() = default;
  explicit leaf_performance(performance_settings settings)
      : settings_(settings) {}

  /** A usable answer was received. */
  void OnAnswer(const performance_sample& sample, time_point now);

  /** Latency relative to the expected one. It decays towards 1 without
   *  answers, so that a slow leaf is tried again. */
  double Slowness(time_point now) const;

  /** Open requests of this host from which its goodput at the leaf falls; 0
   *  while none is known. */
  std::uint32_t Concurrency(time_point now) const;

  /** Lasting level learned from recent answers; empty with too few. */
  std::optional<performance_level> Level(time_point now) const;

  /** Mean of the recent answers, also of few; empty without. */
  std::optional<double> RecentMean(time_point now) const;

  /** How far own answers replace figures of other hosts: 0 without recent
   *  ones, 1 from the first level until none came for some seconds. */
  double Confidence(time_point now) const;

 private:
  /** Answers within one period. */
  struct period {
    time_point begin{};
    float mean = 0;  ///< Of the relative latencies.
    std::uint32_t answers = 0;
  };

  /** Answers to requests that were sent at one number of open requests. */
  struct concurrency_stats {
    time_point last{};  ///< Latest answer.
    float mean = 0;     ///< Of the relative latencies, decaying.
    std::uint32_t answers = 0;
  };

  static constexpr std::size_t kPeriods = 16;
  static constexpr std::size_t kConcurrencies = 8;

  void AddToPeriod(double ratio, time_point now);
  void AddToConcurrency(const performance_sample& sample, double ratio,
                        time_point now);
  std::size_t RecentPeriods(time_point now) const;
  const period& Latest(std::size_t steps_back) const;
  double MedianOfLatest(std::size_t count) const;
  double LastingLevel(time_point now) const;

  performance_settings settings_;
  std::array<period, kPeriods> periods_{};  ///< Ring; head_ is the latest.
  std::size_t head_ = 0;
  std::array<concurrency_stats, kConcurrencies> by_open_{};
  std::optional<double> level_;  ///< Lasting level at slowness_at_.
  double slowness_ = 1;          ///< Value at slowness_at_.
  time_point slowness_at_{};
  bool learned_ = false;    ///< There was a level since the last long silence.
  time_point last_late_{};  ///< Last answer that counted as late.
};

}  // namespace corianderrail::gateway
