/** @file gateway_type.h Events and effects of the gateway. */

#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/id_type.h"
#include "core/peer_message_type.h"
#include "core/time_type.h"
#include "gateway/leafs/connection_share.h"
#include "gateway/leafs/evacuation.h"
#include "gateway/leafs/permit_order.h"
#include "gateway/leafs/registry_type.h"
#include "gateway/message_type.h"
#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

/** A complete client request was received. */
struct request_event {
  exchange_id exchange{};      ///< Repeated in the answer_effect.
  client_request_ptr request;  ///< Never null.
};

/** A client closed its connection before its answer. */
struct client_disconnected_event {
  exchange_id exchange{};  ///< The abandoned request.
};

/** A leaf answered a request. */
struct leaf_answer_event {
  leaf_call call{};    ///< From send_leaf_effect.
  leaf_answer answer;  ///< Already checked to answer this request.
};

/** A request to a leaf ended without an answer. */
struct leaf_failure_event {
  leaf_call call{};        ///< From send_leaf_effect.
  leaf_failure failure{};  ///< Also whether bytes may have been sent.
};

/** Result of a connect_leaf_effect. */
struct leaf_connected_event {
  leaf_handle leaf{};  ///< From connect_leaf_effect.
  bool open = false;   ///< False when connecting was refused or timed out.
};

/** A configuration was loaded; ignored unless its version is newer. */
struct config_event {
  std::shared_ptr<const routing_config> config;  ///< Never null.
};

/** Changes of the leaf registry. */
struct registry_event {
  std::vector<registry_change> changes;  ///< Ordered by revision.
  bool complete = true;    ///< False while the first listing is incomplete.
  registry_timing timing;  ///< When the changes were made.
};

/** Evacuations of zones began or ended. */
struct evacuation_event {
  std::vector<evacuation_change> changes;  ///< Ordered by revision.
};

/** Whether the first configuration and registry can be read now. */
struct startup_event {
  bool delayed = false;  ///< Neither the store nor a peer has answered.
};

/** The size of the fleet changed. */
struct fleet_event {
  std::uint32_t hosts = 1;    ///< Upper estimate of hosts that share a limit.
  std::uint32_t entries = 1;  ///< Number of hosts that take clients.
  bool is_entry = true;       ///< Whether this host takes clients.
  fleet_size own_region;      ///< Fleet seen by a leaf in this host's region.
  fleet_size other_regions;   ///< Fleet seen by a leaf elsewhere, on average.
  std::vector<zone_host> zone_hosts = {};  ///< Hosts of this host's zone.
};

/** Another host sent figures about leafs. */
struct leaf_figures_event {
  host_id from{};                    ///< Sender, by its signature.
  std::vector<leaf_figure> figures;  ///< At most kMaxLeafFigures.
};

/** Figures for other hosts are due. */
struct report_event {};

/** Reloadable settings changed. */
struct settings_event {
  double repeat_ratio = 0;  ///< Repeats allowed per first request.
  double repeat_slack = 0;  ///< Additional repeats of the fleet per window.
  duration leaf_drain{};    ///< How long a leaving leaf serves.
};

/** A planned stop of this host was requested. */
struct leaving_event {
  time_point finish_at{};  ///< Open requests are answered then at the latest.
};

/** This host is about to exit; new requests are refused from now on. */
struct stop_event {
  bool finish = false;  ///< Also answers the open requests with what there is.
};

/** The time returned by NextWake() was reached. */
struct wake_event {};

using event =
    std::variant<request_event, client_disconnected_event, leaf_answer_event,
                 leaf_failure_event, leaf_connected_event, config_event,
                 registry_event, startup_event, fleet_event, settings_event,
                 leaving_event, evacuation_event, stop_event, wake_event,
                 leaf_figures_event, report_event>;

/** Sends a request to a leaf. */
struct send_leaf_effect {
  leaf_call call{};            ///< Identifies the resulting event.
  leaf_handle leaf{};          ///< Receiving leaf.
  std::string address;         ///< IP address and port.
  std::string instance;        ///< The only leaf that may run the request.
  client_request_ptr request;  ///< Client request to forward.
  duration remaining_time{};   ///< The leaf stops working after this.
  bool idempotent = false;     ///< A possibly stale connection may be reused.
  std::uint32_t connections = 1;  ///< Maximum connections to this leaf.
  bool keep_idle = true;  ///< The connection may stay open after the answer.
  time_point send_before = kNever;  ///< See stop_sending_effect.
};

/** Cancels a leaf request; no event follows. */
struct cancel_leaf_effect {
  leaf_call call{};  ///< From send_leaf_effect.
};

/** Opens a connection to a leaf unless an idle one exists. */
struct connect_leaf_effect {
  leaf_handle leaf{};   ///< Identifies the leaf_connected_event.
  std::string address;  ///< IP address and port.
};

/** Closes the connections to a leaf as soon as they are idle. */
struct disconnect_leaf_effect {
  leaf_handle leaf{};  ///< This handle is not used again.
};

/** From a time on, sends no request to a leaf: those that still wait for a
 *  connection fail as withdrawn. */
struct stop_sending_effect {
  leaf_handle leaf{};        ///< A leaf that leaves or is evacuated.
  time_point send_before{};  ///< No request is sent from this time on.
};

/** Withdraws a request that still waits for a connection: it fails as
 *  withdrawn. A request of which bytes were sent continues. */
struct withdraw_call_effect {
  leaf_call call{};  ///< From send_leaf_effect.
};

/** Sends figures about leafs to some other hosts. */
struct send_figures_effect {
  std::vector<leaf_figure> figures;  ///< Not empty.
};

/** Answers a client. */
struct answer_effect {
  exchange_id exchange{};  ///< From request_event.
  client_answer answer;    ///< Forwarded, gathered or refused.
};

/** Kinds of decisions that are logged. */
enum class decision : std::uint8_t {
  refused,           ///< This host answered in place of a leaf.
  partial,           ///< A gathered answer has missing parts.
  late,              ///< An answer missed the latency objective.
  abandoned,         ///< The client disconnected before its answer.
  repeated,          ///< A request was sent to another leaf.
  repeat_denied,     ///< The repeat budget was exhausted.
  leaf_suspected,    ///< A leaf was ejected or replaced.
  leaf_restored,     ///< An ejected leaf was readmitted.
  leaf_limited,      ///< A leaf has a queue and got a concurrency limit.
  leaf_listed,       ///< The registry added or changed a leaf.
  leaf_delisted,     ///< The registry removed a leaf, or it is draining.
  leaf_leaving,      ///< A leaf stated in an answer that it will stop.
  leaf_speed,        ///< A leaf differs from the usual, or no longer.
  config_in_force,   ///< A newer configuration became active.
  zone_evacuated,    ///< The evacuation of a zone began.
  zone_restored,     ///< The evacuation of a zone ended.
  leaf_cold,         ///< The rate of a leaf is limited from now on.
  leaf_warm,         ///< The rate of a leaf is no longer limited.
  connection_ended,  ///< A connection held too much or made no progress.
};
inline constexpr std::size_t kDecisions = 19;

/** One value that a decision was based on. */
struct decision_input {
  std::string_view name;  ///< String literal; includes the unit, if any.
  std::string value;      ///< Formatted value.
};

/** Logs one decision. */
struct log_effect {
  decision kind{};      ///< Kind of the decision.
  std::string subject;  ///< Attempt, leaf instance or registry key, or version.
  std::vector<decision_input> inputs;  ///< Values that led to it.
};

using effect = std::variant<send_leaf_effect, cancel_leaf_effect,
                            connect_leaf_effect, disconnect_leaf_effect,
                            stop_sending_effect, withdraw_call_effect,
                            answer_effect, log_effect, send_figures_effect>;
using effect_list = std::vector<effect>;

/** Why a request is sent to a leaf. */
enum class send_cause : std::uint8_t { first, hedge, retry };
inline constexpr std::size_t kSendCauses = 3;

/** Distance of a leaf from this host. */
enum class leaf_distance : std::uint8_t { zone, region, other };
inline constexpr std::size_t kLeafDistances = 3;

/** Requests to leafs by cause and distance. */
using send_counts =
    std::array<std::array<std::uint64_t, kLeafDistances>, kSendCauses>;

/** Monotonic counters of the gateway. */
struct gateway_counters {
  std::uint64_t requests = 0;        ///< Client requests received.
  std::uint64_t forwarded = 0;       ///< Answers of a single leaf.
  std::uint64_t gathered = 0;        ///< Gathered answers.
  std::uint64_t partial = 0;         ///< Gathered answers with missing parts.
  std::uint64_t late = 0;            ///< Answers that missed the objective.
  std::uint64_t abandoned = 0;       ///< Requests whose client disconnected.
  std::uint64_t leaf_requests = 0;   ///< Requests sent to leafs.
  send_counts sends{};               ///< The same by cause and distance.
  std::uint64_t hedges = 0;          ///< Repeats of late requests.
  std::uint64_t retries = 0;         ///< Repeats of failed requests.
  std::uint64_t repeats_denied = 0;  ///< Repeats denied by the budget.
  std::uint64_t leaf_sheds =
      0;  ///< Answers of leafs that did not run the request.
  std::uint64_t leaf_failures = 0;  ///< Failed leaf requests.
  std::uint64_t withdrawn = 0;      ///< Leaf requests withdrawn before sending.
  std::uint64_t arrived_outside_homes =
      0;  ///< Requests whose home regions do not include this host's.
  std::uint64_t queued = 0;            ///< Parts that were queued.
  std::uint64_t cold_requests = 0;     ///< Requests sent to cold leafs.
  std::uint64_t permit_skips = 0;      ///< Choices without a permit for a leaf.
  std::uint64_t refused_late = 0;      ///< Could not be answered in time.
  std::uint64_t refused_for_rank = 0;  ///< A more urgent rank was refused.
  std::uint64_t returned = 0;          ///< Requests of returning clients.
  std::uint64_t returned_refused = 0;  ///< Of these, refused on arrival.
  std::uint64_t late_parts_held = 0;   ///< Late parts kept from free leafs.
  std::uint64_t figures_received = 0;  ///< About leafs, from hosts.
  std::uint64_t figures_sent = 0;      ///< Once for all receivers.
  std::uint64_t shared_choices = 0;    ///< Made with such figures.
  std::uint64_t refused[kRefusalCauses] = {};  ///< By refusal_cause.
};

}  // namespace corianderrail::gateway
