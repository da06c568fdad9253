/** @file part_queue.h Parts of requests that wait for room at a service. */

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "core/time_type.h"
#include "gateway/load_shedding.h"

namespace corianderrail::gateway {

/** A part that waits, and its place: on time or late, rank, arrival. */
struct waiting_part {
  bool late = false;           ///< Its objective has passed.
  std::uint32_t rank = 0;      ///< 0 is the most urgent.
  std::uint64_t exchange = 0;  ///< Its request, in order of arrival.
  std::size_t part = 0;        ///< Its position in the request.

  auto operator<=>(const waiting_part&) const = default;
};

/**
 * The parts that wait for one service, and the pace at which they get room.
 * Urgent parts go first, but each lower rank keeps a floor.
 */
class part_queue {
 public:
  bool Empty() const { return waiting_.empty(); }

  /** Queues a part. @param usual Usual time between two answers. */
  void Add(const waiting_part& part, duration usual, time_point now);
  void Remove(const waiting_part& part);

  /** Moves a part behind all that can still be on time. */
  void MarkLate(const waiting_part& part);

  /** True when parts wait, and all of them are less urgent than `rank`. */
  bool HoldsOnlyLessUrgent(std::uint32_t rank) const;

  /** A leaf of the service became free. */
  void OnLeafFree(time_point now);

  /** Part whose turn it is; nothing when none waits after `after`. */
  std::optional<waiting_part> First() const;
  std::optional<waiting_part> After(const waiting_part& part) const;

  /** First part of a lower rank when its floor is due; else nothing. */
  std::optional<waiting_part> NextFloorPart();

  /** Expected time until a part that arrives now gets room. */
  duration ExpectedWait(const waiting_part& part, time_point now) const;
  queue_estimate Estimate(const waiting_part& part, time_point now) const;

 private:
  duration Interval(time_point now) const;

  std::set<waiting_part> waiting_;
  duration interval_{};  ///< Usual time between answers while parts wait.
  time_point last_free_{};
  std::uint32_t turns_ = 0;  ///< Since the last turn of a lower rank.
};

}  // namespace corianderrail::gateway
