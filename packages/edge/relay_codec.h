/** @file relay_codec.h Messages that pass store items between hosts. */

#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/time_type.h"
#include "gateway/store/store_type.h"

namespace corianderrail::edge {

/** Request of a host for the store items of another host. */
struct relay_request {
  gateway::store_read_kind kind{};  ///< Listing or watch.
  std::uint64_t revision = 0;       ///< Watch: changes after it.
  duration wait{};                  ///< Longest wait for a change.
};

/** Answer of a host to a relay_request. */
struct relay_reply {
  gateway::store_reply items;  ///< In the form of a store answer.
  gateway::reply_freshness freshness;
};

/** Path prefix of all relay requests. */
inline constexpr std::string_view kRelayPath = "/relay";

std::string EncodeRelayRequest(const relay_request& request);

/** @throws wire_error when the target is not a valid relay request. */
relay_request DecodeRelayRequest(std::string_view target);

std::string EncodeRelayReply(const relay_reply& reply);

/** Decodes a reply, or the failure that its status and body indicate. */
std::variant<relay_reply, gateway::store_failure> DecodeRelayReply(
    int status, std::string_view body);

}  // namespace corianderrail::edge
