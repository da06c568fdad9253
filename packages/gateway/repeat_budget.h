/** @file repeat_budget.h Bound on repeated requests to one service. */

#pragma once

#include <array>
#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** This host's part of the bound on repeats to each service. */
struct repeat_settings {
  double ratio = 0.2;  ///< Repeats for each first request.
  double slack = 0;    ///< Repeats a window beyond the ratio, this host alone.
  duration window = std::chrono::seconds(10);  ///< Any span of this length.
};

/** Why a request goes to a second leaf. */
enum class repeat_reason : std::uint8_t {
  failure,  ///< The first leaf failed or refused.
  hedge,    ///< The first leaf is late.
};

/**
 * Counts first requests and repeats of one service in a sliding window. Each
 * host spends only what its own requests earn and a fixed part of the slack,
 * so the sum over all hosts keeps the bound without any message, also in a
 * partition and over restarts.
 */
class repeat_budget {
 public:
  explicit repeat_budget(const repeat_settings& settings);

  /** Counts one first request. */
  void OnFirst(time_point now);

  /** Takes one repeat; false when the window has no room for it. */
  bool TrySpend(repeat_reason reason, time_point now);

  void SetBounds(double ratio, double slack) {
    settings_.ratio = ratio;
    settings_.slack = slack;
  }

 private:
  static constexpr std::size_t kBuckets = 20;

  /** Counts within one part of the window. */
  struct bucket {
    std::int64_t period = -1;   ///< Which part, from the clock's epoch.
    std::uint32_t first = 0;    ///< First requests.
    std::uint32_t repeats = 0;  ///< Repeats.
  };

  bucket& Current(time_point now);
  std::int64_t Period(time_point now) const;

  repeat_settings settings_;
  std::array<bucket, kBuckets + 1> buckets_{};
};

}  // namespace corianderrail::gateway
