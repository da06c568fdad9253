/** @file call_table.cpp Calls of callers that wait for the reducer. */

#include "node/call_table.h"

#include <utility>

namespace corianderrail {

std::optional<call_table::ticket> call_table::Open() {
  const std::lock_guard lock(mutex_);
  if (open_.size() >= most_) return std::nullopt;
  const std::uint64_t number = ++last_;
  auto& promise = open_[number];
  return ticket{call_id{number}, promise.get_future()};
}

void call_table::Finish(call_id call, call_outcome outcome) {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(Raw(call));
  if (found == open_.end()) return;
  found->second.set_value(std::move(outcome));
  open_.erase(found);
}

std::optional<call_outcome> call_table::Wait(
    ticket& open, std::chrono::microseconds longest) {
  if (open.outcome.wait_for(longest) == std::future_status::ready) {
    return open.outcome.get();
  }
  const std::lock_guard lock(mutex_);
  // The outcome may have arrived since; then the call is already closed.
  if (open_.erase(Raw(open.call)) == 0) return open.outcome.get();
  return std::nullopt;
}

std::size_t call_table::Waiting() const {
  const std::lock_guard lock(mutex_);
  return open_.size();
}

}  // namespace corianderrail
