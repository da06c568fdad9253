/** @file gateway_type.h Events and effects of the gateway. */

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gateway/connection_share.h"
#include "gateway/message_type.h"
#include "gateway/registry_type.h"
#include "gateway/routing_type.h"

namespace corianderrail::gateway {

/** A client sent a whole request. */
struct request_event {
  exchange_id exchange{};      ///< Where the answer goes.
  client_request_ptr request;  ///< The request.
};

/** A client closed its connection before it was answered. */
struct client_disconnected_event {
  exchange_id exchange{};  ///< The request that nobody waits for.
};

/** A leaf answered; the answer matched its request. */
struct leaf_answer_event {
  leaf_call call{};    ///< The request.
  leaf_answer answer;  ///< The answer.
};

/** A request to a leaf ended without an answer. */
struct leaf_failure_event {
  leaf_call call{};        ///< The request.
  leaf_failure failure{};  ///< Why.
};

/** A connection that was asked for by connect_leaf_effect. */
struct leaf_connected_event {
  leaf_handle leaf{};  ///< The leaf.
  bool open = false;   ///< False: refused, or no answer in time.
};

/** A newer configuration. */
struct config_event {
  std::shared_ptr<const routing_config> config;  ///< Never null.
};

/** Changes of the registry, in order. */
struct registry_event {
  std::vector<registry_change> changes;  ///< In order of revision.
  bool complete = true;                  ///< With these, all leafs are known.
};

/** The number of hosts changed. */
struct fleet_event {
  std::uint32_t hosts = 1;    ///< Most hosts that may share a bound.
  std::uint32_t entries = 1;  ///< Hosts that take clients.
  bool is_entry = true;       ///< This host is one of them.
  fleet_size own_region;      ///< Seen from a leaf in this host's region.
  fleet_size other_regions;   ///< Seen from a leaf elsewhere, on average.
};

/** Bounds from the settings changed. */
struct settings_event {
  double repeat_ratio = 0;  ///< Repeats for each first request.
  double repeat_slack = 0;  ///< Repeats a window of the fleet.
  duration last_resort{};   ///< Time in which leafs that leave get work.
};

/** Time passed. */
struct wake_event {};

using event =
    std::variant<request_event, client_disconnected_event, leaf_answer_event,
                 leaf_failure_event, leaf_connected_event, config_event,
                 registry_event, fleet_event, settings_event, wake_event>;

/** Sends a request to a leaf. */
struct send_leaf_effect {
  leaf_call call{};               ///< Matches the answer.
  leaf_handle leaf{};             ///< Receiver.
  std::string address;            ///< Its address.
  std::string instance;           ///< Leaf that must run it.
  client_request_ptr request;     ///< What to forward.
  duration remaining_time{};      ///< The leaf stops work after this.
  bool idempotent = false;        ///< May use a connection that may be stale.
  std::uint32_t connections = 1;  ///< Most connections to this leaf.
};

/** Ends a request to a leaf; no event follows. */
struct cancel_leaf_effect {
  leaf_call call{};  ///< The request.
};

/** Opens a connection to a leaf unless one is idle. */
struct connect_leaf_effect {
  leaf_handle leaf{};   ///< The leaf.
  std::string address;  ///< Its address.
};

/** Closes all connections to a leaf that are idle, others once idle. */
struct forget_leaf_effect {
  leaf_handle leaf{};  ///< The leaf.
};

/** Answers a client. */
struct answer_effect {
  exchange_id exchange{};  ///< The request.
  client_answer answer;    ///< The answer.
};

/** Kinds of decisions that are logged. */
enum class decision : std::uint8_t {
  refused,          ///< A host answered in place of a leaf.
  partial,          ///< A gathered answer lacks parts.
  late,             ///< An answer after the objective.
  abandoned,        ///< The client left before its answer.
  repeated,         ///< A request went to a second leaf.
  repeat_denied,    ///< It did not, because the budget was spent.
  leaf_suspected,   ///< A leaf gets no work for a while.
  leaf_restored,    ///< A leaf gets work again.
  leaf_limited,     ///< A leaf has a queue; this host sends it less.
  leaf_listed,      ///< The registry added or changed a leaf.
  leaf_delisted,    ///< The registry removed a leaf, or it is leaving.
  config_in_force,  ///< A newer configuration is in force.
};
inline constexpr std::size_t kDecisions = 12;

/** One input of a decision. */
struct decision_input {
  std::string_view name;  ///< A literal.
  std::string value;      ///< With its unit in the name.
};

/** One decision, for the log. */
struct log_effect {
  decision kind{};                     ///< What was decided.
  std::string subject;                 ///< Attempt, leaf or version.
  std::vector<decision_input> inputs;  ///< What decided it.
};

using effect =
    std::variant<send_leaf_effect, cancel_leaf_effect, connect_leaf_effect,
                 forget_leaf_effect, answer_effect, log_effect>;
using effect_list = std::vector<effect>;

/** Counters of the gateway, all rising. */
struct gateway_counters {
  std::uint64_t requests = 0;        ///< Whole requests of clients.
  std::uint64_t forwarded = 0;       ///< Answers of one leaf passed on.
  std::uint64_t gathered = 0;        ///< Gathered answers.
  std::uint64_t partial = 0;         ///< Of these, with missing parts.
  std::uint64_t late = 0;            ///< Answers after the objective.
  std::uint64_t abandoned = 0;       ///< Clients that left.
  std::uint64_t leaf_requests = 0;   ///< Requests to leafs.
  std::uint64_t hedges = 0;          ///< Of these, because one was late.
  std::uint64_t retries = 0;         ///< Of these, because one failed.
  std::uint64_t repeats_denied = 0;  ///< Repeats without budget.
  std::uint64_t leaf_sheds = 0;      ///< Leafs that were full.
  std::uint64_t leaf_failures = 0;   ///< Requests to leafs that failed.
  std::uint64_t queued = 0;          ///< Requests that waited for room.
  std::uint64_t refused[kRefusalCauses] = {};  ///< By refusal_cause.
};

}  // namespace corianderrail::gateway
