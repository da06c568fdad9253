/** @file part_queue.h Parts of requests that wait for a leaf of a service. */

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "core/time_type.h"
#include "gateway/admission/load_shedding.h"

namespace corianderrail::gateway {

/** Key of a waiting part; parts are served in its order. */
struct waiting_part {
  bool late = false;           ///< The latency objective has passed.
  std::uint32_t rank = 0;      ///< 0 is the most urgent.
  bool fresh = true;           ///< Its client does not return after a refusal.
  std::uint64_t exchange = 0;  ///< Sequence number of the request.
  std::size_t part = 0;        ///< Index of the part in the request.

  auto operator<=>(const waiting_part&) const = default;
};

/**
 * Parts that wait for one service, and the rate at which they are served. More
 * urgent parts go first, but lower ranks get a minimum share.
 */
class part_queue {
 public:
  bool Empty() const { return waiting_.empty(); }

  /** Queues a part. @param usual Initial estimate of the answer interval. */
  void Add(const waiting_part& part, duration usual, time_point now);
  void Remove(const waiting_part& part);

  /** Moves a part behind all parts that can still be on time. */
  void MarkLate(const waiting_part& part);

  /** True when parts wait and the first is less urgent than `rank`. */
  bool HoldsOnlyLessUrgent(std::uint32_t rank) const;

  /** True when late parts may be sent: no part that can be on time waits now or
   *  has waited recently. */
  bool HasSpareRoom(time_point now) const;

  /** A leaf of the service became free. */
  void OnLeafFree(time_point now);

  /** First part in order, and the part after `part`; empty if there is none. */
  std::optional<waiting_part> First() const;
  std::optional<waiting_part> After(const waiting_part& part) const;

  /** First part of the next lower rank, if its minimum share is due. Each call
   *  counts as one dispatch round. */
  std::optional<waiting_part> NextFloorPart();

  /** Expected time until a part that is queued now is served. */
  duration ExpectedWait(const waiting_part& part, time_point now) const;
  queue_estimate Estimate(const waiting_part& part, time_point now) const;

 private:
  duration Interval(time_point now) const;

  std::set<waiting_part> waiting_;
  duration interval_{};  ///< Average time between answers while parts wait.
  time_point last_free_{};
  time_point contended_at_{};  ///< When a part that can be on time last waited.
  std::uint32_t turns_ = 0;    ///< Dispatch rounds since a lower rank was due.
};

}  // namespace corianderrail::gateway
