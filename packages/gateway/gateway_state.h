/** @file gateway_state.h State of the gateway behind its interface. */

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "gateway/part_queue.h"

namespace corianderrail::gateway {

/** One shard of a gathered query, or the whole of another request. */
struct gateway::part {
  /** Progress of a part. */
  enum class phase : std::uint8_t { unsent, waiting, open, answered, failed };

  std::shared_ptr<service_state> service;  ///< Service that runs it.
  phase state = phase::unsent;
  std::vector<leaf_handle> asked;  ///< Leafs that it was sent to.
  std::uint32_t open = 0;          ///< Requests in flight.
  time_point hedge_at = kNever;    ///< When a second leaf is asked.
  bool queued_late = false;        ///< It waits behind parts that are on time.
  leaf_answer answer;              ///< Set once answered.
};

/** A client's request that is not answered yet. */
struct gateway::exchange {
  exchange_id id{};
  client_request_ptr request;
  std::shared_ptr<const routing_config> config;  ///< Keeps `matched` alive.
  const route* matched = nullptr;                ///< Its route.
  std::shared_ptr<route_stats> stats;            ///< Of its route.
  std::uint64_t arrival = 0;                     ///< Order of arrival.
  time_point arrived{};
  time_point objective_at{};
  time_point deadline{};
  std::vector<part> parts;
  std::vector<leaf_call> calls;        ///< In flight.
  duration expected_wait{};            ///< For room, when it arrived.
  bool may_have_run = false;           ///< A leaf may have begun to work on it.
  std::optional<leaf_answer> failure;  ///< Last failure of a leaf, with proof.

  bool Idempotent() const {
    return matched != nullptr && matched->kind == repeatability::idempotent;
  }
};

/** A request to a leaf that was not answered yet. */
struct gateway::open_request {
  std::uint64_t exchange = 0;  ///< May have been answered already.
  std::size_t part = 0;
  leaf_handle leaf{};
  time_point sent{};
  std::shared_ptr<route_stats> stats;
  std::shared_ptr<service_state> service;
};

/** A service, kept over configurations. */
struct gateway::service_state {
  service_state(std::string given, const repeat_settings& repeats)
      : name(std::move(given)), budget(repeats) {}

  std::string name;
  std::uint32_t max_connections = 0;
  repeat_budget budget;
  part_queue queue;  ///< Parts that wait for room.
};

}  // namespace corianderrail::gateway
