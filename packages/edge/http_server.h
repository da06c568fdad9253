/** @file http_server.h HTTP/1.1 server on one address. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "edge/connection_end.h"
#include "edge/socket_state.h"
#include "gateway/admission/byte_budget.h"
#include "gateway/message_type.h"
#include "gateway/routing/routing_type.h"

namespace corianderrail::edge {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/** Identifies an open request of one http_server. */
enum class request_id : std::uint64_t {};

/** Answer to one request. */
struct http_reply {
  int status = 200;                           ///< HTTP status.
  std::vector<gateway::header_field> fields;  ///< End-to-end fields.
  std::string body;                           ///< Empty for none.
};

/** State of a connection when its request arrived. */
struct client_connection {
  std::optional<duration>
      round_trip;       ///< Empty if the system does not know it.
  bool is_new = false;  ///< The request is its first one.
};

/** Counters of a server; all but `open` only increase. */
struct http_server_counters {
  std::uint64_t accepted = 0;         ///< Connections, rejected ones included.
  std::uint64_t rejected = 0;         ///< Connections closed at the limit.
  std::uint64_t accept_failures = 0;  ///< No descriptor or memory.
  std::uint64_t malformed = 0;        ///< Requests: invalid HTTP or too large.
  std::uint64_t open = 0;             ///< Connections open now.
  held_counters answers;              ///< That clients have not read.
  held_counters requests;             ///< Incomplete ones.
};

/** Callbacks of a server, all on the thread of its io_context. */
struct http_handler {
  /** A complete request arrived; answer it with Reply(). */
  std::function<void(request_id, http_request&&)> on_request;
  /** The client closed its connection before the answer. */
  std::function<void(request_id)> on_disconnect;
  /** A connection was ended for what it held, or as it made no progress. */
  connection_end_sink on_end = {};
};

/**
 * Accepts connections and serves one request at a time on each. A request with
 * invalid or ambiguous framing is refused and its connection closed, so that
 * the bytes after it are never parsed as another request.
 */
class http_server {
 public:
  /**
   * @param max_connections Further connections are closed at once.
   * @throws boost::system::system_error when the address cannot be bound.
   */
  http_server(boost::asio::io_context& io, const std::string& address,
              std::size_t max_connections, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** Connection of an open request; empty when it is closed. */
  std::optional<client_connection> ConnectionOf(request_id request) const;

  /** Answers a request; does nothing when its connection is closed. */
  void Reply(request_id request, const http_reply& reply);

  /** Sets size and time limits. They hold at once for each request whose head
   * is not complete yet, also on connections that are open already. */
  void SetLimits(const gateway::client_limits& limits);

  /** Bounds what is held for clients that read and send slowly. */
  void SetBounds(const gateway::byte_bounds& answers,
                 const gateway::byte_bounds& requests);

  /** From now on the connection is closed after each answer. */
  void StartDraining();

  /** Closes connections that have exceeded a time limit, and counts what the
   *  others hold. */
  void Sweep();

  http_server_counters Counters() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderrail::edge
