/**
 * @file clock_gap.cpp Hosts that were frozen or suspended.
 *
 * Such a host still believes what it knew before, and its connections may be
 * gone without a sign.
 */

#include "gateway/clock_gap.h"

namespace corianderrail::gateway {

namespace {

/** A busy host looks late by less than this. */
constexpr duration kMinGap = std::chrono::seconds(1);

}  // namespace

std::optional<duration> clock_gap::Check(time_point now) {
  const bool first = last_ == time_point{};
  const duration missing = now - last_ - period_;
  last_ = now;
  if (first || missing < kMinGap) return std::nullopt;
  return missing;
}

}  // namespace corianderrail::gateway
