/** @file caller_server.h HTTP service for callers and operators. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/event_type.h"
#include "core/lifecycle.h"
#include "node/call_table.h"

namespace corianderrail {

/** Functions of the host that the server needs; called from many threads. */
struct caller_backend {
  std::function<void(event)> post;            ///< Queues an event.
  std::function<host_phase()> phase;          ///< Present phase of the host.
  std::function<std::string()> status_json;   ///< Body of GET /v1/status.
  std::function<std::string()> audit_json;    ///< Body of GET /v1/audit.
  std::function<std::string()> metrics_text;  ///< Body of GET /metrics.
  std::function<void(duration)> on_answer;    ///< Gets each answer's duration.
  call_table* calls = nullptr;  ///< Open calls; set before use, not owned.
};

/** HTTP server for callers and operators, with a thread pool of its own. */
class caller_server {
 public:
  /**
   * Binds the address; requests are served from Start() on.
   * @param threads Largest number of calls that wait for an outcome.
   * @throws wire_error when the address cannot be listened on.
   */
  caller_server(const std::string& address, std::uint32_t threads,
                caller_backend backend);

  void Start();

  /** Stops after the replies in progress are written. */
  ~caller_server();
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /** Calls refused since the start because too many were open. */
  std::uint64_t RefusedCalls() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
