/** @file relay_codec.h Store items as they travel between hosts. */

#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/time_type.h"
#include "gateway/store_type.h"

namespace corianderrail::edge {

/** What a host asks another one for. */
struct relay_request {
  gateway::store_read_kind kind{};  ///< Listing or changes.
  std::string topic;                ///< Prefix of the keys.
  std::uint64_t revision = 0;       ///< Changes after it.
  duration wait{};                  ///< Longest wait for a change.
};

/** Items of another host. */
struct relay_reply {
  gateway::store_reply items;  ///< As the store would answer.
  duration age{};              ///< When the sender last confirmed them.
};

/** Path of all relay requests. */
inline constexpr std::string_view kRelayPath = "/relay";

std::string EncodeRelayRequest(const relay_request& request);

/** @throws wire_error when the target is no relay request. */
relay_request DecodeRelayRequest(std::string_view target);

std::string EncodeRelayReply(const relay_reply& reply);

/** Reply or failure, by status and body. */
std::variant<relay_reply, gateway::store_failure> DecodeRelayReply(
    int status, std::string_view body);

}  // namespace corianderrail::edge
