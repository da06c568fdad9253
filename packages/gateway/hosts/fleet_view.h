/** @file fleet_view.h Size of the fleet and role of this host in it. */

#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/member_type.h"
#include "gateway/gateway_type.h"
#include "gateway/hosts/entry_choice.h"
#include "gateway/routing/route_stats.h"

namespace corianderrail::gateway {

/**
 * Derives from the members of the fleet how many hosts share a limit and
 * whether clients are sent to this host.
 */
class fleet_view {
 public:
  /** @param self Peer address of this host. */
  fleet_view(location here, std::string self, entry_settings settings);

  /**
   * Event for the gateway after the members have changed.
   * @param starting This process has just started and may not know all members.
   */
  fleet_event Update(std::span<const member_record> members, bool starting);

 private:
  /** Entry hosts by their distance to this host. */
  struct entry_count {
    std::uint32_t own_region = 0;     ///< In the region of this host.
    std::uint32_t other_regions = 0;  ///< In all other regions.
  };

  entry_count AssumedEntries() const;
  std::uint32_t Regions() const;

  location here_;
  std::string self_;
  entry_settings settings_;
  std::uint32_t max_hosts_ = 0;    ///< Most hosts seen at once.
  std::uint32_t max_entries_ = 0;  ///< Most entry hosts seen at once.
};

}  // namespace corianderrail::gateway
