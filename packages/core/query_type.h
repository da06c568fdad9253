/** @file query_type.h Queries of clients, answers and refusals. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/contract_type.h"
#include "core/id_type.h"
#include "core/index_type.h"

namespace corianderrail {

/** Query as the caller sent it. */
struct query_request {
  std::string request_id;  ///< Chosen by the caller; returned in the answer.
  std::string customer;    ///< Name of the customer, as in its contract.
  std::string kind;        ///< Kind of work, as in the contract.
  duration deadline{};     ///< Time limit; 0 takes the longest allowed.
  revision_id seen_revision{};  ///< Contract revision that the caller knows.
  std::string payload;          ///< Query text, opaque to the tier.
};

/** Result of one partition. */
struct partition_answer {
  key_range range;      ///< Keys of the partition.
  std::string payload;  ///< Bytes from the leaf.
};

/** Coverage of an answer: the whole key space, at least the contract's minimum,
 *  or less. */
enum class answer_status : std::uint8_t { complete, partial, incomplete };

/** Answer to a query. */
struct query_answer {
  std::string request_id;          ///< Identifier given by the caller.
  answer_status status{};          ///< Derived from coverage and contract.
  snapshot_id snapshot{};          ///< Snapshot that all parts come from.
  ppm coverage = 0;                ///< Share of the key space, rounded down.
  std::vector<key_range> missing;  ///< Ranges without an answer.
  std::vector<partition_answer> parts;  ///< In key order.
  revision_id revision{};               ///< Contract revision in force.
  duration elapsed{};                   ///< Time spent in the tier.
};

/** Whether a request ran. */
enum class run_state : std::uint8_t { not_run, ran, unknown };

/** Reason of a refusal. */
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
  std::string request_id;   ///< Identifier given by the caller.
  run_state ran{};          ///< Whether the request ran.
  refusal_reason reason{};  ///< Reason code.
  std::string detail;       ///< Says what the caller can do about it.
  duration retry_after{};   ///< Delay before a retry; 0 if no retry can help.
  revision_id revision{};   ///< Contract revision in force.
};

}  // namespace corianderrail
