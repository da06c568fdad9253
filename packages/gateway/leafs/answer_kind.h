/** @file answer_kind.h Classifies the answers of leafs. */

#pragma once

#include <cstdint>

#include "gateway/message_type.h"

namespace corianderrail::gateway {

/** Meaning of an answer for its client and for the health of its leaf. */
enum class answer_kind : std::uint8_t {
  success,       ///< 2xx with a signature and a readable body.
  client_fault,  ///< 4xx of the leaf that is forwarded to the client.
  not_run,       ///< The leaf states that the request did not run.
  misdirected,   ///< Another leaf answered; it did not run the request.
  failed,        ///< The leaf failed, or its answer is unusable.
};

/** Classifies an answer. */
answer_kind KindOf(const leaf_answer& answer);

}  // namespace corianderrail::gateway
