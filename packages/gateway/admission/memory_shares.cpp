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

}  // namespace

memory_shares SharesOf(memory_limit_mb limit) {
  const std::size_t memory = static_cast<std::size_t>(limit) * kMegabyte;
  memory_shares shares;
  // A peer may use half of a total, so that one alone cannot fill it.
  shares.answers.total = std::max(memory / 8, kLargestAnswer);
  shares.answers.sender = std::max(shares.answers.total / 2, kLargestAnswer);
  shares.answers.message = kLargestAnswer;
  shares.client_requests = {memory / 16, memory / 32, memory / 64};
  shares.leaf_requests = {memory / 16, memory / 32, memory / 64};
  shares.leaf_answers.total = memory / 10;
  return shares;
}

}  // namespace corianderrail::gateway
