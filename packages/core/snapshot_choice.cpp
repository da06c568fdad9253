/** @file snapshot_choice.cpp Chooses the snapshot that a query reads. */

#include "core/snapshot_choice.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/coverage.h"

namespace corianderrail {

namespace {

/**
 * Time for which a report that a service lacks a snapshot is valid. A service
 * without a later report may have loaded it, so the next query tries it. This
 * is twice the time for which an owner records the missing part (500 ms), so
 * that such queries do not keep renewing the record of the owner.
 */
constexpr duration kReportLifetime = std::chrono::seconds(1);

/** Longest time for which a choice is reused without a new report. */
constexpr duration kChoiceLifetime = std::chrono::milliseconds(20);

}  // namespace

void snapshot_choice::SetTopology(std::shared_ptr<const topology> value) {
  // A new topology may number the services differently.
  std::unordered_map<std::string_view, service_view> known;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    known[topology_->services[i].name] = services_[i];
  }
  services_.clear();
  collections_.clear();
  if (value) {
    services_.reserve(value->services.size());
    for (const service_info& service : value->services) {
      services_.push_back(known[service.name]);
    }
    for (const collection_info& collection : value->collections) {
      collection_view& view = collections_.emplace_back();
      for (const partition_map& map : collection.maps) {
        if (IsComplete(map)) view.maps.push_back(&map);
      }
    }
  }
  topology_ = std::move(value);
}

/** @return Whether the lack was unknown or its last report had expired. */
bool snapshot_choice::RecordMissing(service_view& view, snapshot_id snapshot,
                                    time_point now) {
  for (missing_snapshot& known : view.missing) {
    if (known.snapshot != snapshot || known.reported_at == time_point{})
      continue;
    const bool expired = now - known.reported_at >= kReportLifetime;
    known.reported_at = now;
    return expired;
  }
  view.missing[view.next_missing] = {snapshot, now};
  view.next_missing = (view.next_missing + 1) % view.missing.size();
  return true;
}

/** Removes missing snapshots that the service must have loaded since. */
void snapshot_choice::ClearLoaded(service_view& view, snapshot_id newest) {
  for (missing_snapshot& known : view.missing) {
    if (known.snapshot > view.newest && known.snapshot <= newest) {
      known.reported_at = {};
    }
  }
}

/** @return Whether the service was known to lack the snapshot. */
bool snapshot_choice::ClearMissing(service_view& view, snapshot_id snapshot) {
  for (missing_snapshot& known : view.missing) {
    if (known.snapshot != snapshot || known.reported_at == time_point{})
      continue;
    known.reported_at = {};
    return true;
  }
  return false;
}

void snapshot_choice::OnResult(const part_result& part, snapshot_id queried,
                               time_point now) {
  if (Raw(part.service) >= services_.size()) return;
  service_view& view = services_[Raw(part.service)];
  const bool read = part.status == part_status::ok;
  const bool refused = part.status == part_status::wrong_snapshot;
  // An owner with an older topology cannot read the snapshot either, but its
  // result says nothing about the leafs.
  const bool unknown = part.status == part_status::unknown_part;
  bool changed = false;
  if (read) changed = ClearMissing(view, queried);
  if (read || refused) {
    const snapshot_id before = view.newest;
    // Upstreams need not report their newest snapshot. Those that do not are
    // never assumed to lack a newer one, so that a query tries it.
    if (part.newest != snapshot_id{}) {
      if (part.newest > before) ClearLoaded(view, part.newest);
      view.newest = part.newest;
      view.reported_at = now;
    }
    if (read) view.newest = std::max(view.newest, queried);
    changed = changed || view.newest != before;
  }
  if (refused || unknown)
    changed = RecordMissing(view, queried, now) || changed;
  if (!changed) return;
  const collection_id collection =
      topology_->services[Raw(part.service)].collection;
  if (Raw(collection) < collections_.size()) {
    collections_[Raw(collection)].until = {};
  }
}

bool snapshot_choice::Lacks(service_id service, snapshot_id snapshot,
                            time_point now) const {
  if (Raw(service) >= services_.size()) return false;
  const service_view& view = services_[Raw(service)];
  const auto counts = [&](time_point reported) {
    return reported != time_point{} && now - reported < kReportLifetime;
  };
  if (view.newest < snapshot && counts(view.reported_at)) return true;
  return std::any_of(view.missing.begin(), view.missing.end(),
                     [&](const missing_snapshot& known) {
                       return known.snapshot == snapshot &&
                              counts(known.reported_at);
                     });
}

std::size_t snapshot_choice::CountLacking(const partition_map& map,
                                          time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      map.partitions.begin(), map.partitions.end(), [&](const partition& part) {
        return Lacks(part.service, map.snapshot, now);
      }));
}

/** Map with the fewest partitions whose service lacks it; of equals, the
 *  newest. */
snapshot_choice::candidate snapshot_choice::Choose(
    collection_id collection, time_point now,
    const partition_map* excluded) const {
  candidate best;
  const auto& maps = collections_[Raw(collection)].maps;
  for (auto map = maps.rbegin(); map != maps.rend(); ++map) {
    if (*map == excluded) continue;
    const std::size_t lacking = CountLacking(**map, now);
    if (best.map == nullptr || lacking < best.lacking) best = {*map, lacking};
    if (best.lacking == 0) break;
  }
  return best;
}

const partition_map* snapshot_choice::Best(collection_id collection,
                                           time_point now) {
  if (Raw(collection) >= collections_.size()) return nullptr;
  collection_view& view = collections_[Raw(collection)];
  if (view.maps.empty()) return nullptr;
  if (view.maps.size() == 1) return view.maps.front();
  if (view.best == nullptr || now >= view.until) {
    view.best = Choose(collection, now, nullptr).map;
    view.until = now + kChoiceLifetime;
  }
  return view.best;
}

const partition_map* snapshot_choice::Better(collection_id collection,
                                             snapshot_id pinned,
                                             time_point now) const {
  if (Raw(collection) >= collections_.size()) return nullptr;
  const auto& maps = collections_[Raw(collection)].maps;
  const auto present = std::find_if(
      maps.begin(), maps.end(),
      [&](const partition_map* map) { return map->snapshot == pinned; });
  const partition_map* current = present == maps.end() ? nullptr : *present;
  const candidate other = Choose(collection, now, current);
  // A snapshot that is no longer published is dropped by more and more leafs,
  // so any published one is preferred.
  if (other.map == nullptr || current == nullptr) return other.map;
  const std::size_t lacking = CountLacking(*current, now);
  const bool newer = other.map->snapshot > pinned;
  const bool better =
      newer ? other.lacking <= lacking : other.lacking < lacking;
  return better ? other.map : nullptr;
}

}  // namespace corianderrail
