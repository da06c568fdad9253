/** @file caller_routes.h Turns HTTP requests of callers into replies. */

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "node/caller_server.h"

namespace corianderrail {

/** A request without its transport. */
struct caller_request {
  std::string method;      ///< HTTP method.
  std::string path;        ///< Path without parameters.
  std::string parameters;  ///< Text after the question mark.
  std::string body;        ///< Body.
};

/** A reply without its transport. */
struct caller_reply {
  unsigned code = 200;                    ///< HTTP status code.
  std::string type = "application/json";  ///< Media type.
  std::string body;                       ///< Body.
};

/** Routes requests; one object serves all threads. */
class caller_routes {
 public:
  explicit caller_routes(caller_backend backend);

  /** Answers a request; blocks until the reducer did. Never throws for bad
   *  input. */
  caller_reply Handle(const caller_request& request);

  /** True when replies must close their connection. */
  bool ShouldClose() const;

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

  /** Queues the event with its call and waits for the outcome. */
  template <typename Event>
  caller_reply Call(Event event, const std::string& request_id,
                    duration timeout);
  caller_reply MakeReply(const call_outcome& outcome);

  caller_backend backend_;
  std::atomic<std::uint64_t> refused_calls_{0};
};

/** JSON refusal of a request that did not run. */
caller_reply RefusedReply(unsigned code, refusal_reason reason,
                          const std::string& detail,
                          const std::string& request_id = {});

}  // namespace corianderrail
