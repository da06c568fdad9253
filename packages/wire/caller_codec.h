/** @file caller_codec.h JSON encoding of the caller API. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/order_type.h"
#include "core/query_type.h"
#include "wire/wire_error.h"

namespace corianderrail {

/** Maximum length of a customer, kind, zone or request identifier. */
inline constexpr std::size_t kMaxCallerNameBytes = 256;

/** Maximum deadline that the API accepts; contracts set lower limits. */
inline constexpr std::uint64_t kMaxCallerDeadlineMs = 600'000;

/** Maximum number of order identifiers in one request. */
inline constexpr std::uint32_t kMaxOrderIdsPerRequest = 100;

/** Reads the body of POST /v1/query. @throws wire_error naming the member. */
query_request ReadQueryRequest(std::string_view body);

/** Reads the body of POST /v1/orders. @throws wire_error. */
order_request ReadOrderRequest(std::string_view body);

/** Reads the body of POST /v1/order-ids; the field `call` stays 0.
 *  @throws wire_error. */
caller_order_id_event ReadOrderIdRequest(std::string_view body);

/** Text `host-incarnation-sequence`, each number in lower-case hex. */
std::string FormatOrderId(const order_id& id);

/** @throws wire_error when the text is not an order identifier. */
order_id ParseOrderId(std::string_view text);

std::string WriteQueryAnswer(const query_answer& answer);
std::string WriteRefusal(const refusal& reason);
std::string WriteOrderStatus(const order_status& status);
std::string WriteOrderIds(const answer_order_ids_effect& answer);
std::string WriteAddresses(const answer_addresses_effect& answer);

/** HTTP status code of a refusal. */
unsigned RefusalHttpCode(refusal_reason reason);

/** HTTP status code of an order's status. */
unsigned OrderHttpCode(const order_status& status);

std::string_view RefusalReasonName(refusal_reason reason);
std::string_view RunStateName(run_state state);
std::string_view OrderStateName(order_state state);
std::string_view AnswerStatusName(answer_status status);

/** Whole milliseconds, rounded up so that clients do not retry too early. */
std::uint64_t CeilMilliseconds(duration value);

}  // namespace corianderrail
