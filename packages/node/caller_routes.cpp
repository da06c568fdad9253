/** @file caller_routes.cpp Turns HTTP requests of callers into replies. */

#include "node/caller_routes.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/query_params.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "wire/caller_codec.h"
#include "wire/json_value.h"

namespace corianderrail {

namespace {

/** Added to a caller's deadline: the reducer answers at the deadline, so only
 *  a host in trouble exceeds this. */
constexpr duration kAnswerMargin = std::chrono::seconds(2);

/** Longest wait for calls without a deadline of their own. */
constexpr duration kPlainWait = std::chrono::seconds(10);

constexpr duration kTurnedAwayRetry = std::chrono::milliseconds(200);

/** Wait for a request that may leave its deadline to the contract. */
duration LongestWait(duration deadline) {
  if (deadline == duration::zero()) {
    deadline = std::chrono::milliseconds(kMaxCallerDeadlineMs);
  }
  return deadline + kAnswerMargin;
}

caller_reply TextReply(unsigned code, std::string body) {
  return {code, "text/plain; version=0.0.4", std::move(body)};
}

}  // namespace

/** A path with its handler. */
struct caller_routes::route {
  std::string_view method;  ///< HTTP method.
  std::string_view path;    ///< Path; a trailing slash takes any rest.
  handler handle;           ///< Answers it.
};

const caller_routes::route caller_routes::routes[] = {
    {"POST", "/v1/query", &caller_routes::Query},
    {"POST", "/v1/orders", &caller_routes::Order},
    {"POST", "/v1/order-ids", &caller_routes::OrderIds},
    {"GET", "/v1/orders/", &caller_routes::OrderStatus},
    {"GET", "/v1/addresses", &caller_routes::Addresses},
    {"GET", "/v1/status", &caller_routes::Status},
    {"GET", "/v1/audit", &caller_routes::Audit},
    {"GET", "/metrics", &caller_routes::Metrics},
    {"GET", "/livez", &caller_routes::Live},
    {"GET", "/readyz", &caller_routes::Ready},
};

caller_reply RefusedReply(unsigned code, refusal_reason reason,
                          const std::string& detail,
                          const std::string& request_id) {
  refusal refused;
  refused.request_id = request_id;
  refused.ran = run_state::not_run;
  refused.reason = reason;
  refused.detail = detail;
  if (code == 503) refused.retry_after = kTurnedAwayRetry;
  return {code, "application/json", WriteRefusal(refused)};
}

caller_routes::caller_routes(caller_backend backend)
    : backend_(std::move(backend)) {}

bool caller_routes::Closing() const {
  const auto phase = backend_.phase();
  return phase == host_phase::draining || phase == host_phase::stopped;
}

caller_reply caller_routes::Handle(const caller_request& request) {
  bool known_path = false;
  for (const auto& one : routes) {
    const bool prefix = one.path.back() == '/';
    if (prefix ? !request.path.starts_with(one.path)
               : request.path != one.path) {
      continue;
    }
    known_path = true;
    if (request.method != one.method) continue;
    try {
      return (this->*one.handle)(request);
    } catch (const wire_error& error) {
      const bool large = error.Reason() == wire_error::kind::too_large;
      return RefusedReply(large ? 413 : 400, refusal_reason::bad_request,
                          error.what());
    }
  }
  return RefusedReply(known_path ? 405 : 404, refusal_reason::bad_request,
                      known_path ? "method not allowed for this path"
                                 : "unknown path; see docs/protocols.md");
}

template <typename Event>
caller_reply caller_routes::Call(Event happening, const std::string& request_id,
                                 duration longest) {
  auto open = backend_.calls->Open();
  if (!open) {
    ++turned_away_;
    return RefusedReply(503, refusal_reason::overloaded,
                        "too many calls wait on this host; use another "
                        "address or try again",
                        request_id);
  }
  happening.call = open->call;
  backend_.post(std::move(happening));
  const auto outcome = backend_.calls->Wait(*open, longest);
  if (outcome) return Write(*outcome);
  backend_.post(caller_gone_event{open->call});
  refusal late;
  late.request_id = request_id;
  late.ran = run_state::unknown;
  late.reason = refusal_reason::outcome_unknown;
  late.detail = "the host did not answer in time; ask another address";
  return {RefusalHttpCode(late.reason), "application/json", WriteRefusal(late)};
}

caller_reply caller_routes::Write(const call_outcome& outcome) {
  caller_reply reply;
  if (const auto* answer = std::get_if<answer_query_effect>(&outcome)) {
    backend_.answered(answer->answer.elapsed);
    reply.body = WriteQueryAnswer(answer->answer);
  } else if (const auto* refused = std::get_if<refuse_effect>(&outcome)) {
    reply.code = RefusalHttpCode(refused->reason.reason);
    reply.body = WriteRefusal(refused->reason);
  } else if (const auto* order = std::get_if<answer_order_effect>(&outcome)) {
    reply.code = OrderHttpCode(order->status);
    reply.body = WriteOrderStatus(order->status);
  } else if (const auto* ids = std::get_if<answer_order_ids_effect>(&outcome)) {
    reply.body = WriteOrderIds(*ids);
  } else {
    reply.body = WriteAddresses(std::get<answer_addresses_effect>(outcome));
  }
  return reply;
}

caller_reply caller_routes::Query(const caller_request& request) {
  caller_query_event happening;
  happening.request = ReadQueryRequest(request.body);
  const auto id = happening.request.request_id;
  const auto longest = LongestWait(happening.request.deadline);
  return Call(std::move(happening), id, longest);
}

caller_reply caller_routes::Order(const caller_request& request) {
  caller_order_event happening;
  happening.request = ReadOrderRequest(request.body);
  const auto id = happening.request.request_id;
  const auto longest = LongestWait(happening.request.deadline);
  return Call(std::move(happening), id, longest);
}

caller_reply caller_routes::OrderIds(const caller_request& request) {
  auto happening = ReadOrderIdRequest(request.body);
  const auto id = happening.request_id;
  return Call(std::move(happening), id, kPlainWait);
}

caller_reply caller_routes::OrderStatus(const caller_request& request) {
  constexpr std::string_view kPrefix = "/v1/orders/";
  caller_order_status_event happening;
  const std::string text = request.path.substr(kPrefix.size());
  happening.id = ParseOrderId(text);
  return Call(std::move(happening), text, kPlainWait);
}

caller_reply caller_routes::Addresses(const caller_request& request) {
  caller_address_event happening;
  try {
    const cxxtools::QueryParams parameters(request.parameters);
    happening.customer = parameters.param("customer");
    happening.zone = parameters.param("zone");
  } catch (const std::exception& error) {
    throw wire_error(wire_error::kind::bad_syntax, error.what());
  }
  if (happening.customer.empty() ||
      happening.customer.size() > kMaxCallerNameBytes ||
      happening.zone.size() > kMaxCallerNameBytes) {
    throw wire_error(wire_error::kind::missing_member,
                     "parameter 'customer' must have 1 to 256 bytes and "
                     "'zone' at most 256");
  }
  return Call(std::move(happening), {}, kPlainWait);
}

caller_reply caller_routes::Status(const caller_request&) {
  return {200, "application/json", backend_.status_json()};
}

caller_reply caller_routes::Audit(const caller_request&) {
  return {200, "application/json", backend_.audit_json()};
}

caller_reply caller_routes::Metrics(const caller_request&) {
  return TextReply(200, backend_.metrics_text());
}

caller_reply caller_routes::Live(const caller_request&) {
  return TextReply(200, "ok\n");
}

caller_reply caller_routes::Ready(const caller_request&) {
  const bool ready = backend_.phase() == host_phase::ready;
  return TextReply(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

}  // namespace corianderrail
