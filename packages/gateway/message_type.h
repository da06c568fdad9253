/** @file message_type.h Requests and answers within the gateway. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Identifies a client request within the process. */
enum class exchange_id : std::uint64_t {};

/** Identifies a leaf request within the process. */
enum class leaf_call : std::uint64_t {};

/** Identifies a registration of a leaf; a restarted leaf gets a new one. */
enum class leaf_handle : std::uint32_t {};

/** An end-to-end HTTP header field. */
struct header_field {
  std::string name;   ///< As received.
  std::string value;  ///< Without surrounding white space.
};

/** A complete client request. */
struct client_request {
  std::string attempt;               ///< Client's identifier of this attempt.
  std::string method;                ///< As received.
  std::string target;                ///< Path and query, as received.
  std::string host;                  ///< Without port, in lower case.
  std::string path;                  ///< Target without the query string.
  std::vector<header_field> fields;  ///< Forwarded unchanged.
  std::string body;                  ///< Complete body.
  bool has_body = false;  ///< The header announced a body, perhaps empty.
  std::optional<duration> remaining_time;  ///< How long the client still waits.
  std::optional<duration> round_trip;      ///< To the client; empty if unknown.
  bool new_connection = false;  ///< It is the first of its connection.
};

using client_request_ptr = std::shared_ptr<const client_request>;

/** A complete answer of a leaf. */
struct leaf_answer {
  int status = 0;         ///< HTTP status.
  std::string signature;  ///< Signature of the leaf that ran it, or empty.
  std::string attempt;    ///< Attempt named by the leaf; may be empty.
  bool not_run = false;   ///< The leaf states that the request did not run.
  bool leaving = false;   ///< The leaf states that it will stop.
  std::optional<duration> cold_left;  ///< Cold time that the leaf states.
  bool encoded = false;               ///< The body has a content encoding.
  std::vector<header_field> fields;   ///< Remaining end-to-end fields.
  std::string body;                   ///< Complete body.
};

/** Why a request to a leaf ended without an answer. */
enum class leaf_failure : std::uint8_t {
  not_sent,   ///< No byte was sent: connecting failed or timed out.
  broken,     ///< The connection was lost after sending.
  full,       ///< No byte was sent: the leaf is at its connection limit.
  rejected,   ///< A leaf at its connection limit reset a new connection.
  malformed,  ///< Invalid HTTP, or an answer to another request.
  timed_out,  ///< No answer before the deadline.
  withdrawn,  ///< No byte was sent: the leaf takes no more requests.
};

/** Why this host answers in place of a leaf. */
enum class refusal_cause : std::uint8_t {
  none,
  bad_request,       ///< The request violates the protocol.
  no_configuration,  ///< The configuration or the registry is not loaded yet.
  no_route,          ///< No route matches the request.
  no_leaf,           ///< Too few services of the route have an eligible leaf.
  overloaded,        ///< The leafs lack capacity to answer in time.
  not_run,           ///< No leaf that was asked ran the request.
  leaf_failed,       ///< Leafs failed; the request may have run.
  too_few_shards,    ///< Too many shards failed; parts may have run.
  timed_out,         ///< Deadline of the route or the client passed.
  stopping,          ///< This host is about to exit.
};

inline constexpr std::size_t kRefusalCauses = 11;

/** Name of a cause in logs and metrics. */
constexpr std::string_view RefusalName(refusal_cause cause) {
  constexpr std::string_view kNames[kRefusalCauses] = {
      "none",           "bad_request", "no_configuration", "no_route",
      "no_leaf",        "overloaded",  "not_run",          "leaf_failed",
      "too_few_shards", "timed_out",   "stopping"};
  return kNames[static_cast<std::size_t>(cause)];
}

/** Answer to a client. */
struct client_answer {
  int status = 0;                             ///< HTTP status.
  refusal_cause cause = refusal_cause::none;  ///< Set when this host answered.
  std::optional<duration> retry_after;  ///< Time until capacity is expected.
  std::vector<std::string> part_signatures;  ///< Signatures of gathered parts.
  std::uint32_t missing_parts = 0;           ///< Shards without an answer.
  std::vector<header_field> fields;  ///< Header fields of a forwarded answer.
  std::string body;                  ///< Complete body.
};

}  // namespace corianderrail::gateway
