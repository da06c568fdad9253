/** @file connection_share.h This host's share of a leaf's connections. */

#pragma once

#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** After a host restarts, a leaf may still count the connections of the old
 *  process for this time. */
inline constexpr duration kStartupPeriod = std::chrono::seconds(5);

/** Size of the fleet as seen by one leaf. */
struct fleet_size {
  std::uint32_t near_hosts = 1;  ///< Hosts in the leaf's region.
  std::uint32_t far_hosts = 0;   ///< All other hosts.
};

/**
 * Maximum number of connections from this host to a leaf: an equal share of
 * what the hosts near the leaf, or all other hosts, may use. At least one.
 */
std::uint32_t ConnectionShare(std::uint32_t leaf_limit, const fleet_size& fleet,
                              bool near);

/**
 * Whether hosts that take no clients may keep an idle connection to a leaf
 * after one of their few requests.
 * @param hosts All hosts of the fleet.
 */
bool LeafHoldsIdle(std::uint32_t leaf_limit, std::uint32_t hosts);

}  // namespace corianderrail::gateway
