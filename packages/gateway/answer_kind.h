/** @file answer_kind.h What an answer of a leaf means. */

#pragma once

#include <cstdint>

#include "gateway/message_type.h"

namespace corianderrail::gateway {

/** What an answer of a leaf means, for its client and as evidence. */
enum class answer_kind : std::uint8_t {
  success,       ///< 2xx with a proof and a readable body.
  client_fault,  ///< 4xx of the leaf itself that its client must see.
  not_run,       ///< The leaf states that it did not run the request.
  misdirected,   ///< Another leaf has this address; it did not run it.
  failed,        ///< The leaf ran it and failed, or its answer is unusable.
};

/** Tells what an answer means. */
answer_kind KindOf(const leaf_answer& answer);

}  // namespace corianderrail::gateway
