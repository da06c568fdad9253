/** @file call_table.cpp Matches outcomes of the reducer to waiting calls. */

#include "node/call_table.h"

#include <utility>

namespace corianderrail {

std::optional<call_table::pending_call> call_table::Open() {
  const std::lock_guard lock(mutex_);
  if (open_.size() >= max_calls_) return std::nullopt;
  const std::uint64_t number = ++last_call_;
  auto& promise = open_[number];
  return pending_call{call_id{number}, promise.get_future()};
}

void call_table::Finish(call_id call, call_outcome outcome) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(Raw(call));
  if (found == open_.end()) return;
  found->second.set_value(std::move(outcome));
  open_.erase(found);
}

std::optional<call_outcome> call_table::Wait(
    pending_call& pending, std::chrono::microseconds timeout) {
  if (pending.outcome.wait_for(timeout) == std::future_status::ready) {
    return pending.outcome.get();
  }
  const std::lock_guard lock(mutex_);
  // The outcome may have arrived after wait_for() returned; Finish() has
  // closed the call in this case.
  if (open_.erase(Raw(pending.call)) == 0) return pending.outcome.get();
  return std::nullopt;
}

std::size_t call_table::Waiting() const {
  const std::lock_guard lock(mutex_);
  return open_.size();
}

}  // namespace corianderrail
