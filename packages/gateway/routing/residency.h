/** @file residency.h Regions in which a request may run. */

#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

struct location;

/**
 * Home regions of a request. It takes several sets of regions and enforces all
 * of them: those of the route, of each newer configuration that narrows them,
 * and of accounts once the configuration has them.
 */
class residency {
 public:
  /** Enforces a set too. A set without regions permits all of them.
   *  @return True when a region that was permitted no longer is. */
  bool Require(std::shared_ptr<const region_set> regions);

  /** True without any restriction. */
  bool Unrestricted() const { return sets_.empty(); }

  /** True when each set has the region; an empty name is no region. */
  bool PermitsRegion(std::string_view region) const;

  /** Regions that all sets have, with commas; empty without a restriction, "-"
   *  when there is none. */
  std::string Names() const;

  /** True when the region of a zone is permitted. A zone that `here` does not
   *  know is in no region. */
  bool PermitsZone(std::string_view zone, const location& here) const;

 private:
  std::vector<std::shared_ptr<const region_set>> sets_;  ///< Never empty ones.
};

/** Home regions of a route; they share the ownership of its configuration. */
std::shared_ptr<const region_set> HomesOf(
    const std::shared_ptr<const routing_config>& config, const route& one);

}  // namespace corianderrail::gateway
