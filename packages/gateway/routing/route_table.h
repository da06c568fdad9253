/** @file route_table.h Finds the route of a request. */

#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

/** Index of the routes of one configuration. */
class route_table {
 public:
  explicit route_table(std::shared_ptr<const routing_config> config);

  /** Route with the longest matching prefix, or null. */
  const route* Find(std::string_view host, std::string_view path) const;

  /** Home regions of all routes with a host name; empty without any. */
  const region_set& HomesOf(std::string_view host) const;

  const routing_config& Config() const { return *config_; }
  const std::shared_ptr<const routing_config>& Shared() const {
    return config_;
  }

 private:
  /** Routes of one host, by prefix. */
  using host_routes = std::unordered_map<std::string_view, const route*>;

  std::shared_ptr<const routing_config> config_;
  std::unordered_map<std::string_view, host_routes> hosts_;
  std::unordered_map<std::string_view, region_set> homes_;  ///< By host name.
};

}  // namespace corianderrail::gateway
