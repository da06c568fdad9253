/** @file standin_server.h HTTP server of the stand-ins, by cxxtools. */

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
  std::uint16_t port = 0;   ///< Port that it came to.
  std::string method;       ///< HTTP method.
  std::string path;         ///< Path.
  header_lookup parameter;  ///< Looks up a parameter of the URL.
  header_lookup header;     ///< Headers.
  std::string body;         ///< Body.

  /** Parameter as a number, or `absent`. */
  std::uint64_t Number(const char* name, std::uint64_t absent) const;
};

/** Reply of a stand-in. */
struct standin_reply {
  unsigned code = 200;               ///< HTTP status code.
  std::vector<http_header> headers;  ///< May contradict the body, for faults.
  std::string body;                  ///< Body.
};

/** Listens on many ports of 127.0.0.1 and calls one handler. */
class standin_server {
 public:
  using handler = std::function<standin_reply(const standin_request&)>;

  standin_server(const std::vector<std::uint16_t>& ports, unsigned threads,
                 handler handle);
  ~standin_server();
  standin_server(const standin_server&) = delete;
  standin_server& operator=(const standin_server&) = delete;

  /** Serves until SIGTERM or SIGINT, then ends the process. */
  void Run();

  /** Serves in a thread of its own until the destructor. */
  void Start();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
