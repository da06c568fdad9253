/**
 * @file fleet_view.cpp Counts hosts and entry hosts.
 *
 * A host that has just started knows few members. After all hosts lost power it
 * would take the limits of a leaf for itself, as would each of the others, and
 * leafs would reset the connections beyond their limit. Until more are known,
 * each zone is therefore assumed to have its minimum number of entry hosts.
 */

#include "gateway/hosts/fleet_view.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace corianderrail::gateway {

fleet_view::fleet_view(location here, std::string self, entry_settings settings)
    : here_(std::move(here)), self_(std::move(self)), settings_(settings) {}

fleet_view::entry_count fleet_view::AssumedEntries() const {
  const auto per_zone = static_cast<std::uint32_t>(settings_.spare_hosts);
  entry_count assumed;
  for (const auto& [zone, region] : here_.regions) {
    (region == here_.region ? assumed.own_region : assumed.other_regions) +=
        per_zone;
  }
  assumed.own_region = std::max(assumed.own_region, per_zone);
  return assumed;
}

std::uint32_t fleet_view::Regions() const {
  std::set<std::string_view> regions{here_.region};
  for (const auto& [zone, region] : here_.regions) regions.insert(region);
  return static_cast<std::uint32_t>(regions.size());
}

fleet_event fleet_view::Update(std::span<const member_record> members,
                               bool starting) {
  fleet_event event;
  event.is_entry = false;
  entry_count entries;
  for (const auto& [zone, region] : here_.regions) {
    const auto active = ActiveEntries(members, zone, settings_);
    const auto count = static_cast<std::uint32_t>(active.size());
    (region == here_.region ? entries.own_region : entries.other_regions) +=
        count;
    event.is_entry |= std::any_of(
        active.begin(), active.end(),
        [&](const member_record* one) { return one->peer_address == self_; });
  }
  const entry_count assumed = starting ? AssumedEntries() : entry_count{1, 0};
  entries.own_region = std::max(entries.own_region, assumed.own_region);
  entries.other_regions =
      std::max(entries.other_regions, assumed.other_regions);
  const std::uint32_t total = entries.own_region + entries.other_regions;
  const auto hosts = static_cast<std::uint32_t>(std::count_if(
      members.begin(), members.end(),
      [](const auto& member) { return member.state != member_state::gone; }));
  max_entries_ = std::max(max_entries_, total);
  max_hosts_ = std::max({max_hosts_, hosts, total});
  for (const member_record& member : members) {
    if (member.zone != here_.zone || member.state == member_state::gone) {
      continue;
    }
    event.zone_hosts.push_back({member.ref.host, member.capacity,
                                member.state == member_state::leaving,
                                member.peer_address == self_});
  }
  event.hosts = max_hosts_;
  event.entries = max_entries_;
  event.own_region = {entries.own_region, entries.other_regions};
  // Entry hosts are assumed to be spread evenly over the regions, so a leaf in
  // another region has this number of them in its own region.
  const std::uint32_t per_region = total / Regions();
  event.other_regions = {per_region, std::max(total - per_region, 1u)};
  return event;
}

}  // namespace corianderrail::gateway
