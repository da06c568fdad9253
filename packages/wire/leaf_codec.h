/** @file leaf_codec.h Headers of the protocol between owners and leafs. */

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

/** Largest reply of a leaf. */
inline constexpr std::size_t kMaxLeafReplyBytes = 4u << 20;

/** One header line. */
struct http_header {
  std::string name;   ///< Name without the colon.
  std::string value;  ///< Value.
};

/** Looks up a header; nothing when absent. */
using header_lookup =
    std::function<std::optional<std::string>(const char* name)>;

/** Path of a request to a leaf. */
std::string_view LeafPath(const leaf_request& request);

inline constexpr std::string_view kLeafCancelPath = "/leaf/v1/cancel";
inline constexpr const char* kLeafRequestIdHeader = "X-Request-Id";

/** Identifier of a request: incarnation of the owner and call, in hex. */
std::string LeafRequestId(incarnation_id owner, leaf_call_id call);

/** All headers of a request besides those of HTTP. */
std::vector<http_header> LeafRequestHeaders(const leaf_request& request,
                                            const std::string& request_id);

/**
 * Reads and checks a reply.
 * @param http_code HTTP status code.
 * @param request_id Identifier of the request that was sent.
 * @param expected Request that was sent.
 * @throws wire_error when the reply is not a whole reply to this request.
 */
leaf_reply ReadLeafReply(unsigned http_code, const header_lookup& headers,
                         std::string body, const std::string& request_id,
                         const leaf_request& expected);

/**
 * Reads a decimal header.
 * @throws wire_error naming the header when it is not a number up to max_value.
 */
std::uint64_t ReadNumber(const char* name, std::string_view text,
                         std::uint64_t max_value);

}  // namespace corianderrail
