/** @file connection_share.cpp Shares of the connections of a leaf. */

#include "gateway/leafs/connection_share.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Shares of a leaf's connections for the hosts near it and for all others.
 *  Their sum exceeds 1, because hosts open connections on demand and close
 *  idle ones early, and far hosts need many only if their near leaf fails. */
constexpr double kNearShare = 0.5;
constexpr double kFarShare = 0.9;

/** Part of a leaf's connections for hosts that take no clients. */
constexpr double kIdleShare = 0.25;

/** More concurrent requests than this would only queue at the leaf. */
constexpr std::uint32_t kMaxConnections = 64;

/** Assumed connection limit of a leaf without a configured one. */
constexpr std::uint32_t kDefaultLimit = 16;

double LimitOf(std::uint32_t leaf_limit) {
  return leaf_limit == 0 ? kDefaultLimit : leaf_limit;
}

}  // namespace

std::uint32_t ConnectionShare(std::uint32_t leaf_limit, const fleet_size& fleet,
                              bool near) {
  const double limit = LimitOf(leaf_limit);
  const double fraction = near ? kNearShare : kFarShare;
  const std::uint32_t hosts =
      std::max<std::uint32_t>(near ? fleet.near_hosts : fleet.far_hosts, 1);
  const auto share = static_cast<std::uint32_t>(limit * fraction / hosts);
  return std::clamp<std::uint32_t>(share, 1, kMaxConnections);
}

// Each host may send a request to each leaf from time to time. A large fleet
// that keeps its connections would fill the leaf with idle ones, and the leaf
// would reset those of the hosts that serve clients.
bool LeafHoldsIdle(std::uint32_t leaf_limit, std::uint32_t hosts) {
  return hosts <= kIdleShare * LimitOf(leaf_limit);
}

}  // namespace corianderrail::gateway
