/** @file route_stats.h Usual latencies of one route, by distance. */

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/latency_digest.h"
#include "core/time_type.h"
#include "gateway/split_turn.h"

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
  duration Expected(std::string_view zone, const location& here, duration goal,
                    time_point now) const;

  /** Latency that only few answers from `zone` exceed. */
  duration Late(std::string_view zone, const location& here, duration goal,
                time_point now) const;

  split_turn turn;  ///< Which service is next.

 private:
  const latency_digest* Learned(std::string_view zone, time_point now) const;

  std::map<std::string, latency_digest, std::less<>> by_zone_;
};

}  // namespace corianderrail::gateway
