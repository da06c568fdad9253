/** @file event_type.h Inputs of the host reducer. */

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/id_type.h"
#include "core/index_type.h"
#include "core/leaf_type.h"
#include "core/order_type.h"
#include "core/peer_message_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** A caller sent a query. */
struct caller_query_event {
  call_id call{};  ///< Identifies the answer.
  query_request request;
};

/** A caller requested order identifiers. */
struct caller_order_id_event {
  call_id call{};           ///< Identifies the answer.
  std::string request_id;   ///< Caller's own identifier, echoed back.
  std::string customer;     ///< Customer name.
  std::uint32_t count = 1;  ///< Number of identifiers requested.
};

/** A caller sent an order. */
struct caller_order_event {
  call_id call{};  ///< Identifies the answer.
  order_request request;
};

/** A caller requested the status of an order. */
struct caller_order_status_event {
  call_id call{};          ///< Identifies the answer.
  std::string request_id;  ///< Caller's own identifier, echoed back.
  order_id id;
};

/** A caller requested addresses of entry hosts. */
struct caller_address_event {
  call_id call{};        ///< Identifies the answer.
  std::string customer;  ///< Customer name.
  std::string zone;      ///< Caller's availability zone; may be empty.
};

/** A caller closed its connection. */
struct caller_gone_event {
  call_id call{};  ///< Request whose answer is no longer needed.
};

/** An authenticated message from another host. */
struct peer_event {
  peer_message message;
};

/** A leaf replied, and the reply matches its request. */
struct leaf_reply_event {
  leaf_call_id call{};  ///< Request that was answered.
  leaf_reply reply;
};

/** A request to a leaf failed. */
struct leaf_failure_event {
  leaf_call_id call{};  ///< Request that failed.
  leaf_failure failure{};
};

/** The number of usable connections to a leaf changed. */
struct leaf_connections_event {
  leaf_id leaf{};
  std::uint32_t open = 0;  ///< Present number of usable connections.
};

/** Answer to a read_config_effect. */
struct config_value_event {
  std::string key;
  bool reachable = false;     ///< False: no answer; the fields below are unset.
  bool found = false;         ///< False: the key has no value.
  std::uint64_t version = 0;  ///< Version of the value in the service.
  std::string bytes;          ///< The value.
};

/** One entry of the platform's host list. */
struct host_list_entry {
  std::string address;   ///< Peer address of a host, or address of a leaf.
  bool leaving = false;  ///< Marked in the list as leaving.
};

/** The platform's host list was read. */
struct host_list_event {
  bool reachable = false;                ///< False: the list could not be read.
  std::vector<host_list_entry> entries;  ///< Running and leaving processes.
};

/** Time passed; the reducer runs what is due. */
struct tick_event {};

/** The process was asked to stop. A second event requests an immediate stop. */
struct stop_event {};

using event =
    std::variant<caller_query_event, caller_order_id_event, caller_order_event,
                 caller_order_status_event, caller_address_event,
                 caller_gone_event, peer_event, leaf_reply_event,
                 leaf_failure_event, leaf_connections_event, config_value_event,
                 host_list_event, tick_event, stop_event>;

}  // namespace corianderrail
