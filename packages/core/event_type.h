/** @file event_type.h Everything that can happen to a host. */

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
  call_id call{};         ///< Where the answer goes.
  query_request request;  ///< The query.
};

/** A caller wants order identifiers. */
struct caller_order_id_event {
  call_id call{};           ///< Where the answer goes.
  std::string request_id;   ///< Caller's own identifier, echoed back.
  std::string customer;     ///< Customer name.
  std::uint32_t count = 1;  ///< Identifiers wanted.
};

/** A caller sent an order. */
struct caller_order_event {
  call_id call{};         ///< Where the answer goes.
  order_request request;  ///< The order.
};

/** A caller asks where an order stands. */
struct caller_order_status_event {
  call_id call{};          ///< Where the answer goes.
  std::string request_id;  ///< Caller's own identifier, echoed back.
  order_id id;             ///< The order.
};

/** A caller asks which addresses to use. */
struct caller_address_event {
  call_id call{};        ///< Where the answer goes.
  std::string customer;  ///< Customer name.
  std::string zone;      ///< Caller's zone; may be empty.
};

/** A caller closed its connection. */
struct caller_gone_event {
  call_id call{};  ///< The call that nobody waits for.
};

/** A message from another host; authentication was checked. */
struct peer_event {
  peer_message message;  ///< The message.
};

/** A leaf replied; the reply matched its request. */
struct leaf_reply_event {
  leaf_call_id call{};  ///< The request.
  leaf_reply reply;     ///< The reply.
};

/** A request to a leaf failed. */
struct leaf_failure_event {
  leaf_call_id call{};     ///< The request.
  leaf_failure failure{};  ///< Why.
};

/** Number of open, usable connections to a leaf changed. */
struct leaf_connections_event {
  leaf_id leaf{};          ///< The leaf.
  std::uint32_t open = 0;  ///< Connections open now.
};

/** Answer to a read_config_effect. */
struct config_value_event {
  std::string key;            ///< Key read.
  bool reachable = false;     ///< False: service down; the rest is empty.
  bool found = false;         ///< False: the key has no value.
  std::uint64_t version = 0;  ///< Version of the value in the service.
  std::string bytes;          ///< The value.
};

/** One line of the platform's host list. */
struct host_list_entry {
  std::string address;   ///< Peer address of a host, or address of a leaf.
  bool leaving = false;  ///< Marked as leaving.
};

/** The platform's host list was read. */
struct host_list_event {
  bool reachable = false;                ///< False: the list could not be read.
  std::vector<host_list_entry> entries;  ///< Live and leaving.
};

/** Time passed. */
struct tick_event {};

/** The process was asked to stop; a second one means at once. */
struct stop_event {};

using event =
    std::variant<caller_query_event, caller_order_id_event, caller_order_event,
                 caller_order_status_event, caller_address_event,
                 caller_gone_event, peer_event, leaf_reply_event,
                 leaf_failure_event, leaf_connections_event, config_value_event,
                 host_list_event, tick_event, stop_event>;

}  // namespace corianderrail
