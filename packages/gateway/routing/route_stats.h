/** @file route_stats.h Latency statistics of one route by zone. */

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/latency_digest.h"
#include "core/time_type.h"
#include "gateway/admission/client_delay.h"
#include "gateway/routing/weighted_round_robin.h"

namespace corianderrail::gateway {

/** Zone and region of this host, to estimate the distance to leafs. */
struct location {
  std::string zone;    ///< Availability zone of this host.
  std::string region;  ///< Region of this host.
  std::map<std::string, std::string, std::less<>>
      regions;  ///< Region of each known zone.

  bool SameRegion(std::string_view other_zone) const;

  /** Region of a zone; empty for a zone that the settings do not contain. */
  std::string_view RegionOf(std::string_view other_zone) const;
};

/** Latencies of the answers to one route, and the split over its services. */
class route_stats {
 public:
  /** Adds the latency of an answer from a leaf in `zone`. */
  void Add(std::string_view zone, duration latency, time_point now);

  /** Median latency from `zone`; an estimate while there are few samples. */
  duration ExpectedLatency(std::string_view zone, const location& here,
                           duration objective, time_point now) const;

  /** Latency that few answers from `zone` exceed. */
  duration TailLatency(std::string_view zone, const location& here,
                       duration objective, time_point now) const;

  /** Median latency from `zone` without queueing; 0 while unknown. */
  duration UnloadedLatency(std::string_view zone) const;

  /** Lowest unloaded latency of all zones, as an estimate of the time that a
   *  leaf works for one request; 0 while unknown. */
  duration WorkTime() const;

  weighted_round_robin split;  ///< Selects the service of a plain request.
  client_delay clients;        ///< Time that clients spent before a request.

 private:
  /** Latencies of one zone. */
  struct zone_stats {
    latency_digest recent;  ///< Recent latencies, with queueing.
    duration unloaded{};    ///< Lowest median; rises slowly.
    time_point risen_at{};  ///< Last change of `unloaded`.
  };

  const latency_digest* UsableDigest(std::string_view zone,
                                     time_point now) const;
  static void TrackUnloaded(zone_stats& one, time_point now);

  std::map<std::string, zone_stats, std::less<>> by_zone_;
};

}  // namespace corianderrail::gateway
