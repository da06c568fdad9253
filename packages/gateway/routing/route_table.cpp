/** @file route_table.cpp Longest-prefix match over the routes of a host. */

#include "gateway/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace corianderrail::gateway {

route_table::route_table(std::shared_ptr<const routing_config> config)
    : config_(std::move(config)) {
  for (const route& one : config_->routes) {
    hosts_[one.host].insert_or_assign(one.prefix, &one);
    for (const std::string& region : one.residency) {
      region_set& homes = homes_[one.host];
      if (std::find(homes.begin(), homes.end(), region) == homes.end())
        homes.push_back(region);
    }
  }
}

const region_set& route_table::HomesOf(std::string_view host) const {
  static const region_set none;
  const auto found = homes_.find(host);
  return found == homes_.end() ? none : found->second;
}

// Looks up the prefixes of the path that end with a slash, longest first; the
// prefix of a route always ends with a slash. A path has few such prefixes,
// while a host may have thousands of routes.
const route* route_table::Find(std::string_view host,
                               std::string_view path) const {
  const auto routes = hosts_.find(host);
  if (routes == hosts_.end()) return nullptr;
  std::size_t cut = path.rfind('/');
  while (cut != std::string_view::npos) {
    const auto found = routes->second.find(path.substr(0, cut + 1));
    if (found != routes->second.end()) return found->second;
    if (cut == 0) break;
    cut = path.rfind('/', cut - 1);
  }
  return nullptr;
}

}  // namespace corianderrail::gateway
