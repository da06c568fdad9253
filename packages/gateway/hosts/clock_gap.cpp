/**
 * @file clock_gap.cpp Detection of suspended hosts.
 *
 * A suspended host resumes with outdated state, and its connections may have
 * been closed without notice.
 */

#include "gateway/hosts/clock_gap.h"

namespace corianderrail::gateway {

namespace {

/** On a busy host the calls are late by less than this. */
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
