/** @file repeat_budget.cpp Sliding count of first requests and repeats. */

#include "gateway/admission/repeat_budget.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Share of the limit that this host spends. The rest covers requests that the
 *  leaf counts in another window than this host. */
constexpr double kSpendable = 0.9;

/** Share of the budget that hedges may use. The rest is reserved for retries
 *  of failed requests. */
constexpr double kHedgeShare = 0.85;

}  // namespace

repeat_budget::repeat_budget(const repeat_settings& settings)
    : settings_(settings) {}

std::int64_t repeat_budget::Period(time_point now) const {
  const auto length = settings_.window.count() / std::int64_t{kBuckets};
  return now.time_since_epoch().count() / length;
}

repeat_budget::bucket& repeat_budget::Current(time_point now) {
  const std::int64_t period = Period(now);
  bucket& current =
      buckets_[static_cast<std::size_t>(period) % buckets_.size()];
  if (current.period != period) current = {period, 0, 0};
  return current;
}

void repeat_budget::OnFirst(time_point now) { ++Current(now).first; }

bool repeat_budget::Idle(time_point now) const {
  const std::int64_t oldest = Period(now) - std::int64_t{kBuckets};
  return std::all_of(buckets_.begin(), buckets_.end(), [&](const bucket& one) {
    return one.period < oldest || (one.first == 0 && one.repeats == 0);
  });
}

bool repeat_budget::TrySpend(repeat_reason reason, time_point now) {
  bucket& current = Current(now);
  double first = 0;
  double repeats = 0;
  for (const bucket& one : buckets_) {
    if (one.period < current.period - std::int64_t{kBuckets}) continue;
    first += one.first;
    repeats += one.repeats;
  }
  double allowed = (settings_.ratio * first + settings_.slack) * kSpendable;
  if (reason == repeat_reason::hedge) allowed *= kHedgeShare;
  if (repeats + 1 > allowed) return false;
  ++current.repeats;
  return true;
}

}  // namespace corianderrail::gateway
