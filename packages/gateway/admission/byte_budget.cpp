/** @file byte_budget.cpp Accounting of messages by peer. */

#include "gateway/admission/byte_budget.h"

#include <algorithm>
#include <tuple>

namespace corianderrail::gateway {

std::vector<message_id> byte_budget::Set(message_id message, sender_id sender,
                                         std::size_t bytes) {
  std::vector<message_id> ids;
  for (const given_up_message& one : Update(message, sender, {bytes, 0, {}})) {
    ids.push_back(one.message);
  }
  return ids;
}

std::vector<given_up_message> byte_budget::Update(
    message_id message, sender_id sender, const byte_progress& progress) {
  held_message& held = messages_[message];
  held.sender = sender;
  Advance(held, progress);
  total_ += progress.bytes - held.bytes;
  incomplete_[sender] += progress.bytes - held.bytes;
  held.bytes = progress.bytes;
  std::vector<given_up_message> given_up;
  while (const auto bound = Exceeded(message, sender)) {
    std::optional<message_id> next = message;
    if (*bound == byte_bound::sender) next = Slowest(sender, progress.at);
    if (*bound == byte_bound::total) next = Slowest(std::nullopt, progress.at);
    if (!next) break;
    given_up.push_back(GiveUp(*next, *bound, progress.at));
  }
  return given_up;
}

/** Measures the pace. A peer that has read all that was held at the beginning
 *  of the measurement is not behind, however little that was: the measurement
 *  begins anew with what was added since. */
void byte_budget::Advance(held_message& held,
                          const byte_progress& progress) const {
  const bool all_read =
      flow_ == byte_flow::read_by_peer && progress.moved >= held.unread;
  if (all_read) {
    held.pace = {};
    held.unread = progress.bytes;
  } else {
    held.unread -= std::min(progress.moved, held.unread);
  }
  held.pace.Advance(progress.moved, progress.at);
}

/** The narrowest bound that is exceeded after an update of a message. */
std::optional<byte_bound> byte_budget::Exceeded(message_id message,
                                                sender_id sender) const {
  const auto found = messages_.find(message);
  const bool held = found != messages_.end() && !found->second.complete;
  if (held && found->second.bytes > bounds_.message) return byte_bound::message;
  const auto of_sender = incomplete_.find(sender);
  if (of_sender != incomplete_.end() && of_sender->second > bounds_.sender) {
    return byte_bound::sender;
  }
  if (total_ > bounds_.total) return byte_bound::total;
  return std::nullopt;
}

/** The message that gives way, among those of one peer or all. */
std::optional<message_id> byte_budget::Slowest(std::optional<sender_id> of,
                                               time_point now) const {
  using order = std::tuple<duration, std::size_t, std::size_t>;
  std::optional<message_id> slowest;
  order greatest{};
  for (const auto& [id, held] : messages_) {
    if (held.complete || held.bytes == 0 || (of && held.sender != *of)) {
      continue;
    }
    const order own{held.pace.Behind(now), incomplete_.at(held.sender),
                    held.bytes};
    if (own <= greatest) continue;
    slowest = id;
    greatest = own;
  }
  return slowest;
}

given_up_message byte_budget::GiveUp(message_id message, byte_bound bound,
                                     time_point now) {
  const held_message& held = messages_.at(message);
  const given_up_message result{message, bound, held.bytes,
                                held.pace.Behind(now)};
  Remove(message);
  return result;
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
