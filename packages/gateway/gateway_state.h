/** @file gateway_state.h Private state of the gateway. */

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/admission/part_queue.h"
#include "gateway/gateway.h"

namespace corianderrail::gateway {

/** One shard of a gathered query, or a whole plain request. */
struct gateway::part {
  /** Progress of a part; indexes the names in MissingParts(). */
  enum class phase : std::uint8_t { unsent, waiting, open, answered, failed };

  std::shared_ptr<service_state> service;  ///< Service whose leafs may run it.
  phase state = phase::unsent;
  std::vector<leaf_handle> asked;  ///< Receivers of the part, latest last.
  std::uint32_t open = 0;          ///< Number of its leaf requests in flight.
  time_point hedge_at = kNever;    ///< When to hedge; kNever for no hedge.
  bool queued_late = false;  ///< Queued behind the parts that are on time.
  leaf_answer answer;        ///< Valid in phase::answered.
};

/** A client request that has not been answered yet. */
struct gateway::exchange {
  exchange_id id{};
  client_request_ptr request;
  std::shared_ptr<const routing_config> config;  ///< Keeps `matched` alive.
  const route* matched = nullptr;  ///< Null until the configuration is known.
  residency homes;                 ///< Regions in which it may run.
  std::shared_ptr<route_stats> stats;  ///< Latencies of its route.
  std::uint64_t arrival = 0;           ///< Sequence number of arrival.
  time_point arrived{};
  time_point objective_at{};
  time_point deadline{};
  std::vector<part> parts;
  std::vector<leaf_call> calls;        ///< In flight.
  request_estimate estimate;           ///< At arrival; logged.
  admission_outcome admission{};       ///< Decision on arrival; logged.
  bool returned = false;               ///< Its client returns after a refusal.
  bool may_have_run = false;           ///< A leaf may have started to run it.
  std::optional<leaf_answer> failure;  ///< Latest error that may be forwarded.

  bool Idempotent() const {
    return matched != nullptr && matched->kind == repeatability::idempotent;
  }
};

/** A leaf request that has not been answered yet. */
struct gateway::open_request {
  std::uint64_t exchange = 0;  ///< The exchange may have ended already.
  std::size_t part = 0;
  leaf_handle leaf{};
  time_point sent{};
  std::shared_ptr<route_stats> stats;
  std::shared_ptr<service_state> service;
};

/** State of a service; survives configuration changes. */
struct gateway::service_state {
  service_state(std::string given, const repeat_settings& repeats)
      : name(std::move(given)), budget(repeats) {}

  std::string name;
  std::uint32_t max_connections = 0;
  repeat_budget budget;
  part_queue queue;    ///< Parts that wait for a leaf with capacity.
  rank_shares shares;  ///< Of the requests that arrived.
};

}  // namespace corianderrail::gateway
