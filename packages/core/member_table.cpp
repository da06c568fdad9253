/** @file member_table.cpp Precedence of records and order of probing. */

#include "core/member_table.h"

#include <algorithm>
#include <utility>

namespace corianderrail {

bool Supersedes(const member_record& fresh, const member_record& held) {
  if (fresh.ref.incarnation != held.ref.incarnation) {
    return fresh.ref.incarnation > held.ref.incarnation;
  }
  if (fresh.version != held.version) return fresh.version > held.version;
  return fresh.state > held.state;
}

member_table::member_table(std::string zone, std::string region)
    : zone_(std::move(zone)), region_(std::move(region)) {}

member_distance member_table::DistanceOf(const member_record& record) const {
  if (record.zone == zone_) return member_distance::zone;
  return record.region == region_ ? member_distance::region
                                  : member_distance::fleet;
}

member_entry* member_table::Find(host_id host) {
  const auto found = entries_.find(host);
  return found == entries_.end() ? nullptr : &found->second;
}

const member_entry* member_table::Find(host_id host) const {
  const auto found = entries_.find(host);
  return found == entries_.end() ? nullptr : &found->second;
}

member_entry& member_table::Add(const member_record& record,
                                random_source& random) {
  const host_id host = record.ref.host;
  std::vector<host_id>& order = OrderOf(DistanceOf(record)).hosts;
  order.push_back(host);
  std::swap(order[random.Below(order.size())], order.back());
  member_entry& entry = entries_[host];
  SetRecord(entry, record);
  return entry;
}

void member_table::Remove(host_id host) {
  for (probe_order& order : orders_) std::erase(order.hosts, host);
  suspects_.erase(host);
  gone_.erase(host);
  entries_.erase(host);
}

void member_table::SetRecord(member_entry& entry, const member_record& record) {
  entry.record = record;
  SetDeadline(entry, kNever);
  if (record.state == member_state::gone) {
    gone_.insert(record.ref.host);
  } else {
    gone_.erase(record.ref.host);
  }
}

void member_table::SetDeadline(member_entry& entry, time_point deadline) {
  entry.deadline = deadline;
  entry.last_probe_sent = false;
  if (deadline == kNever) {
    suspects_.erase(entry.record.ref.host);
  } else {
    suspects_.insert(entry.record.ref.host);
  }
}

/** Probes each member once per pass over the shuffled order, which bounds the
 *  time until a failure is detected. */
member_entry* member_table::NextToProbe(member_distance distance,
                                        random_source& random) {
  probe_order& order = OrderOf(distance);
  for (std::size_t tries = 0; tries < order.hosts.size(); ++tries) {
    if (order.position >= order.hosts.size()) {
      std::shuffle(order.hosts.begin(), order.hosts.end(), random);
      order.position = 0;
    }
    member_entry* entry = Find(order.hosts[order.position++]);
    if (entry->record.state != member_state::gone) return entry;
  }
  return nullptr;
}

std::vector<member_entry*> member_table::SampleAt(member_distance distance,
                                                  std::size_t count,
                                                  host_id except,
                                                  random_source& random) {
  std::vector<member_entry*> result;
  const std::vector<host_id>& order = OrderOf(distance).hosts;
  if (order.empty()) return result;
  // Consecutive members of a shuffled order are a random sample.
  const std::size_t start = random.Below(order.size());
  for (std::size_t i = 0; i < order.size() && result.size() < count; ++i) {
    member_entry* entry = Find(order[(start + i) % order.size()]);
    if (entry->record.state == member_state::gone) continue;
    if (entry->record.ref.host != except) result.push_back(entry);
  }
  return result;
}

std::vector<member_entry*> member_table::Sample(std::size_t count,
                                                host_id except,
                                                random_source& random) {
  std::vector<member_entry*> result;
  for (std::size_t i = 0; i < kMemberDistances; ++i) {
    const auto some = SampleAt(member_distance{static_cast<std::uint8_t>(i)},
                               count, except, random);
    result.insert(result.end(), some.begin(), some.end());
  }
  std::shuffle(result.begin(), result.end(), random);
  if (result.size() > count) result.resize(count);
  return result;
}

}  // namespace corianderrail
