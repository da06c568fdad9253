/** @file evacuation.h Zones to whose leafs nothing new is sent. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Begin or end of the evacuation of a zone. */
struct evacuation_change {
  std::string zone;            ///< Perhaps one that the settings do not name.
  std::uint64_t revision = 0;  ///< Of the store, at the change.
  bool active = false;         ///< True when it began.
};

/**
 * The evacuated zones, from the store alone. A zone is evacuated while the
 * store has its item, whatever the settings and the leafs of the zone say.
 */
class evacuation {
 public:
  /** Applies a change.
   *  @return False when it was known already. */
  bool Apply(const evacuation_change& change, time_point now);

  /** True while no request may be sent to the leafs of a zone. */
  bool Covers(std::string_view zone) const { return begun_.contains(zone); }

  /** From when the leafs of a zone get no requests; kNever if they do. */
  time_point SendBefore(std::string_view zone) const;

  /** When the last evacuation of a zone ended, as seen by this host; empty
   *  while it lasts, and when none ended within the last hour. */
  std::optional<time_point> EndedAt(std::string_view zone) const;

  /** Evacuated zones, in the order of their names. */
  std::vector<std::string> Zones() const;

  /** Number of evacuated zones. */
  std::size_t Size() const { return begun_.size(); }

 private:
  /** A point in time for each of some zones. */
  using zone_times = std::map<std::string, time_point, std::less<>>;

  zone_times begun_;  ///< Evacuated now.
  zone_times ended_;  ///< Not evacuated any more.
};

}  // namespace corianderrail::gateway
