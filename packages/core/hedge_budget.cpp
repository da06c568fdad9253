/** @file hedge_budget.cpp Token budget shared by hedges and retries. */

#include "core/hedge_budget.h"

#include <algorithm>

namespace corianderrail {

namespace {

/**
 * Bucket depth. A leaf that fails loses up to 6 requests at once, and each of
 * them needs a retry.
 */
constexpr double kMaxTokens = 10.0;

/** Tokens at the start, before first requests have added any. */
constexpr double kInitialTokens = 2.0;

/**
 * Interval of retries without a token. For a service with 20 requests/s this
 * adds at most 5%, which is what the budget allows.
 */
constexpr duration kRetryPeriod = std::chrono::seconds(1);

constexpr double kPpm = 1e6;

}  // namespace

hedge_budget::hedge_budget(ppm extra_load)
    : tokens_per_request_(extra_load / kPpm),
      tokens_(extra_load == 0 ? 0.0 : kInitialTokens),
      next_retry_(extra_load == 0 ? kNever : time_point{}) {}

void hedge_budget::OnRequest() {
  tokens_ = std::min(kMaxTokens, tokens_ + tokens_per_request_);
}

bool hedge_budget::TryAcquireForFault() {
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

bool hedge_budget::TryAcquireForRetry(time_point now) {
  if (TryAcquireForFault()) return true;
  if (now < next_retry_) return false;
  next_retry_ = now + kRetryPeriod;
  return true;
}

bool hedge_budget::TryAcquireForTail() {
  if (tokens_ < kMaxTokens / 2 + 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace corianderrail
