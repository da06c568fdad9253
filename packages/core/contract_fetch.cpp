/** @file contract_fetch.cpp Reads of contract documents with retries. */

#include "core/contract_fetch.h"

#include <algorithm>

namespace corianderrail {

namespace {

// A read without an answer counts as lost after this time.
constexpr duration kAnswerTimeout = std::chrono::seconds(5);

constexpr duration kRetryMin = std::chrono::milliseconds(500);
constexpr duration kRetryMax = std::chrono::seconds(20);

// A replica of the service may lag behind the one that returned the head, so a
// document counts as missing only after this many answers without it.
constexpr std::uint32_t kMaxAbsentAnswers = 5;

}  // namespace

void contract_fetch::Begin(revision_id revision, time_point now,
                           effect_list& effects) {
  Stop();
  revision_ = revision;
  const std::string key = "contracts/set/" + std::to_string(Raw(revision));
  Request(std::span(&key, 1), now, effects);
}

void contract_fetch::Request(std::span<const std::string> keys, time_point now,
                             effect_list& effects) {
  for (const std::string& key : keys) {
    const auto [found, added] = pending_.try_emplace(key);
    if (added) SendRead(key, found->second, now, effects);
  }
}

void contract_fetch::SendRead(const std::string& key, pending_document& pending,
                              time_point now, effect_list& effects) {
  pending.next = now + kAnswerTimeout;
  effects.push_back(read_config_effect{key, 0, duration{}});
}

bool contract_fetch::OnValue(const config_value_event& value, time_point now) {
  const auto found = pending_.find(value.key);
  if (found == pending_.end()) return false;
  if (value.reachable && value.found) {
    documents_.push_back({value.key, value.bytes});
    pending_.erase(found);
    return pending_.empty();
  }
  pending_document& pending = found->second;
  if (value.reachable) ++pending.absent;
  const std::uint32_t doublings = std::min<std::uint32_t>(pending.failures, 6);
  ++pending.failures;
  pending.next = now + std::min(kRetryMin * (1U << doublings), kRetryMax);
  return false;
}

void contract_fetch::Stop() {
  revision_ = revision_id{};
  pending_.clear();
  documents_.clear();
}

void contract_fetch::OnTick(time_point now, effect_list& effects) {
  for (auto& [key, pending] : pending_) {
    if (now >= pending.next) SendRead(key, pending, now, effects);
  }
}

time_point contract_fetch::NextWake() const {
  time_point wake = kNever;
  for (const auto& [key, pending] : pending_)
    wake = std::min(wake, pending.next);
  return wake;
}

bool contract_fetch::HasMissingDocument() const {
  return std::any_of(pending_.begin(), pending_.end(), [](const auto& entry) {
    return entry.second.absent == kMaxAbsentAnswers;
  });
}

}  // namespace corianderrail
