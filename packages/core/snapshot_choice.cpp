/** @file snapshot_choice.cpp Which snapshot of a collection to query. */

#include "core/snapshot_choice.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/coverage.h"

namespace corianderrail {

namespace {

/**
 * How long a report that a service lacks a snapshot counts. A service that is
 * silent for longer may have loaded the snapshot, so the next query tries it.
 * It is twice the time for which the owner remembers the lack (500 ms), so
 * that such queries do not renew the owner's memory of it all the time.
 */
constexpr duration kReportLife = std::chrono::seconds(1);

/** Longest time that a choice is kept without a new report. */
constexpr duration kChoiceLife = std::chrono::milliseconds(20);

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

/** @return Whether this was not known. */
bool snapshot_choice::NoteLack(service_view& view, snapshot_id snapshot,
                               time_point now) {
  for (lack& known : view.lacks) {
    if (known.snapshot != snapshot || known.seen == time_point{}) continue;
    const bool expired = now - known.seen >= kReportLife;
    known.seen = now;
    return expired;
  }
  view.lacks[view.next_lack] = {snapshot, now};
  view.next_lack = (view.next_lack + 1) % view.lacks.size();
  return true;
}

/** Drops lacks of snapshots that the service has loaded since. */
void snapshot_choice::ForgetLoaded(service_view& view, snapshot_id newest) {
  for (lack& known : view.lacks) {
    if (known.snapshot > view.newest && known.snapshot <= newest) {
      known.seen = {};
    }
  }
}

/** @return Whether the service was known to lack the snapshot. */
bool snapshot_choice::ClearLack(service_view& view, snapshot_id snapshot) {
  for (lack& known : view.lacks) {
    if (known.snapshot != snapshot || known.seen == time_point{}) continue;
    known.seen = {};
    return true;
  }
  return false;
}

void snapshot_choice::OnResult(const part_result& part, snapshot_id asked,
                               time_point now) {
  if (Raw(part.service) >= services_.size()) return;
  service_view& view = services_[Raw(part.service)];
  const bool read = part.status == part_status::ok;
  const bool refused = part.status == part_status::wrong_snapshot;
  // An owner that is behind on the topology is unable to read the snapshot too,
  // but says nothing about the leafs.
  const bool unknown = part.status == part_status::unknown_part;
  bool changed = false;
  if (read) changed = ClearLack(view, asked);
  if (read || refused) {
    const snapshot_id before = view.newest;
    // Upstreams need not name their newest snapshot. Those that do not are
    // never taken to lack a newer one, so that a query tries it.
    if (part.newest != snapshot_id{}) {
      if (part.newest > before) ForgetLoaded(view, part.newest);
      view.newest = part.newest;
      view.heard = now;
    }
    if (read) view.newest = std::max(view.newest, asked);
    changed = changed || view.newest != before;
  }
  if (refused || unknown) changed = NoteLack(view, asked, now) || changed;
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
    return reported != time_point{} && now - reported < kReportLife;
  };
  if (view.newest < snapshot && counts(view.heard)) return true;
  return std::any_of(view.lacks.begin(), view.lacks.end(),
                     [&](const lack& known) {
                       return known.snapshot == snapshot && counts(known.seen);
                     });
}

std::size_t snapshot_choice::CountLacking(const partition_map& map,
                                          time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      map.partitions.begin(), map.partitions.end(), [&](const partition& part) {
        return Lacks(part.service, map.snapshot, now);
      }));
}

/** Fewest services lacking it; the newer one of equals. */
snapshot_choice::candidate snapshot_choice::Choose(
    collection_id collection, time_point now, const partition_map* but) const {
  candidate best;
  const auto& maps = collections_[Raw(collection)].maps;
  for (auto map = maps.rbegin(); map != maps.rend(); ++map) {
    if (*map == but) continue;
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
    view.until = now + kChoiceLife;
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
  // A snapshot that is no longer published is lacked by more and more leafs.
  if (other.map == nullptr || current == nullptr) return other.map;
  const std::size_t lacking = CountLacking(*current, now);
  const bool newer = other.map->snapshot > pinned;
  const bool better =
      newer ? other.lacking <= lacking : other.lacking < lacking;
  return better ? other.map : nullptr;
}

}  // namespace corianderrail
