/** @file routing_type.h Routes and services of one configuration version. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Version of a configuration; larger is newer, 0 means none. */
enum class config_version : std::uint64_t {};

/** Whether a request may run more than once. */
enum class repeatability : std::uint8_t { idempotent, non_idempotent };

/** A service that gets a share of the requests of a route. */
struct weighted_service {
  std::string service;  ///< Name of the service.
  double weight = 1;    ///< Share relative to the other services.
};

/** Names of regions. As home regions, an empty set stands for any region. */
using region_set = std::vector<std::string>;

/** Rule for the requests with one host name and path prefix. */
struct route {
  std::string name;    ///< Identifies the route in logs.
  std::string host;    ///< Host name in requests, without a port.
  std::string prefix;  ///< Starts and ends with a slash.
  repeatability kind = repeatability::non_idempotent;
  duration timeout{};          ///< Time limit of a request.
  duration objective{};        ///< Latency objective.
  std::uint32_t rank = 0;      ///< 0 is the most urgent.
  std::uint32_t attempts = 1;  ///< Maximum attempts per request or shard.
  std::vector<weighted_service> targets;  ///< Empty for a gathered query.
  std::vector<std::string> shards;        ///< Services of a gathered query.
  std::size_t top_records = 0;   ///< Maximum records of a gathered answer.
  double min_shard_ratio = 1.0;  ///< Minimum share of shards for an answer.
  region_set residency;          ///< Only leafs in these regions may run it.

  bool Gathers() const { return !shards.empty(); }
};

/** Settings of a service. */
struct upstream_service {
  std::string name;                   ///< Unique among services.
  std::uint32_t max_connections = 0;  ///< Limit per leaf, for all hosts.
  duration cold_time{};        ///< For which a leaf is cold after its start.
  double cold_per_second = 0;  ///< That a cold leaf tolerates; 0: no limit.
};

/** Limits on client requests and connections. */
struct client_limits {
  std::size_t header_bytes = 16384;  ///< Request line and header fields.
  std::size_t body_bytes = 262144;   ///< Complete body.
  duration header_timeout = std::chrono::seconds(3);  ///< To receive a request.
  duration idle_timeout = std::chrono::seconds(15);   ///< Between requests.
};

/** One version of the configuration; immutable once published. */
struct routing_config {
  config_version version{};                ///< Larger is newer.
  std::vector<route> routes;               ///< In any order.
  std::vector<upstream_service> services;  ///< In any order.
  client_limits limits;                    ///< Limits for clients.
};

}  // namespace corianderrail::gateway
