/** @file call_table.h Matches outcomes of the reducer to waiting calls. */

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

/** The effects that complete a call. */
using call_outcome =
    std::variant<answer_query_effect, refuse_effect, answer_order_effect,
                 answer_order_ids_effect, answer_addresses_effect>;

/**
 * Open calls of callers; each blocks a thread until the reducer returns its
 * outcome. Safe for several threads.
 */
class call_table {
 public:
  /** An open call, held by the thread that waits for it. */
  struct pending_call {
    call_id call{};  ///< Copied into the event and its outcome.
    std::future<call_outcome> outcome;  ///< Set by Finish().
  };

  /** @param max_calls Largest number of open calls. */
  explicit call_table(std::size_t max_calls) : max_calls_(max_calls) {}

  /** Opens a call. @return Nothing when `max_calls` are open. */
  std::optional<pending_call> Open();

  /** Completes a call; the outcome of a call that timed out is dropped. */
  void Finish(call_id call, call_outcome outcome);

  /** Waits for the outcome. @return Nothing after the timeout, which closes
   *  the call. */
  std::optional<call_outcome> Wait(pending_call& pending,
                                   std::chrono::microseconds timeout);

  /** Number of open calls. */
  std::size_t Waiting() const;

 private:
  std::size_t max_calls_;
  mutable std::mutex mutex_;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, std::promise<call_outcome>> open_;
};

}  // namespace corianderrail
