/** @file effect_type.h Outputs of the host reducer, executed by the I/O layer.
 */

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
  call_id call{};  ///< Request that is answered.
  query_answer answer;
};

/** Refuses a caller's request of any kind. */
struct refuse_effect {
  call_id call{};  ///< Request that is refused.
  refusal reason;
};

/** Answers an order or a status request for one. */
struct answer_order_effect {
  call_id call{};  ///< Request that is answered.
  order_status status;
};

/** Answers a request for order identifiers. */
struct answer_order_ids_effect {
  call_id call{};             ///< Request that is answered.
  std::string request_id;     ///< Caller's own identifier, echoed back.
  std::vector<order_id> ids;  ///< Newly issued identifiers.
};

/** Address of an entry host that a caller may use. */
struct entry_address {
  std::string address;  ///< IP number and port.
  std::string zone;     ///< Availability zone.
};

/** Answers an address request. */
struct answer_addresses_effect {
  call_id call{};                        ///< Request that is answered.
  std::vector<entry_address> addresses;  ///< Best first.
  duration time_to_live{};               ///< Validity of the addresses.
  revision_id revision{};                ///< Contract revision in force.
};

/** Sends a message to another host. The message may be lost. */
struct send_peer_effect {
  host_id to{};                     ///< Receiver.
  std::string address;              ///< Peer address of the receiver.
  incarnation_id to_incarnation{};  ///< Receiver's incarnation; 0: any.
  peer_body body;                   ///< Envelope() adds the other fields.
};

/** Sends a request to a leaf on a connection that is already open. */
struct send_leaf_effect {
  leaf_call_id call{};  ///< Identifies the reply or failure.
  leaf_id leaf{};       ///< Receiver.
  leaf_request request;
};

/** Cancels a request to a leaf. A reply may still arrive. */
struct cancel_leaf_effect {
  leaf_call_id call{};  ///< Request to cancel.
  leaf_id leaf{};       ///< Receiver.
};

/** Sets how many connections the I/O layer keeps open to a leaf. */
struct set_connections_effect {
  leaf_id leaf{};
  std::string address;       ///< Address of the leaf.
  std::uint32_t target = 0;  ///< Number of connections; 0 closes all.
};

/** Reads a key of the configuration service. With `after`, waits for a newer
 *  version. */
struct read_config_effect {
  std::string key;
  std::uint64_t after = 0;  ///< Version already known; 0: answer at once.
  duration wait{};          ///< Time limit of the wait.
};

/** Reads the platform's host list. */
struct read_host_list_effect {};

/** Appends to the audit trail. */
struct audit_effect {
  audit_entry entry;
};

/** Writes a log line about a change of state. */
struct log_effect {
  std::string text;  ///< One line without a line break.
};

/** The host has stopped; the process may exit. */
struct stopped_effect {};

using effect =
    std::variant<answer_query_effect, refuse_effect, answer_order_effect,
                 answer_order_ids_effect, answer_addresses_effect,
                 send_peer_effect, send_leaf_effect, cancel_leaf_effect,
                 set_connections_effect, read_config_effect,
                 read_host_list_effect, audit_effect, log_effect,
                 stopped_effect>;

/** Effects in the order in which they must be executed. */
using effect_list = std::vector<effect>;

}  // namespace corianderrail
