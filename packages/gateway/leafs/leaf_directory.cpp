/** @file leaf_directory.cpp Registration, restart and removal of leafs. */

#include "gateway/leafs/leaf_directory.h"

#include <algorithm>
#include <utility>

namespace corianderrail::gateway {

namespace {

/** Share of the drain time in which a leaving leaf gets requests. The rest is
 *  for the way to the leaf and for its work. */
constexpr int kSendNumerator = 85;
constexpr int kSendDenominator = 100;

/**
 * Since when a leaf without an entry leaves, at the earliest. After an outage
 * of the registry, the entries of sound leafs may have lapsed; they return
 * within the time that a leaving leaf is given.
 */
time_point RemovedSince(const registry_timing& timing, time_point now) {
  return timing.after_outage ? now : timing.changed_after;
}

}  // namespace

leaf_directory::leaf_directory(leaf_directory_settings settings)
    : settings_(settings) {}

std::vector<leaf_handle> leaf_directory::Apply(const registry_change& change,
                                               const registry_timing& timing,
                                               time_point now) {
  std::vector<leaf_handle> ended;
  const auto known = by_key_.find(change.key);
  leaf_state* leaf = known == by_key_.end() ? nullptr : known->second;
  if (!change.record) {
    if (leaf != nullptr) {
      SetListing(*leaf, listing::removed, RemovedSince(timing, now));
    }
    return ended;
  }
  if (leaf != nullptr && IsOtherProcess(leaf->record, *change.record)) {
    ended.push_back(leaf->handle);
    Drop(leaf->handle, now);
    leaf = nullptr;
  }
  if (leaf == nullptr) {
    Add(change.key, *change.record, timing, now);
    return ended;
  }
  leaf->record = *change.record;
  leaf->boot = BootOf(leaf->record);
  leaf->replaced = false;
  leaf->cold_until = now + change.record->cold_left;
  leaf->cold.OnEntry(change.record->cold_left, timing.changed_after, now);
  SetListing(*leaf,
             change.record->draining ? listing::draining : listing::listed,
             timing.changed_after);
  return ended;
}

leaf_state& leaf_directory::Add(const std::string& key,
                                const leaf_record& record,
                                const registry_timing& timing, time_point now) {
  auto fresh = memory_.Take(key, record);
  const bool is_new = !fresh;
  if (is_new) {
    fresh = std::make_unique<leaf_state>();
    fresh->monitor = leaf_monitor(settings_.performance);
  }
  leaf_state& leaf = *fresh;
  if (is_new && record.born_unix_ms != 0) leaf.cold.OnStarted(now);
  leaf.cold.OnEntry(record.cold_left, timing.changed_after, now);
  leaf.handle = leaf_handle{next_handle_++};
  leaf.key = key;
  leaf.record = record;
  leaf.boot = BootOf(record);
  leaf.replaced = false;
  // Whoever is first seen draining may have done so for long.
  SetListing(leaf, record.draining ? listing::draining : listing::listed,
             time_point{});
  leaf.cold_until = now + record.cold_left;
  by_key_[key] = &leaf;
  by_service_[record.service].push_back(&leaf);
  leafs_.emplace(leaf.handle, std::move(fresh));
  return leaf;
}

void leaf_directory::SetListing(leaf_state& leaf, listing listed,
                                time_point since) {
  leaf.listed = listed;
  if (listed == listing::listed) {
    leaf.departure.OnListed();
  } else {
    leaf.departure.OnUnlisted(since);
  }
}

/** Drops a registration and keeps what is known of its leaf. */
void leaf_directory::Drop(leaf_handle handle, time_point now) {
  const auto found = leafs_.find(handle);
  std::unique_ptr<leaf_state> leaf = std::move(found->second);
  leafs_.erase(found);
  by_key_.erase(leaf->key);
  const auto service = by_service_.find(leaf->record.service);
  if (service != by_service_.end()) {
    std::erase(service->second, leaf.get());
    if (service->second.empty()) by_service_.erase(service);
  }
  memory_.Keep(std::move(leaf), now);
}

std::span<leaf_state* const> leaf_directory::LeafsOf(
    std::string_view service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {};
  return found->second;
}

leaf_state* leaf_directory::Find(leaf_handle handle) {
  const auto found = leafs_.find(handle);
  return found == leafs_.end() ? nullptr : found->second.get();
}

const leaf_state* leaf_directory::FindKey(const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

time_point leaf_directory::SendBefore(const leaf_state& leaf) const {
  const auto since = leaf.departure.Since();
  if (!since) return kNever;
  return *since + settings_.drain_time * kSendNumerator / kSendDenominator;
}

leaf_eligibility leaf_directory::Eligibility(const leaf_state& leaf,
                                             time_point now,
                                             duration work) const {
  if (leaf.replaced) return leaf_eligibility::unusable;
  if (leaf.monitor.OnProbation()) return leaf_eligibility::unusable;
  if (const auto since = leaf.departure.Since()) {
    const bool in_time =
        now < SendBefore(leaf) && now + work < *since + settings_.drain_time;
    return in_time ? leaf_eligibility::last_resort : leaf_eligibility::unusable;
  }
  return leaf.monitor.Stalled(now) ? leaf_eligibility::stalled
                                   : leaf_eligibility::healthy;
}

void leaf_directory::OnEvacuationEnd(std::string_view zone, time_point now) {
  Visit([&](leaf_state& leaf) {
    if (leaf.record.zone == zone) leaf.cold.OnEvacuationEnd(now);
  });
}

std::vector<leaf_handle> leaf_directory::RemoveExpired(time_point now) {
  std::vector<leaf_handle> ended;
  for (const auto& [handle, leaf] : leafs_) {
    if (leaf->listed != listing::removed) continue;
    if (now < SendBefore(*leaf)) continue;
    if (leaf->monitor.Open() == 0) ended.push_back(handle);
  }
  for (const leaf_handle handle : ended) Drop(handle, now);
  memory_.Expire(now);
  return ended;
}

}  // namespace corianderrail::gateway
