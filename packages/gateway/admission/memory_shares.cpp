/** @file memory_shares.cpp Division of a host's memory among slow peers. */

#include "gateway/admission/memory_shares.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

constexpr std::size_t kMegabyte = 1u << 20;

/** The largest answer of a leaf (8 MiB), its head and what the system buffers
 *  of the connection, so that each answer can be delivered; rounded up for
 *  gathered answers, which may be somewhat larger. */
constexpr std::size_t kLargestAnswer = 10 * kMegabyte;

/** Slots of the smallest leafs. Fewer largest requests in flight would leave
 *  slots empty. */
constexpr std::size_t kSlotsOfALeaf = 4;

}  // namespace

memory_shares SharesOf(memory_limit_mb limit, std::size_t largest_request) {
  const std::size_t memory = static_cast<std::size_t>(limit) * kMegabyte;
  memory_shares shares;
  // A peer may use half of a total, so that one alone cannot fill it.
  shares.answers.total = std::max(memory / 8, kLargestAnswer);
  shares.answers.sender = std::max(shares.answers.total / 2, kLargestAnswer);
  shares.answers.message = kLargestAnswer;
  // While a request is written, the system holds a copy of it.
  const std::size_t least = 2 * largest_request;
  shares.client_requests = {std::max(memory / 16, least),
                            std::max(memory / 32, least),
                            std::max(memory / 64, least)};
  shares.leaf_requests = shares.client_requests;
  shares.leaf_answers.total = memory / 10;
  shares.leaf_in_flight =
      std::max(kMinLeafBytesInFlight, kSlotsOfALeaf * largest_request);
  return shares;
}

}  // namespace corianderrail::gateway
