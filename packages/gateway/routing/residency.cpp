/**
 * @file residency.cpp Intersection of sets of regions.
 *
 * The load: most routes have no home regions, so the rule costs them nothing.
 * A query of 36 shards checks about 108 leafs, each against a few names.
 */

#include "gateway/routing/residency.h"

#include <algorithm>
#include <utility>

#include "gateway/routing/route_stats.h"

namespace corianderrail::gateway {

namespace {

bool Has(const region_set& regions, std::string_view region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

bool residency::Require(std::shared_ptr<const region_set> regions) {
  if (!regions || regions->empty()) return false;
  const bool narrows =
      sets_.empty() ||
      std::any_of(sets_.front()->begin(), sets_.front()->end(),
                  [&](const std::string& region) {
                    return PermitsRegion(region) && !Has(*regions, region);
                  });
  // A set that removes no region would only make each check longer.
  if (narrows) sets_.push_back(std::move(regions));
  return narrows;
}

bool residency::PermitsRegion(std::string_view region) const {
  if (sets_.empty()) return true;
  if (region.empty()) return false;
  return std::all_of(sets_.begin(), sets_.end(),
                     [&](const auto& set) { return Has(*set, region); });
}

std::string residency::Names() const {
  if (sets_.empty()) return {};
  std::string names;
  for (const std::string& region : *sets_.front()) {
    if (!PermitsRegion(region)) continue;
    if (!names.empty()) names += ',';
    names += region;
  }
  return names.empty() ? "-" : names;
}

bool residency::PermitsZone(std::string_view zone, const location& here) const {
  return sets_.empty() || PermitsRegion(here.RegionOf(zone));
}

std::shared_ptr<const region_set> HomesOf(
    const std::shared_ptr<const routing_config>& config, const route& one) {
  return {config, &one.residency};
}

}  // namespace corianderrail::gateway
