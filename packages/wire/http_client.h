/** @file http_client.h Blocking HTTP client with time and size limits. */

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

/** An IP address and a port. */
struct ip_endpoint {
  std::string ip;  ///< Not validated; IPv6 keeps its brackets.
  std::uint16_t port = 0;
};

/** Parses `ip:port`; @throws wire_error when the text has another form. */
ip_endpoint ParseIpEndpoint(std::string_view text);

/** A request of http_connection. */
struct http_request {
  std::string method = "GET";
  std::string path;                  ///< Path without query string.
  std::string parameters;            ///< Query string without question mark.
  std::vector<http_header> headers;  ///< Additional headers.
  std::string body;                  ///< Empty when there is none.
  std::chrono::milliseconds timeout{1000};  ///< For connect and each read.
  std::size_t body_limit = 8u << 20;        ///< Maximum size of the reply body.
};

/** A reply to an http_request. */
struct http_reply {
  unsigned code = 0;  ///< HTTP status code.
  std::string body;
  std::vector<http_header> headers;  ///< Headers as received.

  /** Value of a header, whose name may differ in case; or std::nullopt. */
  std::optional<std::string> Header(std::string_view name) const;
};

/** One connection; opened when it is needed and closed after an error. */
class http_connection {
 public:
  explicit http_connection(const std::string& address);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /**
   * Sends a request and waits for the reply.
   * @throws wire_error when no complete reply arrives in time, or when it is
   *     larger than the body limit.
   */
  http_reply Execute(const http_request& request);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
