/** @file leaf_codec.h HTTP headers of the leaf protocol. */

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/leaf_type.h"
#include "wire/wire_error.h"

namespace corianderrail {

/** Maximum body size of a leaf reply. */
inline constexpr std::size_t kMaxLeafReplyBytes = 4u << 20;

/** One header line. */
struct http_header {
  std::string name;  ///< Without the colon.
  std::string value;
};

/** Returns the value of a header; std::nullopt when it is absent. */
using header_lookup =
    std::function<std::optional<std::string>(const char* name)>;

/** URL path of a request to a leaf. */
std::string_view LeafPath(const leaf_request& request);

inline constexpr std::string_view kLeafCancelPath = "/leaf/v1/cancel";
inline constexpr const char* kLeafRequestIdHeader = "X-Request-Id";

/** Identifier of a request: owner incarnation and call in hexadecimal. */
std::string LeafRequestId(incarnation_id owner, leaf_call_id call);

/** Headers of a request that the leaf protocol defines. */
std::vector<http_header> LeafRequestHeaders(const leaf_request& request,
                                            const std::string& request_id);

/**
 * Checks and decodes a reply.
 * @param http_code HTTP status code.
 * @param request_id Identifier of the request that was sent.
 * @param expected Request that was sent.
 * @throws wire_error when the reply is incomplete, invalid or belongs to
 *     another request.
 */
leaf_reply ReadLeafReply(unsigned http_code, const header_lookup& headers,
                         std::string body, const std::string& request_id,
                         const leaf_request& expected);

/**
 * Parses a decimal number, such as a header value.
 * @param name Name of the value in the error message.
 * @throws wire_error naming the value when it is not a number up to max_value.
 */
std::uint64_t ReadNumber(const char* name, std::string_view text,
                         std::uint64_t max_value);

}  // namespace corianderrail
