/** @file placement_report.h Where a request would go now, and why. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "gateway/leafs/leaf_choice.h"
#include "gateway/message_type.h"
#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

/** A request that is not sent. */
struct placement_request {
  std::string host;  ///< Host name of the request, in lower case, no port.
  std::string path;  ///< Without the query string.
};

/** A leaf that could get a part, as the choice sees it. */
struct placement_leaf {
  std::string instance;        ///< The leaf.
  std::string zone;            ///< Its availability zone.
  leaf_candidate candidate;    ///< Health, speed, limits.
  leaf_exclusion exclusion{};  ///< Why it may not get the part.
  duration predicted{};        ///< Latency of one more request.
  duration cost{};      ///< The same with the expected cost of a failure.
  bool chosen = false;  ///< It would get the part.
};

/** A shard of a query, or a whole plain request. */
struct placement_part {
  std::string service;
  choice_outcome outcome = choice_outcome::nothing;
  duration wait{};                    ///< Expected in the queue of the service.
  std::vector<placement_leaf> leafs;  ///< In order of cost; chosen one first.
  std::size_t leafs_omitted = 0;      ///< Leafs beyond the bound.
};

/** Route of a request as it is applied. */
struct placement_route {
  std::string name;
  std::uint32_t rank = 0;
  bool idempotent = false;
  bool gathers = false;
  double min_shard_ratio = 1;
  duration objective{};  ///< Latency objective.
  duration time_left{};  ///< Of the objective, less the network.
  duration timeout{};
  region_set homes;  ///< Regions in which it may run; empty for any.
};

/** The whole reasoning. */
struct placement_report {
  config_version version{};
  /** Why the request would be refused; `none` if it would be sent or queued. */
  refusal_cause refusal = refusal_cause::none;
  std::optional<placement_route> matched;  ///< Empty without a route.
  std::vector<std::string> evacuated_zones;
  duration expected_wait{};  ///< Of the deciding part.
  duration usual_latency{};  ///< Compared, with the wait, with `time_left`.
  std::vector<placement_part> parts;
  std::size_t parts_omitted = 0;  ///< Parts beyond the bound.
};

/** Bounds of a report: with 250 bytes a leaf it has at most 128 KB of JSON. */
inline constexpr std::size_t kMaxReportedParts = 64;
inline constexpr std::size_t kMaxReportedLeafs = 8;

}  // namespace corianderrail::gateway
