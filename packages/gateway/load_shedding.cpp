/**
 * @file load_shedding.cpp Refusing by expected wait.
 *
 * Answers loads beyond what leafs carry. Without it every request waits until
 * its objective has passed, leafs work on parts of queries that are given up,
 * and almost nothing is answered on time. A request that is refused at once
 * has cost no leaf anything, and its client has time for another attempt.
 */

#include "gateway/load_shedding.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace corianderrail::gateway {

namespace {

/** Clients are told to come back within these bounds. */
constexpr duration kShortestReturn = std::chrono::milliseconds(50);
constexpr duration kLongestReturn = std::chrono::seconds(1);

/** Expected waits count this often, because a query waits for the slowest of
 *  many queues, and more urgent requests may still come before it. */
constexpr int kWaitMargin = 2;

}  // namespace

request_room RoomFor(std::span<service_room> services, std::size_t spare) {
  request_room room;
  if (services.size() <= spare) return room;
  const std::size_t last_needed = services.size() - 1 - spare;
  const auto middle =
      std::next(services.begin(), static_cast<std::ptrdiff_t>(last_needed));
  std::nth_element(
      services.begin(), middle, services.end(),
      [](const auto& a, const auto& b) { return a.wait < b.wait; });
  return {middle->wait, middle->interval};
}

bool IsWorthQueueing(const request_room& room, duration usual_latency,
                     duration time_to_objective) {
  return room.wait == duration{} ||
         room.wait * kWaitMargin + usual_latency <= time_to_objective;
}

duration retry_schedule::Next(const request_room& room, time_point now) {
  const time_point latest = now + kLongestReturn;
  const time_point turn = std::clamp(std::max(now + room.wait, next_),
                                     now + kShortestReturn, latest);
  next_ = std::min(turn + room.interval, latest);
  return turn - now;
}

}  // namespace corianderrail::gateway
