/** @file contract_fetch.cpp Reads of contract documents with retries. */

#include "core/contract_fetch.h"

#include <algorithm>

namespace corianderrail {

namespace {

// An answer that takes longer is taken for lost.
constexpr duration kAnswerTimeout = std::chrono::seconds(5);

constexpr duration kRetryMin = std::chrono::milliseconds(500);
constexpr duration kRetryMax = std::chrono::seconds(20);

// A replica of the service may lag behind the head; a document counts as
// missing only after this many answers without it.
constexpr std::uint32_t kAbsentLimit = 5;

}  // namespace

void contract_fetch::Begin(revision_id revision, time_point now,
                           effect_list& effects) {
  Stop();
  revision_ = revision;
  const std::string key = "contracts/set/" + std::to_string(Raw(revision));
  Want(std::span(&key, 1), now, effects);
}

void contract_fetch::Want(std::span<const std::string> keys, time_point now,
                          effect_list& effects) {
  for (const std::string& key : keys) {
    const auto [found, added] = wanted_.try_emplace(key);
    if (added) Ask(key, found->second, now, effects);
  }
}

void contract_fetch::Ask(const std::string& key, wanted_document& wanted,
                         time_point now, effect_list& effects) {
  wanted.next = now + kAnswerTimeout;
  effects.push_back(read_config_effect{key, 0, duration{}});
}

bool contract_fetch::OnValue(const config_value_event& value, time_point now) {
  const auto found = wanted_.find(value.key);
  if (found == wanted_.end()) return false;
  if (value.reachable && value.found) {
    documents_.push_back({value.key, value.bytes});
    wanted_.erase(found);
    return wanted_.empty();
  }
  wanted_document& wanted = found->second;
  if (value.reachable) ++wanted.absent;
  const std::uint32_t doublings = std::min<std::uint32_t>(wanted.failures, 6);
  ++wanted.failures;
  wanted.next = now + std::min(kRetryMin * (1U << doublings), kRetryMax);
  return false;
}

void contract_fetch::Stop() {
  revision_ = revision_id{};
  wanted_.clear();
  documents_.clear();
}

void contract_fetch::OnTick(time_point now, effect_list& effects) {
  for (auto& [key, wanted] : wanted_) {
    if (now >= wanted.next) Ask(key, wanted, now, effects);
  }
}

time_point contract_fetch::NextWake() const {
  time_point wake = kNever;
  for (const auto& [key, wanted] : wanted_) wake = std::min(wake, wanted.next);
  return wake;
}

bool contract_fetch::IsMissing() const {
  return std::any_of(wanted_.begin(), wanted_.end(), [](const auto& entry) {
    return entry.second.absent == kAbsentLimit;
  });
}

}  // namespace corianderrail
