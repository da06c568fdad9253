/** @file leaf_type.h Requests to leafs and their replies. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/id_type.h"
#include "core/index_type.h"
#include "core/rank_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** One request to a leaf: a sub-query, or an order when `order` is set. */
struct leaf_request {
  std::string collection;         ///< Name of the collection.
  snapshot_id snapshot{};         ///< Snapshot that must answer; 0 for orders.
  key_range range;                ///< Keys asked for; for orders, the key.
  rank urgency{};                 ///< Rank, for the leaf's own information.
  duration remaining{};           ///< Time left; the leaf may drop it after.
  std::optional<order_id> order;  ///< Set for an order.
  std::string payload;            ///< Opaque.
};

/** What a leaf says about a request. */
enum class leaf_status : std::uint8_t {
  ok,              ///< It ran; payload holds the answer.
  not_run,         ///< Shed before running.
  wrong_snapshot,  ///< The leaf does not hold the snapshot; it did not run.
  failed,          ///< It ran or may have run, and failed.
};

/** Reply of a leaf, with signals carried in band. */
struct leaf_reply {
  leaf_status status{};      ///< Outcome.
  snapshot_id snapshot{};    ///< Snapshot that answered.
  snapshot_id newest{};      ///< Newest snapshot the leaf holds; 0 if unsaid.
  bool draining = false;     ///< The leaf is leaving.
  std::uint32_t queued = 0;  ///< Requests waiting in the leaf; a hint.
  std::string payload;       ///< Opaque.
};

/** Why there is no reply. */
enum class leaf_failure : std::uint8_t {
  not_sent,   ///< No byte went out: connect failed or no connection.
  broken,     ///< Connection broke after the first byte.
  timeout,    ///< No reply in time.
  malformed,  ///< Reply truncated, crossed or unreadable; connection closed.
};

}  // namespace corianderrail
