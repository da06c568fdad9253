/** @file connection_share.h This host's share of a leaf's connections. */

#pragma once

#include <cstdint>

namespace corianderrail::gateway {

/** The fleet as seen from one leaf. */
struct fleet_size {
  std::uint32_t near_hosts = 1;  ///< Hosts in the leaf's region.
  std::uint32_t far_hosts = 0;   ///< All other hosts.
};

/**
 * Most connections that this host may hold to a leaf: an equal part of what
 * the hosts near the leaf, or all others, may hold together. At least one.
 */
std::uint32_t ConnectionShare(std::uint32_t leaf_limit, const fleet_size& fleet,
                              bool near);

}  // namespace corianderrail::gateway
