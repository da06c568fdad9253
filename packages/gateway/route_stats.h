/** @file route_stats.h Usual latencies of one route, by distance. */

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/latency_digest.h"
#include "core/time_type.h"
#include "gateway/weighted_round_robin.h"

namespace corianderrail::gateway {

/** Where this host stands, for the distance to leafs. */
struct location {
  std::string zone;    ///< Availability zone.
  std::string region;  ///< Region.
  std::map<std::string, std::string, std::less<>>
      regions;  ///< Region of each zone.

  bool SameRegion(std::string_view other_zone) const;
};

/** Latencies of the answers to one route, and the turn of its services. */
class route_stats {
 public:
  /** Takes the latency of an answer from a leaf in `zone`. */
  void Add(std::string_view zone, duration latency, time_point now);

  /** Usual latency of a leaf in `zone`; a guess while there are few samples. */
  duration ExpectedLatency(std::string_view zone, const location& here,
                           duration objective, time_point now) const;

  /** Latency that only few answers from `zone` exceed. */
  duration TailLatency(std::string_view zone, const location& here,
                       duration objective, time_point now) const;

  /** Latency from `zone` while leafs have no queue; 0 while unknown. */
  duration UnloadedLatency(std::string_view zone) const;

  /** What a leaf works for one request; 0 while unknown. */
  duration WorkTime() const;

  weighted_round_robin split;  ///< Which service is next.

 private:
  /** Latencies of one zone. */
  struct zone_stats {
    latency_digest recent;  ///< As they are, with queues.
    duration unloaded{};    ///< Least median; rises slowly.
    time_point risen_at{};  ///< When `unloaded` was last raised.
  };

  const latency_digest* LearnedDigest(std::string_view zone,
                                      time_point now) const;
  static void TrackUnloaded(zone_stats& one, time_point now);

  std::map<std::string, zone_stats, std::less<>> by_zone_;
};

}  // namespace corianderrail::gateway
