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

/** Request to a leaf: a subquery, or an order when `order` is set. */
struct leaf_request {
  std::string collection;  ///< Name of the collection.
  snapshot_id snapshot{};  ///< Required snapshot; 0 for orders.
  key_range range;         ///< Requested keys; the one key of an order.
  rank urgency{};          ///< Rank; the leaf may ignore it.
  duration remaining{};    ///< Time after which the leaf may drop the request.
  std::optional<order_id> order;  ///< Set for an order.
  std::string payload;            ///< Text of the client, opaque to the tier.
};

/** Outcome that a leaf reports for a request. */
enum class leaf_status : std::uint8_t {
  ok,              ///< Ran; the payload holds the answer.
  not_run,         ///< Rejected by the leaf before running.
  wrong_snapshot,  ///< Not run: the leaf does not hold the snapshot.
  failed,          ///< Failed; the request may have run.
};

/** Reply of a leaf, with in-band state of the leaf. */
struct leaf_reply {
  leaf_status status{};      ///< Outcome, and whether the request ran.
  snapshot_id snapshot{};    ///< Snapshot that the leaf read.
  snapshot_id newest{};      ///< Newest snapshot held; 0 if not reported.
  bool draining = false;     ///< The leaf is about to stop.
  std::uint32_t queued = 0;  ///< Requests queued in the leaf; informational.
  std::string payload;       ///< Bytes for the client, opaque to the tier.
};

/** Reason why a request got no reply. */
enum class leaf_failure : std::uint8_t {
  not_sent,   ///< No byte was sent: no connection, or connect failed.
  broken,     ///< Connection lost after the first byte was sent.
  timeout,    ///< No reply within the leaf time limit.
  malformed,  ///< Reply truncated, mismatched or unparsable; connection closed.
};

}  // namespace corianderrail
