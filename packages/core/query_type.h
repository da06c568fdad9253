/** @file query_type.h Queries of callers, answers and refusals. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/contract_type.h"
#include "core/id_type.h"
#include "core/index_type.h"

namespace corianderrail {

/** A query as a caller sent it. */
struct query_request {
  std::string request_id;       ///< Caller's own identifier, echoed back.
  std::string customer;         ///< Customer name.
  std::string kind;             ///< Kind of work in the customer's contract.
  duration deadline{};          ///< Remaining time; 0 takes the contract's.
  revision_id seen_revision{};  ///< Revision of the caller's address answer.
  std::string payload;          ///< Query text, opaque to the tier.
};

/** What one partition contributed. */
struct partition_answer {
  key_range range;      ///< Keys it covers.
  std::string payload;  ///< Bytes from the leaf.
};

/** Whether the answer meets the contract's least coverage. */
enum class answer_status : std::uint8_t { complete, partial, incomplete };

/** Answer to a query. */
struct query_answer {
  std::string request_id;          ///< Echo of the request.
  answer_status status{};          ///< Whole, enough, or too little.
  snapshot_id snapshot{};          ///< The one snapshot of all parts.
  ppm coverage = 0;                ///< Share of the key space, rounded down.
  std::vector<key_range> missing;  ///< Ranges without an answer.
  std::vector<partition_answer> parts;  ///< In key order.
  revision_id revision{};               ///< Contract revision in force.
  duration elapsed{};                   ///< Time spent in the tier.
};

/** Whether a refused request ran. */
enum class run_state : std::uint8_t { not_run, ran, unknown };

/** Why a request was refused. */
enum class refusal_reason : std::uint8_t {
  unknown_customer,
  unknown_kind,
  bad_request,
  deadline_too_long,
  rate_limit,
  overloaded,
  deadline_passed,
  not_ready,
  stopping,
  contract_stale,
  no_topology,
  home_lost,
  unknown_order,
  upstream_refused,
  outcome_unknown,
};

/** Refusal of a request. */
struct refusal {
  std::string request_id;   ///< Echo of the request.
  run_state ran{};          ///< Whether the request ran.
  refusal_reason reason{};  ///< Why.
  std::string detail;       ///< Names the remedy.
  duration retry_after{};   ///< When to try again; 0 means do not.
  revision_id revision{};   ///< Contract revision in force.
};

}  // namespace corianderrail
