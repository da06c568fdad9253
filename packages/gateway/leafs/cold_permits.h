/** @file cold_permits.h Requests per second that a cold leaf may get. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time_type.h"
#include "gateway/leafs/leaf_choice.h"
#include "gateway/leafs/leaf_state.h"
#include "gateway/leafs/permit_order.h"
#include "gateway/routing/route_stats.h"
#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

/** Bounds of the requests to cold leafs. */
struct cold_settings {
  double excess = 0;  ///< Factor on the rate of the service; 0: no limit.
  double slack = 0;   ///< Further requests per second.
  duration planned_stop = std::chrono::seconds(6);  ///< Of a host.
};

/** Permits of all hosts for one cold leaf; each allows one request per second.
 */
class permit_plan {
 public:
  /**
   * @param bound Requests per second that the leaf may get.
   * @param leaf_zone Zone of the leaf.
   */
  permit_plan(const location& here, std::uint32_t bound,
              std::string_view leaf_zone);

  /** Permits of the hosts of a zone together. */
  std::uint32_t ZoneShare(std::string_view zone) const;

  /** Permits of the host at a position of the order of its zone. */
  static std::uint32_t HostShare(std::uint32_t zone_share,
                                 std::uint32_t position);

 private:
  void Divide(std::uint32_t total);
  std::uint32_t Largest() const;

  std::vector<std::string_view> near_;  ///< Zones in the region of the leaf.
  std::vector<std::string_view> far_;   ///< All other zones.
  std::map<std::string_view, std::uint32_t> shares_;
};

/** Decides which leafs are cold and how many requests this host may send. */
class cold_permits {
 public:
  explicit cold_permits(location here) : here_(std::move(here)) {}

  void Configure(const cold_settings& settings);
  void SetServices(std::span<const upstream_service> services);
  void SetHosts(std::span<const zone_host> hosts, time_point now) {
    order_.Update(hosts, now);
  }

  /** Whether a leaf is cold now and its service limits the rate. */
  bool Limited(const leaf_state& leaf, time_point now) const;

  /** End of the cold time of a leaf. */
  time_point ColdUntil(const leaf_state& leaf) const;

  /** Requests per second that a cold leaf of a service may get from all hosts
   *  together. */
  std::uint32_t Bound(std::string_view service) const;

  /** Permits of this host for a leaf; empty if it is not limited. */
  std::optional<std::uint32_t> Held(const leaf_state& leaf, time_point now);

  /** A request to a leaf ended: answered, failed or canceled. */
  void OnEnded(leaf_state& leaf, time_point now);

  /** When the next permit is free again; kNever if none is in use. */
  time_point NextFree() const;

  /** Removes and returns services with a permit that is free again. */
  std::vector<std::string> TakeFreed(time_point now);

 private:
  /** A used permit. */
  struct resting_permit {
    time_point free_at{};
    std::string service;
  };

  /** A service that limits the rate of its cold leafs. */
  struct limited_service {
    duration cold_time{};
    std::uint32_t bound = 0;
    /** Permits of this host's zone, by the zone of the leaf. */
    std::map<std::string, std::uint32_t, std::less<>> shares;
  };

  const limited_service* Service(std::string_view name) const;
  std::uint32_t ZoneShare(const leaf_state& leaf);

  location here_;
  cold_settings settings_;
  std::map<std::string, limited_service, std::less<>> services_;
  permit_order order_;
  std::deque<resting_permit> resting_;  ///< Ordered by time.
};

/** Earliest time at which a candidate can have a permit; the past if one of
 * them needs none. */
time_point FirstPermit(std::span<const leaf_candidate> candidates);

/** Requests that the candidates run at the same time, at least 1 unless all of
 *  them are cold: a permit rests after each request. */
double ParallelRequests(std::span<const leaf_candidate> candidates);

}  // namespace corianderrail::gateway
