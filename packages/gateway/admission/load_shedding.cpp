/**
 * @file load_shedding.cpp Load shedding by expected time of the answer.
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

/** Longest Retry-After of refused clients. */
constexpr duration kMaxRetryAfter = std::chrono::seconds(1);

/** Factor on the expected wait. A query waits for the slowest of many queues,
 *  and more urgent requests may still overtake it. With a factor of 2, a tenth
 *  of the queries that were admitted at twice the capacity was late. */
constexpr int kWaitMargin = 3;

/** Weight of one request in the served share of its rank, and the time after
 *  which a share without requests no longer counts. */
constexpr double kShareWeight = 0.05;
constexpr duration kShareLifetime = std::chrono::seconds(1);

/** Difference of served shares from which the less urgent rank yields; refusals
 *  of single requests change a share by less. */
constexpr double kShareTolerance = 0.02;

/** Served share of attempts that a less urgent rank keeps in any case. A client
 *  tries twice, so about twice this share of its requests is served. */
constexpr double kGuaranteedShare = 0.15;

}  // namespace

duration queue_estimate::Finish() const { return wait * kWaitMargin + answer; }

request_estimate EstimateRequest(std::span<queue_estimate> services,
                                 std::size_t spare) {
  request_estimate estimate;
  if (services.size() <= spare) return estimate;
  const std::size_t last_needed = services.size() - 1 - spare;
  const auto middle =
      std::next(services.begin(), static_cast<std::ptrdiff_t>(last_needed));
  std::nth_element(
      services.begin(), middle, services.end(),
      [](const auto& a, const auto& b) { return a.Finish() < b.Finish(); });
  return *middle;
}

bool IsWorthQueueing(const request_estimate& estimate, duration usual_latency,
                     duration time_left) {
  if (estimate.wait == duration{}) return estimate.answer <= time_left;
  return estimate.Finish() <= time_left &&
         estimate.wait * kWaitMargin + usual_latency <= time_left;
}

bool HasReturned(duration remaining, duration route_limit) {
  return remaining + kMinRetryAfter <= route_limit;
}

void rank_shares::Add(std::uint32_t rank, bool served, time_point now) {
  row& one = rows_[std::min<std::size_t>(rank, kRows - 1)];
  if (now > one.at + kShareLifetime) one.served = 1;
  one.served += kShareWeight * ((served ? 1.0 : 0.0) - one.served);
  one.at = now;
}

bool rank_shares::Yields(std::uint32_t rank, time_point now) const {
  const std::size_t own = std::min<std::size_t>(rank, kRows - 1);
  if (rows_[own].served <= kGuaranteedShare) return false;
  for (std::size_t i = 0; i < own; ++i) {
    if (now > rows_[i].at + kShareLifetime) continue;
    if (rows_[i].served + kShareTolerance < rows_[own].served) return true;
  }
  return false;
}

duration retry_schedule::Next(const request_estimate& estimate,
                              time_point now) {
  const time_point latest = now + kMaxRetryAfter;
  // Beyond the latest time the assignment starts over, so that clients do not
  // all return at that time.
  const time_point next = next_ <= latest ? next_ : now;
  const time_point retry_at = std::clamp(std::max(now + estimate.wait, next),
                                         now + kMinRetryAfter, latest);
  next_ = retry_at + estimate.interval;
  return retry_at - now;
}

}  // namespace corianderrail::gateway
