/** @file http_server.h HTTP server of one address. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "gateway/message_type.h"
#include "gateway/routing_type.h"

namespace corianderrail::edge {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/** Identifies an open request of an http_port. */
enum class request_id : std::uint64_t {};

/** Answer to one request. */
struct http_reply {
  int status = 200;                           ///< HTTP status.
  std::vector<gateway::header_field> fields;  ///< End-to-end fields.
  std::string body;                           ///< Whole body.
};

/** Counters of a port, all rising except `open`. */
struct http_server_counters {
  std::uint64_t accepted = 0;   ///< Connections.
  std::uint64_t rejected = 0;   ///< Connections beyond the limit.
  std::uint64_t malformed = 0;  ///< Requests that break the protocol.
  std::uint64_t open = 0;       ///< Connections open now.
};

/** Callbacks of a port, all on the thread of its io_context. */
struct http_handler {
  /** A whole request arrived; answer it with Reply(). */
  std::function<void(request_id, http_request&&)> on_request;
  /** The peer closed its connection before the answer. */
  std::function<void(request_id)> on_disconnect;
};

/**
 * Accepts connections and reads one request at a time from each. Framing is
 * strict: whatever does not follow the protocol closes the connection.
 */
class http_server {
 public:
  /** @throws boost::system::system_error when the address cannot be used. */
  http_server(boost::asio::io_context& io, const std::string& address,
              std::size_t max_connections, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** Answers a request; does nothing when its connection is gone. */
  void Reply(request_id request, const http_reply& reply);

  void SetLimits(const gateway::client_limits& limits);

  /** From now on every answer ends its connection. */
  void StartDraining();

  /** Closes connections that exceeded a time limit. */
  void Sweep();

  http_server_counters Counters() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/** "ip:port" as an endpoint. @throws std::invalid_argument. */
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

}  // namespace corianderrail::edge
