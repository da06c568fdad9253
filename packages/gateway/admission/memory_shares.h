/** @file memory_shares.h Division of a host's memory among slow peers. */

#pragma once

#include <cstddef>
#include <cstdint>

#include "gateway/admission/byte_budget.h"

namespace corianderrail::gateway {

/** Limit of the memory of this host. */
enum class memory_limit_mb : std::uint64_t {};

/** Assumed where the platform states no limit. */
inline constexpr memory_limit_mb kDefaultMemoryLimit{160};

/** Bounds of what this host holds for its peers. */
struct memory_shares {
  byte_bounds answers;             ///< That clients have not read.
  byte_bounds client_requests;     ///< Incomplete ones that clients send.
  byte_bounds leaf_requests;       ///< That leafs have not read.
  byte_bounds leaf_answers;        ///< Incomplete ones that leafs send.
  std::size_t leaf_in_flight = 0;  ///< Written to one leaf and not answered.
};

/**
 * Divides the memory: an eighth for answers, a tenth for incomplete answers of
 * leafs, a sixteenth each for requests of clients and requests to leafs; 35% of
 * it together. The rest is for the program, the configuration and the requests
 * being served.
 * @param largest_request Head and body that the limits of clients allow; each
 *     bound of requests holds at least one such request.
 */
memory_shares SharesOf(memory_limit_mb limit, std::size_t largest_request = 0);

/** Least bound of requests to one leaf that are written and not answered: four
 *  requests of the largest usual size (256 KiB), as leafs have 4 to 6 slots. */
inline constexpr std::size_t kMinLeafBytesInFlight = 1u << 20;

}  // namespace corianderrail::gateway
