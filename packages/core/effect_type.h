/** @file effect_type.h Everything that a host may do to the outside. */

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/audit_type.h"
#include "core/id_type.h"
#include "core/leaf_type.h"
#include "core/order_type.h"
#include "core/peer_message_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** Answers a query. */
struct answer_query_effect {
  call_id call{};       ///< Caller's call.
  query_answer answer;  ///< The answer.
};

/** Refuses any call. */
struct refuse_effect {
  call_id call{};  ///< Caller's call.
  refusal reason;  ///< The refusal.
};

/** Answers an order or a question about one. */
struct answer_order_effect {
  call_id call{};       ///< Caller's call.
  order_status status;  ///< What is known.
};

/** Answers a request for order identifiers. */
struct answer_order_ids_effect {
  call_id call{};             ///< Caller's call.
  std::string request_id;     ///< Echo.
  std::vector<order_id> ids;  ///< Fresh identifiers.
};

/** One address that a caller may use. */
struct entry_address {
  std::string address;  ///< IP number and port.
  std::string zone;     ///< Availability zone.
};

/** Answers an address request. */
struct answer_addresses_effect {
  call_id call{};                        ///< Caller's call.
  std::vector<entry_address> addresses;  ///< Best first.
  duration time_to_live{};               ///< Ask again after this.
  revision_id revision{};                ///< Contract revision in force.
};

/** Sends a message; it may be lost. */
struct send_peer_effect {
  host_id to{};                     ///< Receiver.
  std::string address;              ///< Peer address of the receiver.
  incarnation_id to_incarnation{};  ///< Life addressed; 0 for any.
  peer_body body;                   ///< Content; the host adds the envelope.
};

/** Sends a request to a leaf on a connection that is already open. */
struct send_leaf_effect {
  leaf_call_id call{};   ///< Matches the reply.
  leaf_id leaf{};        ///< Receiver.
  leaf_request request;  ///< The request.
};

/** Tells a leaf that nobody waits for a request; a reply may still come. */
struct cancel_leaf_effect {
  leaf_call_id call{};  ///< The request.
  leaf_id leaf{};       ///< Receiver.
};

/** Sets how many connections the shell keeps open to a leaf. */
struct set_connections_effect {
  leaf_id leaf{};            ///< The leaf.
  std::string address;       ///< Its address.
  std::uint32_t target = 0;  ///< Connections wanted; 0 closes all.
};

/** Reads a key; with `after`, waits for a newer version. */
struct read_config_effect {
  std::string key;          ///< Key to read.
  std::uint64_t after = 0;  ///< Version known; 0 returns at once.
  duration wait{};          ///< Longest wait.
};

/** Reads the platform's host list. */
struct read_host_list_effect {};

/** Appends to the audit trail. */
struct audit_effect {
  audit_entry entry;  ///< The line.
};

/** One change of state worth a log line. */
struct log_effect {
  std::string text;  ///< One line without a line break.
};

/** The host finished; the process may exit. */
struct stopped_effect {};

using effect =
    std::variant<answer_query_effect, refuse_effect, answer_order_effect,
                 answer_order_ids_effect, answer_addresses_effect,
                 send_peer_effect, send_leaf_effect, cancel_leaf_effect,
                 set_connections_effect, read_config_effect,
                 read_host_list_effect, audit_effect, log_effect,
                 stopped_effect>;

/** Effects in the order in which they must be carried out. */
using effect_list = std::vector<effect>;

}  // namespace corianderrail
