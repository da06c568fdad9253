/** @file byte_budget.cpp Accounting of messages by sender. */

#include "gateway/admission/byte_budget.h"

#include <algorithm>

namespace corianderrail::gateway {

std::vector<message_id> byte_budget::Set(message_id message, sender_id sender,
                                         std::size_t bytes) {
  held_message& held = messages_[message];
  held.sender = sender;
  total_ += bytes - held.bytes;
  incomplete_[sender] += bytes - held.bytes;
  held.bytes = bytes;
  std::vector<message_id> given_up;
  while (total_ > bound_) {
    const auto largest = Largest();
    if (!largest) break;
    given_up.push_back(*largest);
    Remove(*largest);
  }
  return given_up;
}

/** The largest incomplete message of the sender that holds most. */
std::optional<message_id> byte_budget::Largest() const {
  const auto greatest = std::max_element(
      incomplete_.begin(), incomplete_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (greatest == incomplete_.end() || greatest->second == 0) {
    return std::nullopt;
  }
  std::optional<message_id> largest;
  std::size_t size = 0;
  for (const auto& [id, held] : messages_) {
    const bool candidate = held.sender == greatest->first && !held.complete;
    if (!candidate || held.bytes <= size) continue;
    largest = id;
    size = held.bytes;
  }
  return largest;
}

void byte_budget::Complete(message_id message) {
  const auto found = messages_.find(message);
  if (found == messages_.end() || found->second.complete) return;
  found->second.complete = true;
  incomplete_[found->second.sender] -= found->second.bytes;
  if (incomplete_[found->second.sender] == 0) {
    incomplete_.erase(found->second.sender);
  }
}

void byte_budget::Remove(message_id message) {
  Complete(message);
  const auto found = messages_.find(message);
  if (found == messages_.end()) return;
  total_ -= found->second.bytes;
  messages_.erase(found);
}

}  // namespace corianderrail::gateway
