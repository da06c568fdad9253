/** @file caller_codec.cpp JSON encoding of the caller API. */

#include "wire/caller_codec.h"

#include <array>
#include <charconv>
#include <chrono>
#include <limits>

#include "wire/json_value.h"

namespace corianderrail {

namespace {

constexpr std::uint64_t kMaxUnsigned =
    std::numeric_limits<std::uint64_t>::max();

/** Name and HTTP code of a refusal. */
struct refusal_entry {
  std::string_view name;  ///< Value of `reason`.
  unsigned http_code;     ///< HTTP status code.
};

/** Indexed by refusal_reason. */
constexpr std::array<refusal_entry, 15> kRefusals = {{
    {"unknown_customer", 404},
    {"unknown_kind", 404},
    {"bad_request", 400},
    {"deadline_too_long", 400},
    {"rate_limit", 429},
    {"overloaded", 503},
    {"deadline_passed", 504},
    {"not_ready", 503},
    {"stopping", 503},
    {"contract_stale", 503},
    {"no_topology", 503},
    {"home_lost", 504},
    {"unknown_order", 404},
    {"upstream_refused", 503},
    {"outcome_unknown", 504},
}};
static_assert(kRefusals.size() ==
              static_cast<std::size_t>(refusal_reason::outcome_unknown) + 1);

constexpr std::array<std::string_view, 3> kRunStates = {"not_run", "ran",
                                                        "unknown"};
constexpr std::array<std::string_view, 5> kOrderStates = {
    "issued", "pending", "ran", "not_run", "unknown"};
constexpr std::array<std::string_view, 3> kAnswerStatuses = {
    "complete", "partial", "incomplete"};

duration ReadDeadline(const json_object& from) {
  const auto value =
      from.OptionalUnsigned("deadline_ms", kMaxCallerDeadlineMs, 0);
  return std::chrono::milliseconds(value);
}

std::string RequiredName(const json_object& from, std::string_view name) {
  std::string text = from.Text(name, kMaxCallerNameBytes);
  if (text.empty()) {
    throw wire_error(wire_error::kind::out_of_range,
                     "member '" + std::string(name) + "' must not be empty");
  }
  return text;
}

std::string FormatHex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return {digits.data(), end.ptr};
}

std::uint64_t ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, 16);
  // Accepts only one spelling per identifier, so that equal identifiers have
  // equal text.
  if (result.ec != std::errc() || result.ptr != end ||
      FormatHex(value) != text) {
    throw wire_error(wire_error::kind::wrong_type,
                     "an order identifier is three hexadecimal numbers "
                     "joined by '-', as POST /v1/order-ids returned it");
  }
  return value;
}

}  // namespace

query_request ReadQueryRequest(std::string_view body) {
  const auto from =
      json_object::Parse(body, {"request_id", "customer", "kind", "deadline_ms",
                                "seen_revision", "payload", "payload_base64"});
  query_request request;
  request.request_id = RequiredName(from, "request_id");
  request.customer = RequiredName(from, "customer");
  request.kind = RequiredName(from, "kind");
  request.deadline = ReadDeadline(from);
  request.seen_revision =
      revision_id{from.OptionalUnsigned("seen_revision", kMaxUnsigned, 0)};
  request.payload = from.Payload(kMaxCallerBodyBytes);
  return request;
}

order_request ReadOrderRequest(std::string_view body) {
  const auto from = json_object::Parse(
      body, {"order_id", "request_id", "customer", "kind", "key", "deadline_ms",
             "seen_revision", "payload", "payload_base64"});
  order_request request;
  request.id = ParseOrderId(from.Text("order_id", kMaxCallerNameBytes));
  request.request_id = RequiredName(from, "request_id");
  request.customer = RequiredName(from, "customer");
  request.kind = RequiredName(from, "kind");
  request.key = from.Unsigned("key", kMaxUnsigned);
  request.deadline = ReadDeadline(from);
  request.seen_revision =
      revision_id{from.OptionalUnsigned("seen_revision", kMaxUnsigned, 0)};
  request.payload = from.Payload(kMaxCallerBodyBytes);
  return request;
}

caller_order_id_event ReadOrderIdRequest(std::string_view body) {
  const auto from =
      json_object::Parse(body, {"request_id", "customer", "count"});
  caller_order_id_event request;
  request.request_id = RequiredName(from, "request_id");
  request.customer = RequiredName(from, "customer");
  request.count = static_cast<std::uint32_t>(
      from.OptionalUnsigned("count", kMaxOrderIdsPerRequest, 1));
  if (request.count == 0) {
    throw wire_error(wire_error::kind::out_of_range,
                     "member 'count' must be at least 1");
  }
  return request;
}

std::string FormatOrderId(const order_id& id) {
  return FormatHex(Raw(id.home.host)) + '-' +
         FormatHex(Raw(id.home.incarnation)) + '-' + FormatHex(id.sequence);
}

order_id ParseOrderId(std::string_view text) {
  const auto first = text.find('-');
  const auto second =
      first == text.npos ? text.npos : text.find('-', first + 1);
  if (second == text.npos) ParseHex("");
  order_id id;
  id.home.host = host_id{ParseHex(text.substr(0, first))};
  id.home.incarnation =
      incarnation_id{ParseHex(text.substr(first + 1, second - first - 1))};
  id.sequence = ParseHex(text.substr(second + 1));
  return id;
}

std::string WriteQueryAnswer(const query_answer& answer) {
  json_writer out;
  out.Text("request_id", answer.request_id)
      .Text("status", AnswerStatusName(answer.status))
      .Unsigned("snapshot", Raw(answer.snapshot))
      .Unsigned("coverage_ppm", answer.coverage);
  out.List("missing");
  for (const auto& range : answer.missing) {
    out.Object("")
        .Unsigned("begin", range.begin)
        .Unsigned("end", range.end)
        .End();
  }
  out.End().List("parts");
  for (const auto& part : answer.parts) {
    out.Object("")
        .Unsigned("begin", part.range.begin)
        .Unsigned("end", part.range.end)
        .Payload(part.payload)
        .End();
  }
  out.End()
      .Unsigned("revision", Raw(answer.revision))
      .Signed("elapsed_us", answer.elapsed.count());
  return out.Finish();
}

std::string WriteRefusal(const refusal& reason) {
  json_writer out;
  out.Text("request_id", reason.request_id)
      .Text("ran", RunStateName(reason.ran))
      .Text("reason", RefusalReasonName(reason.reason))
      .Text("detail", reason.detail)
      .Unsigned("retry_after_ms", CeilMilliseconds(reason.retry_after))
      .Unsigned("revision", Raw(reason.revision));
  return out.Finish();
}

std::string WriteOrderStatus(const order_status& status) {
  json_writer out;
  out.Text("order_id", FormatOrderId(status.id))
      .Text("request_id", status.request_id)
      .Text("state", OrderStateName(status.state))
      .Unsigned("revision", Raw(status.revision));
  if (status.state == order_state::ran) {
    out.Payload(status.payload);
  } else {
    out.Text("reason", RefusalReasonName(status.reason))
        .Text("detail", status.detail)
        .Unsigned("retry_after_ms", CeilMilliseconds(status.retry_after));
  }
  return out.Finish();
}

std::string WriteOrderIds(const answer_order_ids_effect& answer) {
  json_writer out;
  out.Text("request_id", answer.request_id).List("order_ids");
  for (const auto& id : answer.ids) out.Text("", FormatOrderId(id));
  return out.End().Finish();
}

std::string WriteAddresses(const answer_addresses_effect& answer) {
  json_writer out;
  out.List("addresses");
  for (const auto& entry : answer.addresses) {
    out.Object("")
        .Text("address", entry.address)
        .Text("zone", entry.zone)
        .End();
  }
  out.End()
      .Unsigned("time_to_live_ms", CeilMilliseconds(answer.time_to_live))
      .Unsigned("revision", Raw(answer.revision));
  return out.Finish();
}

unsigned RefusalHttpCode(refusal_reason reason) {
  return kRefusals[static_cast<std::size_t>(reason)].http_code;
}

unsigned OrderHttpCode(const order_status& status) {
  if (status.state == order_state::not_run) {
    return RefusalHttpCode(status.reason);
  }
  return status.state == order_state::unknown ? 504 : 200;
}

std::string_view RefusalReasonName(refusal_reason reason) {
  return kRefusals[static_cast<std::size_t>(reason)].name;
}

std::string_view RunStateName(run_state state) {
  return kRunStates[static_cast<std::size_t>(state)];
}

std::string_view OrderStateName(order_state state) {
  return kOrderStates[static_cast<std::size_t>(state)];
}

std::string_view AnswerStatusName(answer_status status) {
  return kAnswerStatuses[static_cast<std::size_t>(status)];
}

std::uint64_t CeilMilliseconds(duration value) {
  if (value <= duration::zero()) return 0;
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

}  // namespace corianderrail
