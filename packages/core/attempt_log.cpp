/** @file attempt_log.cpp Deduplication of order attempts at an owner. */

#include "core/attempt_log.h"

#include <algorithm>
#include <utility>

namespace corianderrail {

bool attempt_log::OutsideWindow(const home_window& home,
                                std::uint64_t sequence) const {
  if (sequence < home.first_kept) return true;
  return home.highest > window_ && sequence < home.highest - window_;
}

void attempt_log::Trim(home_window& home) const {
  while (home.arrived.size() > window_) {
    const std::uint64_t oldest = home.arrived.front();
    const auto found = home.records.find(oldest);
    if (found != home.records.end()) {
      if (found->second.pending) return;
      home.records.erase(found);
    }
    home.arrived.pop_front();
    home.first_kept = std::max(home.first_kept, oldest + 1);
  }
}

attempt_verdict attempt_log::Register(const order_id& id, std::uint32_t attempt,
                                      service_id service) {
  home_window& home = homes_[id.home.host];
  if (id.home.incarnation < home.incarnation) return attempt_verdict::unknown;
  if (id.home.incarnation > home.incarnation) {
    // The previous incarnation has ended, so its outcomes are not needed. Its
    // identifiers stay refused because their incarnation is lower.
    home = home_window{};
    home.incarnation = id.home.incarnation;
  }
  const auto found = home.records.find(id.sequence);
  if (found == home.records.end()) {
    if (OutsideWindow(home, id.sequence)) return attempt_verdict::unknown;
    attempt_record record;
    record.attempt = attempt;
    record.service = service;
    home.records.emplace(id.sequence, std::move(record));
    home.arrived.push_back(id.sequence);
    home.highest = std::max(home.highest, id.sequence);
    Trim(home);
    return attempt_verdict::run;
  }
  attempt_record& record = found->second;
  if (attempt < record.attempt) return attempt_verdict::ignore;
  const bool newer = attempt > record.attempt;
  record.attempt = attempt;
  record.service = service;
  if (record.pending) return attempt_verdict::wait;
  // The home increments the attempt only after an owner answered not_run.
  if (newer && record.outcome == run_state::not_run) {
    record.pending = true;
    return attempt_verdict::run;
  }
  return attempt_verdict::recorded;
}

const attempt_record* attempt_log::Find(const order_id& id) const {
  const auto home = homes_.find(id.home.host);
  if (home == homes_.end()) return nullptr;
  if (home->second.incarnation != id.home.incarnation) return nullptr;
  const auto found = home->second.records.find(id.sequence);
  return found == home->second.records.end() ? nullptr : &found->second;
}

void attempt_log::Finish(const order_id& id, run_state outcome,
                         refusal_reason reason, std::string payload) {
  const auto home = homes_.find(id.home.host);
  if (home == homes_.end()) return;
  if (home->second.incarnation != id.home.incarnation) return;
  const auto found = home->second.records.find(id.sequence);
  if (found == home->second.records.end() || !found->second.pending) return;
  found->second.pending = false;
  found->second.outcome = outcome;
  found->second.reason = reason;
  found->second.payload = std::move(payload);
}

}  // namespace corianderrail
