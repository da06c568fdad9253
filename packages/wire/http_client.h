/** @file http_client.h Blocking HTTP requests with bounds. */

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wire/leaf_codec.h"

namespace corianderrail {

/** An IP address with a port. */
struct ip_endpoint {
  std::string ip;          ///< IP number.
  std::uint16_t port = 0;  ///< Port.
};

/** Splits `ip:port`; @throws wire_error when it is something else. */
ip_endpoint ParseIpEndpoint(std::string_view text);

/** A request that waits for its reply. */
struct http_request {
  std::string method = "GET";               ///< HTTP method.
  std::string path;                         ///< Path without parameters.
  std::string parameters;                   ///< Text after the question mark.
  std::vector<http_header> headers;         ///< Further headers.
  std::string body;                         ///< Body; may be empty.
  std::chrono::milliseconds timeout{1000};  ///< For each read and the connect.
  std::size_t body_limit = 8u << 20;        ///< Largest reply body taken.
};

/** A reply. */
struct http_reply {
  unsigned code = 0;                 ///< HTTP status code.
  std::string body;                  ///< Body.
  std::vector<http_header> headers;  ///< Headers as received.

  /** Value of a header, or nothing. */
  std::optional<std::string> Header(std::string_view name) const;
};

/** One connection; it is opened when needed and closed after an error. */
class http_connection {
 public:
  explicit http_connection(const std::string& address);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /** @throws wire_error when there is no whole reply in time. */
  http_reply Execute(const http_request& request);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
