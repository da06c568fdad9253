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
 * Connections that this host may hold to a leaf. Hosts near the leaf share
 * two fifths of them, others half; the rest covers connections of ended
 * processes that the leaf has not noticed yet. At least one.
 */
std::uint32_t ConnectionShare(std::uint32_t leaf_limit, const fleet_size& fleet,
                              bool near);

}  // namespace corianderrail::gateway
