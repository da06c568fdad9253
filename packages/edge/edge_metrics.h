/** @file edge_metrics.h Metrics of an edge host for Prometheus. */

#pragma once

#include <cstdint>
#include <string>

#include "core/time_type.h"
#include "edge/http_server.h"
#include "edge/leaf_pool.h"
#include "edge/peer_link.h"
#include "gateway/admission/answer_stats.h"
#include "gateway/gateway_type.h"
#include "gateway/leafs/leaf_selector.h"
#include "gateway/store/store_type.h"

namespace corianderrail::edge {

/** Values of all metrics at one moment. */
struct edge_metrics_snapshot {
  gateway::gateway_counters core;    ///< Requests and decisions.
  gateway::answer_stats answers;     ///< Latencies of answers.
  std::uint64_t open_exchanges = 0;  ///< Client requests not answered yet.
  std::uint64_t open_calls = 0;      ///< Requests to leafs in flight.
  std::uint64_t known_leafs = 0;     ///< Leafs in the registry.
  std::uint64_t cold_leafs = 0;      ///< Leafs with a limited rate.
  std::uint64_t version = 0;         ///< Version of the configuration in force.
  std::uint64_t evacuated_zones = 0;         ///< Zones whose leafs get nothing.
  gateway::exclusion_counts exclusions{};    ///< Candidates that were excluded.
  http_server_counters clients;              ///< Connections of clients.
  leaf_pool_counters leafs;                  ///< Connections to leafs.
  peer_link_counters peers;                  ///< Datagrams between hosts.
  std::uint64_t members = 0;                 ///< Hosts known.
  gateway::store_read_counts store_calls{};  ///< Reads from the store.
  std::uint64_t relay_calls = 0;             ///< Reads from other hosts.
  gateway::store_failure_counts store_failures{};  ///< From either source.
  std::uint64_t store_revision = 0;  ///< All changes up to it were read.
  duration items_age{};  ///< Since the store last confirmed the items.
  std::uint64_t log_lines_dropped = 0;  ///< Log lines that were not written.
  std::uint64_t handler_failures = 0;   ///< Handlers that threw.
  std::uint64_t differing_leafs = 0;    ///< Of unusual performance.
  bool ready = false;                   ///< This host accepts clients.
};

/** Text exposition format of Prometheus. */
std::string MetricsText(const edge_metrics_snapshot& from);

}  // namespace corianderrail::edge
