/** @file caller_routes.cpp Routes and answers HTTP requests of callers. */

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

/** Added to the deadline of a request. The reducer answers at the deadline at
 *  the latest, so this margin is exceeded only on an overloaded or blocked
 *  host. */
constexpr duration kAnswerMargin = std::chrono::seconds(2);

/** Time limit of calls that have no deadline of their own. */
constexpr duration kDefaultCallTimeout = std::chrono::seconds(10);

/** Retry delay sent to a caller that is refused because too many calls are
 *  open. */
constexpr duration kOverloadRetryAfter = std::chrono::milliseconds(200);

/** Time limit of a request. A deadline of zero means that the contract sets the
 *  deadline; the largest deadline that a caller may send is then assumed. */
duration CallTimeout(duration deadline) {
  if (deadline == duration::zero()) {
    deadline = std::chrono::milliseconds(kMaxCallerDeadlineMs);
  }
  return deadline + kAnswerMargin;
}

caller_reply TextReply(unsigned code, std::string body) {
  return {code, "text/plain; version=0.0.4", std::move(body)};
}

}  // namespace

/** A method and path with their handler. */
struct caller_routes::route {
  std::string_view method;  ///< Such as "GET".
  std::string_view path;    ///< A prefix when it ends in a slash.
  handler handle;           ///< Called for a match.
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
  if (code == 503) refused.retry_after = kOverloadRetryAfter;
  return {code, "application/json", WriteRefusal(refused)};
}

caller_routes::caller_routes(caller_backend backend)
    : backend_(std::move(backend)) {}

bool caller_routes::ShouldClose() const {
  const auto phase = backend_.phase();
  return phase == host_phase::draining || phase == host_phase::stopped;
}

caller_reply caller_routes::Handle(const caller_request& request) {
  bool known_path = false;
  for (const auto& candidate : routes) {
    const bool prefix = candidate.path.back() == '/';
    if (prefix ? !request.path.starts_with(candidate.path)
               : request.path != candidate.path) {
      continue;
    }
    known_path = true;
    if (request.method != candidate.method) continue;
    try {
      return (this->*candidate.handle)(request);
    } catch (const wire_error& error) {
      const bool too_large_body = error.Reason() == wire_error::kind::too_large;
      return RefusedReply(too_large_body ? 413 : 400,
                          refusal_reason::bad_request, error.what());
    }
  }
  return RefusedReply(known_path ? 405 : 404, refusal_reason::bad_request,
                      known_path ? "method not allowed for this path"
                                 : "unknown path; see docs/protocols.md");
}

template <typename Event>
caller_reply caller_routes::Call(Event event, const std::string& request_id,
                                 duration timeout) {
  auto pending = backend_.calls->Open();
  if (!pending) {
    ++refused_calls_;
    return RefusedReply(503, refusal_reason::overloaded,
                        "too many requests are waiting on this host; use "
                        "another address or retry",
                        request_id);
  }
  event.call = pending->call;
  backend_.post(std::move(event));
  const auto outcome = backend_.calls->Wait(*pending, timeout);
  if (outcome) return MakeReply(*outcome);
  backend_.post(caller_gone_event{pending->call});
  refusal late;
  late.request_id = request_id;
  late.ran = run_state::unknown;
  late.reason = refusal_reason::outcome_unknown;
  late.detail = "the host did not answer in time; ask another address";
  return {RefusalHttpCode(late.reason), "application/json", WriteRefusal(late)};
}

caller_reply caller_routes::MakeReply(const call_outcome& outcome) {
  caller_reply reply;
  if (const auto* answer = std::get_if<answer_query_effect>(&outcome)) {
    backend_.on_answer(answer->answer.elapsed);
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
  caller_query_event event;
  event.request = ReadQueryRequest(request.body);
  const auto id = event.request.request_id;
  const auto timeout = CallTimeout(event.request.deadline);
  return Call(std::move(event), id, timeout);
}

caller_reply caller_routes::Order(const caller_request& request) {
  caller_order_event event;
  event.request = ReadOrderRequest(request.body);
  const auto id = event.request.request_id;
  const auto timeout = CallTimeout(event.request.deadline);
  return Call(std::move(event), id, timeout);
}

caller_reply caller_routes::OrderIds(const caller_request& request) {
  auto event = ReadOrderIdRequest(request.body);
  const auto id = event.request_id;
  return Call(std::move(event), id, kDefaultCallTimeout);
}

caller_reply caller_routes::OrderStatus(const caller_request& request) {
  constexpr std::string_view kPrefix = "/v1/orders/";
  caller_order_status_event event;
  const std::string text = request.path.substr(kPrefix.size());
  event.id = ParseOrderId(text);
  return Call(std::move(event), text, kDefaultCallTimeout);
}

caller_reply caller_routes::Addresses(const caller_request& request) {
  caller_address_event event;
  try {
    const cxxtools::QueryParams parameters(request.parameters);
    event.customer = parameters.param("customer");
    event.zone = parameters.param("zone");
  } catch (const std::exception& error) {
    throw wire_error(wire_error::kind::bad_syntax, error.what());
  }
  if (event.customer.empty() || event.customer.size() > kMaxCallerNameBytes ||
      event.zone.size() > kMaxCallerNameBytes) {
    throw wire_error(wire_error::kind::missing_member,
                     "parameter 'customer' must have 1 to 256 bytes and "
                     "'zone' at most 256");
  }
  return Call(std::move(event), {}, kDefaultCallTimeout);
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
