/**
 * @file load_shedding.cpp Load shedding by expected wait.
 *
 * Under more load than the leafs can serve, every request would wait until its
 * objective has passed, leafs would run parts of queries that time out, and
 * almost nothing would be answered on time. A request that is refused on
 * arrival costs no leaf time and leaves its client time to retry.
 */

#include "gateway/admission/load_shedding.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace corianderrail::gateway {

namespace {

/** Bounds of the Retry-After of refused clients. */
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr duration kMaxRetryAfter = std::chrono::seconds(1);

/** Factor on the expected wait. A query waits for the slowest of many queues,
 *  and more urgent requests may still overtake it. */
constexpr int kWaitMargin = 2;

}  // namespace

request_estimate EstimateRequest(std::span<queue_estimate> services,
                                 std::size_t spare) {
  request_estimate estimate;
  if (services.size() <= spare) return estimate;
  const std::size_t last_needed = services.size() - 1 - spare;
  const auto middle =
      std::next(services.begin(), static_cast<std::ptrdiff_t>(last_needed));
  std::nth_element(
      services.begin(), middle, services.end(),
      [](const auto& a, const auto& b) { return a.wait < b.wait; });
  return {middle->wait, middle->interval};
}

bool IsWorthQueueing(const request_estimate& estimate, duration usual_latency,
                     duration time_left) {
  return estimate.wait == duration{} ||
         estimate.wait * kWaitMargin + usual_latency <= time_left;
}

duration retry_schedule::Next(const request_estimate& estimate,
                              time_point now) {
  const time_point latest = now + kMaxRetryAfter;
  const time_point retry_at = std::clamp(std::max(now + estimate.wait, next_),
                                         now + kMinRetryAfter, latest);
  next_ = std::min(retry_at + estimate.interval, latest);
  return retry_at - now;
}

}  // namespace corianderrail::gateway
