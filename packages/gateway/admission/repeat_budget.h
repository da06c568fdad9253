/** @file repeat_budget.h Limits the repeated requests to one service. */

#pragma once

#include <array>
#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** This host's share of the limit on repeats to each service. */
struct repeat_settings {
  double ratio = 0.2;  ///< Repeats allowed per first request.
  double slack = 0;    ///< Additional repeats of this host per window.
  duration window = std::chrono::seconds(10);  ///< Any span of this length.
};

/** Why a request is sent to another leaf. */
enum class repeat_reason : std::uint8_t {
  failure,  ///< The previous leaf failed or refused it.
  hedge,    ///< The previous leaf is late.
};

/**
 * Counts first requests and repeats of one service in a sliding window. Each
 * host spends only the ratio of its own requests and a fixed share of the
 * slack. The sum over all hosts therefore keeps the limit without messages,
 * even during a network partition and across restarts.
 */
class repeat_budget {
 public:
  explicit repeat_budget(const repeat_settings& settings);

  /** Counts one first request. */
  void OnFirst(time_point now);

  /** Counts one repeat if the window allows it. @return Whether it does. */
  bool TrySpend(repeat_reason reason, time_point now);

  /** True when the window holds no request. */
  bool Idle(time_point now) const;

  void SetLimits(double ratio, double slack) {
    settings_.ratio = ratio;
    settings_.slack = slack;
  }

 private:
  static constexpr std::size_t kBuckets = 20;

  /** Counts of one interval of the window. */
  struct bucket {
    std::int64_t period = -1;   ///< Intervals since the epoch of the clock.
    std::uint32_t first = 0;    ///< First requests.
    std::uint32_t repeats = 0;  ///< Repeats.
  };

  bucket& Current(time_point now);
  std::int64_t Period(time_point now) const;

  repeat_settings settings_;
  std::array<bucket, kBuckets + 1> buckets_{};
};

}  // namespace corianderrail::gateway
