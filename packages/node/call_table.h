/** @file call_table.h Calls of callers that wait for the reducer. */

#pragma once

#include <chrono>
#include <cstdint>
#include <future>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

#include "core/effect_type.h"

namespace corianderrail {

/** What ends a call. */
using call_outcome =
    std::variant<answer_query_effect, refuse_effect, answer_order_effect,
                 answer_order_ids_effect, answer_addresses_effect>;

/** Matches outcomes to waiting threads. Safe for several threads. */
class call_table {
 public:
  /** A call that was opened. */
  struct pending_call {
    call_id call{};                     ///< Number of the call.
    std::future<call_outcome> outcome;  ///< Set once.
  };

  /** @param most Calls that may wait at the same time. */
  explicit call_table(std::size_t max_calls) : max_calls_(max_calls) {}

  /** Opens a call, or nothing when too many wait. */
  std::optional<pending_call> Open();

  /** Ends a call; late outcomes of closed calls are dropped. */
  void Finish(call_id call, call_outcome outcome);

  /** Waits; nothing when the time ran out, and the call is closed. */
  std::optional<call_outcome> Wait(pending_call& pending,
                                   std::chrono::microseconds timeout);

  std::size_t Waiting() const;

 private:
  std::size_t max_calls_;
  mutable std::mutex mutex_;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, std::promise<call_outcome>> open_;
};

}  // namespace corianderrail
