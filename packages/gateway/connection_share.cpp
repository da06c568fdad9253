/** @file connection_share.cpp Division of a leaf's connections. */

#include "gateway/connection_share.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Parts of a leaf's connections for the hosts near it and the others. Their
 *  sum exceeds 1: a host opens connections on demand and closes idle ones
 *  early, and far hosts need many only while their near leaf is in trouble. */
constexpr double kNearShare = 0.5;
constexpr double kFarShare = 0.9;

/** More open requests than this only queue at the leaf. */
constexpr std::uint32_t kMaxConnections = 64;

/** Leafs whose limit is unknown. */
constexpr std::uint32_t kDefaultLimit = 16;

}  // namespace

std::uint32_t ConnectionShare(std::uint32_t leaf_limit, const fleet_size& fleet,
                              bool near) {
  const double limit = leaf_limit == 0 ? kDefaultLimit : leaf_limit;
  const double fraction = near ? kNearShare : kFarShare;
  const std::uint32_t hosts =
      std::max<std::uint32_t>(near ? fleet.near_hosts : fleet.far_hosts, 1);
  const auto share = static_cast<std::uint32_t>(limit * fraction / hosts);
  return std::clamp<std::uint32_t>(share, 1, kMaxConnections);
}

}  // namespace corianderrail::gateway
