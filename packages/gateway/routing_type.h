/** @file routing_type.h Routes and services of one configuration version. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Number of a configuration; larger is newer, 0 means none. */
enum class config_version : std::uint64_t {};

/** Whether a request may run more than once. */
enum class repeatability : std::uint8_t { idempotent, non_idempotent };

/** A service that gets a share of the requests of a route. */
struct weighted_service {
  std::string service;  ///< Name of the service.
  double weight = 1;    ///< Share relative to the other services.
};

/** Where the requests of one host and path prefix go, and how. */
struct route {
  std::string name;    ///< Name for logs and metrics.
  std::string host;    ///< Host that clients name, without a port.
  std::string prefix;  ///< Starts and ends with a slash.
  repeatability kind = repeatability::non_idempotent;
  duration timeout{};          ///< Longest time until the final answer.
  duration objective{};        ///< Latency objective.
  std::uint32_t rank = 0;      ///< 0 is the most urgent.
  std::uint32_t attempts = 1;  ///< Most leafs asked for one request or shard.
  std::vector<weighted_service> targets;  ///< Empty for a gathered query.
  std::vector<std::string> shards;        ///< Services of a gathered query.
  std::size_t top_records = 0;            ///< Records of a gathered answer.
  double min_shard_ratio = 1.0;           ///< Fewest shards of a useful answer.

  bool Gathers() const { return !shards.empty(); }
};

/** What is known of a service beside its leafs. */
struct upstream_service {
  std::string name;                   ///< Unique name.
  std::uint32_t max_connections = 0;  ///< Limit of each leaf, all callers.
};

/** Bounds on what a client may send. */
struct client_limits {
  std::size_t header_bytes = 16384;  ///< Request line and fields.
  std::size_t body_bytes = 262144;   ///< Body.
  duration header_timeout = std::chrono::seconds(3);  ///< Whole request.
  duration idle_timeout = std::chrono::seconds(15);   ///< Between requests.
};

/** One version of the configuration; immutable once published. */
struct routing_config {
  config_version version{};                ///< Larger is newer.
  std::vector<route> routes;               ///< In no order.
  std::vector<upstream_service> services;  ///< In no order.
  client_limits limits;                    ///< Towards clients.
};

}  // namespace corianderrail::gateway
