/** @file connection_end.h Connections that are ended for the bytes they hold.
 */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/time_type.h"
#include "gateway/admission/byte_budget.h"

namespace corianderrail::edge {

/** What a host holds for the peer of a connection. */
enum class held_kind : std::uint8_t {
  answer,          ///< Not read by the client.
  client_request,  ///< Not completely received from the client.
  leaf_request,    ///< Not read by the leaf.
  leaf_answer,     ///< Not completely received from the leaf.
};
inline constexpr std::size_t kHeldKinds = 4;

/** Name of a kind in logs and metrics. */
constexpr std::string_view HeldKindName(held_kind kind) {
  constexpr std::string_view kNames[kHeldKinds] = {
      "answer", "client_request", "leaf_request", "leaf_answer"};
  return kNames[static_cast<std::size_t>(kind)];
}

/** Why a connection ended. The first ones are gateway::byte_bound. */
enum class end_cause : std::uint8_t {
  connection_bytes,  ///< It held too much alone.
  peer_bytes,        ///< Its client address or leaf held too much.
  total_bytes,       ///< All together held too much, and it was the slowest.
  timeout,           ///< Nothing was read or received in time.
};
inline constexpr std::size_t kEndCauses = 4;

constexpr end_cause CauseOf(gateway::byte_bound bound) {
  return static_cast<end_cause>(bound);
}

/** Name of a cause in logs and metrics. */
constexpr std::string_view EndCauseName(end_cause cause) {
  constexpr std::string_view kNames[kEndCauses] = {
      "connection_bytes", "peer_bytes", "total_bytes", "timeout"};
  return kNames[static_cast<std::size_t>(cause)];
}

/** End of one connection. */
struct connection_end {
  held_kind kind{};       ///< What it held.
  end_cause cause{};      ///< Why it ended.
  std::string peer;       ///< IP address and port.
  std::size_t bytes = 0;  ///< Held when it ended.
  duration behind{};      ///< How far the peer was behind the usual pace.
};

using connection_end_sink = std::function<void(const connection_end&)>;

/** Bytes held of one kind, and connections ended for them. */
struct held_counters {
  std::uint64_t bytes = 0;                        ///< Held now.
  std::array<std::uint64_t, kEndCauses> ended{};  ///< By cause; only increase.
};

}  // namespace corianderrail::edge
