/** @file registry_type.h Leafs as the registry lists them. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** One registration of a leaf. */
struct leaf_record {
  std::string instance;     ///< Identifier of the leaf.
  std::string service;      ///< Service that it belongs to.
  std::string address;      ///< IP number and port.
  std::string zone;         ///< Availability zone.
  std::uint32_t slots = 1;  ///< Requests that it runs at the same time.
  bool draining = false;    ///< It is leaving.
  duration cold_left{};     ///< How much longer it is slow after its start.
  std::int64_t born_unix_ms = 0;  ///< Start of its process; 0 when unknown.

  bool operator==(const leaf_record&) const = default;
};

/** One change of the registry, in order of revision. */
struct registry_change {
  std::string key;                    ///< Key in the registry.
  std::uint64_t revision = 0;         ///< Rises with each change.
  std::optional<leaf_record> record;  ///< Empty: removed or unusable.
  bool unusable = false;  ///< The value could not be read as a leaf.
};

}  // namespace corianderrail::gateway
