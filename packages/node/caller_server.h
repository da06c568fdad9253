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

/** What the service needs from the host. All are called by many threads. */
struct caller_backend {
  std::function<void(event)> post;            ///< Queues an event.
  std::function<host_phase()> phase;          ///< Phase of the host.
  std::function<std::string()> status_json;   ///< Body of GET /v1/status.
  std::function<std::string()> audit_json;    ///< Body of GET /v1/audit.
  std::function<std::string()> metrics_text;  ///< Body of GET /metrics.
  std::function<void(duration)> on_answer;    ///< Time of an answered query.
  call_table* calls = nullptr;                ///< Calls that wait.
};

/** Serves callers in its own threads. */
class caller_server {
 public:
  /**
   * Listens; callers are served from Start() on.
   * @param threads Calls that may wait at the same time.
   * @throws wire_error when the address cannot be listened on.
   */
  caller_server(const std::string& address, std::uint32_t threads,
                caller_backend backend);

  void Start();

  /** Ends after the replies in progress were written. */
  ~caller_server();
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /** Calls refused because too many wait. */
  std::uint64_t RefusedCalls() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
