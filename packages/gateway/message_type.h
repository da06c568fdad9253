/** @file message_type.h Requests and answers as the gateway sees them. */

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

/** A client's request within the process. */
enum class exchange_id : std::uint64_t {};

/** One request to one leaf within the process. */
enum class leaf_call : std::uint64_t {};

/** A leaf, by one registration; a restarted leaf gets a new handle. */
enum class leaf_handle : std::uint32_t {};

/** An end-to-end header field. */
struct header_field {
  std::string name;   ///< As received.
  std::string value;  ///< Without surrounding white space.
};

/** A whole request of a client. */
struct client_request {
  std::string attempt;               ///< Client's identifier of this attempt.
  std::string method;                ///< As received.
  std::string target;                ///< Path and query, as received.
  std::string host;                  ///< Without port, in lower case.
  std::string path;                  ///< Target without the query.
  std::vector<header_field> fields;  ///< Forwarded unchanged.
  std::string body;                  ///< Whole body.
  bool has_body = false;             ///< A body was announced, perhaps empty.
  std::optional<duration> remaining_time;  ///< What the client will still wait.
};

using client_request_ptr = std::shared_ptr<const client_request>;

/** A whole answer of a leaf, or of this host in its place. */
struct leaf_answer {
  int status = 0;                    ///< HTTP status.
  std::string server_stamp;          ///< Proof of work; empty without one.
  std::string attempt;               ///< Echoed attempt; empty without one.
  bool not_run = false;              ///< The leaf states that it did not run.
  bool encoded = false;              ///< The body has a content encoding.
  std::vector<header_field> fields;  ///< Other end-to-end fields.
  std::string body;                  ///< Whole body.
};

/** Why a request to a leaf ended without an answer. */
enum class leaf_failure : std::uint8_t {
  not_sent,   ///< No byte was written: no connection in time, or refused.
  broken,     ///< The connection ended after the request was written.
  full,       ///< No byte was written: the leaf has too many connections.
  rejected,   ///< A new connection ended before any answer: too many.
  malformed,  ///< Bytes that are no answer, or an answer to another request.
  timed_out,  ///< No answer within the time of the request.
};

/** Why this host answers in place of a leaf. */
enum class refusal_cause : std::uint8_t {
  none,
  bad_request,       ///< The request breaks the protocol.
  no_configuration,  ///< This host knows no configuration yet.
  no_route,          ///< The configuration has no route for it.
  no_leaf,           ///< No leaf is known that could run it.
  overloaded,        ///< Leafs have no room within the request's time.
  not_run,           ///< Every leaf asked stated that it did not run it.
  leaf_failed,       ///< Leafs failed; the request may have run.
  too_few_shards,    ///< Shards failed; parts may have run.
  timed_out,         ///< Time limit of the route or of the client.
};

inline constexpr std::size_t kRefusalCauses = 10;

/** Name of a cause in logs and metrics. */
constexpr std::string_view RefusalName(refusal_cause cause) {
  constexpr std::string_view kNames[kRefusalCauses] = {
      "none",           "bad_request", "no_configuration", "no_route",
      "no_leaf",        "overloaded",  "not_run",          "leaf_failed",
      "too_few_shards", "timed_out"};
  return kNames[static_cast<std::size_t>(cause)];
}

/** Answer to a client. */
struct client_answer {
  int status = 0;                             ///< HTTP status.
  refusal_cause cause = refusal_cause::none;  ///< Set when a host answers.
  std::optional<duration> retry_after;        ///< When room is expected.
  std::vector<std::string> part_stamps;       ///< Of a gathered answer.
  std::uint32_t missing_parts = 0;            ///< Of a gathered answer.
  std::vector<header_field> fields;           ///< Of a forwarded answer.
  std::string body;                           ///< Whole body.
};

}  // namespace corianderrail::gateway
