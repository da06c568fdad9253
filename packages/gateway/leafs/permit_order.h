/** @file permit_order.h Order in which the hosts of a zone hold permits. */

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "core/id_type.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/** A host of this host's zone that other hosts may reach. */
struct zone_host {
  host_id host{};
  std::uint32_t capacity = 0;  ///< Stronger hosts come first.
  bool leaving = false;        ///< It announced that it stops.
  bool self = false;           ///< This host.
};

/** A host uses only what it has held without interruption for this long, so
 *  that the others have learned of the same change and gave up their share. */
inline constexpr duration kHoldTime = std::chrono::seconds(3);

/** A host that disappeared without an announcement may be behind a partition
 *  and still send, so it keeps its position for this long. */
inline constexpr duration kAbsenceTime = std::chrono::minutes(10);

/** Position of this host among the hosts of its zone. */
class permit_order {
 public:
  /** @param planned_stop A host that leaves sends nothing after this time. */
  void SetPlannedStop(duration planned_stop) { planned_stop_ = planned_stop; }

  /** The hosts in the view of this host have changed. */
  void Update(std::span<const zone_host> hosts, time_point now);

  /** Highest position of this host during the last kHoldTime; empty while it
   *  must not use permits, because its process has just started. */
  std::optional<std::uint32_t> Position(time_point now);

 private:
  /** What is known of a host. */
  struct entry {
    host_id host{};
    std::uint32_t capacity = 0;
    bool self = false;
    bool listed = false;             ///< In the latest view.
    bool leaving = false;            ///< `held_until` ends a planned stop.
    time_point held_until = kNever;  ///< End of its position.

    bool Holds(time_point now) const { return now < held_until; }
  };

  /** A position and since when it applies. */
  struct period {
    time_point since{};
    std::uint32_t position = 0;
  };

  entry& FindOrAdd(host_id host);
  void Refresh(time_point now);
  void ExpirePositions(time_point now);
  std::uint32_t CountBefore(time_point now) const;

  duration planned_stop_ = std::chrono::seconds(6);
  std::vector<entry> hosts_;    ///< Ordered by host.
  std::deque<period> periods_;  ///< Those within kHoldTime.
  time_point first_update_ = kNever;
  time_point next_expiry_ = kNever;  ///< When the next position ends.
};

}  // namespace corianderrail::gateway
