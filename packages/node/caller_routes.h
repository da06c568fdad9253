/** @file caller_routes.h Routes and answers HTTP requests of callers. */

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "node/caller_server.h"

namespace corianderrail {

/** An HTTP request of a caller. */
struct caller_request {
  std::string method;      ///< Such as "GET".
  std::string path;        ///< Path without parameters.
  std::string parameters;  ///< Text after the question mark.
  std::string body;        ///< Empty when the request has none.
};

/** The HTTP reply to a caller_request. */
struct caller_reply {
  unsigned code = 200;                    ///< HTTP status code.
  std::string type = "application/json";  ///< Media type.
  std::string body;                       ///< JSON or plain text, see `type`.
};

/** Passes each request to the handler of its path. Safe for several threads. */
class caller_routes {
 public:
  explicit caller_routes(caller_backend backend);

  /** Answers a request; blocks until the reducer returns an outcome or the
   *  time limit has passed. Bad input gives a refusal, not an exception. */
  caller_reply Handle(const caller_request& request);

  /** True while the host drains or has stopped; replies then close their
   *  connection. */
  bool ShouldClose() const;

  /** Calls refused since the start because too many were open. */
  std::uint64_t RefusedCalls() const { return refused_calls_; }

 private:
  using handler = caller_reply (caller_routes::*)(const caller_request&);
  struct route;
  static const route routes[];

  caller_reply Query(const caller_request& request);
  caller_reply Order(const caller_request& request);
  caller_reply OrderIds(const caller_request& request);
  caller_reply OrderStatus(const caller_request& request);
  caller_reply Addresses(const caller_request& request);
  caller_reply Status(const caller_request& request);
  caller_reply Audit(const caller_request& request);
  caller_reply Metrics(const caller_request& request);
  caller_reply Live(const caller_request& request);
  caller_reply Ready(const caller_request& request);

  /** Opens a call, posts the event and waits for the outcome. */
  template <typename Event>
  caller_reply Call(Event event, const std::string& request_id,
                    duration timeout);
  caller_reply MakeReply(const call_outcome& outcome);

  caller_backend backend_;
  std::atomic<std::uint64_t> refused_calls_{0};
};

/** Refusal, as JSON, of a request that did not run. */
caller_reply RefusedReply(unsigned code, refusal_reason reason,
                          const std::string& detail,
                          const std::string& request_id = {});

}  // namespace corianderrail
