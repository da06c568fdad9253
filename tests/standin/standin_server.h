/** @file standin_server.h HTTP server of the stand-ins, based on cxxtools. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wire/leaf_codec.h"

namespace corianderrail {

/** A request to a stand-in. */
struct standin_request {
  std::uint16_t port = 0;   ///< Local port that received the request.
  std::string method;       ///< HTTP method, such as GET.
  std::string path;         ///< Path of the URL, without parameters.
  header_lookup parameter;  ///< Looks up a URL parameter.
  header_lookup header;     ///< Looks up a header.
  std::string body;         ///< Content of the request.

  /** URL parameter as a number; `absent` when there is none. */
  std::uint64_t Number(const char* name, std::uint64_t absent) const;
};

/** Reply of a stand-in. */
struct standin_reply {
  unsigned code = 200;               ///< HTTP status code.
  std::vector<http_header> headers;  ///< A fault may make these wrong.
  std::string body;                  ///< Content of the reply.
};

/** Serves HTTP on several ports of 127.0.0.1 with one handler. */
class standin_server {
 public:
  using handler = std::function<standin_reply(const standin_request&)>;

  standin_server(const std::vector<std::uint16_t>& ports, unsigned threads,
                 handler handle);
  ~standin_server();
  standin_server(const standin_server&) = delete;
  standin_server& operator=(const standin_server&) = delete;

  /** Serves until SIGTERM or SIGINT, then exits the process. */
  void Run();

  /** Serves in a separate thread until destruction. */
  void Start();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
