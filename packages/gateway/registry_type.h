/** @file registry_type.h Entries of the leaf registry. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** One registration of a leaf. */
struct leaf_record {
  std::string instance;     ///< Unique identifier of the leaf.
  std::string service;      ///< Service that the leaf serves.
  std::string address;      ///< IP address and port.
  std::string zone;         ///< Availability zone.
  std::uint32_t slots = 1;  ///< Requests that it runs concurrently.
  bool draining = false;    ///< The leaf announced that it will stop.
  duration cold_left{};     ///< Remaining time of its slow start.
  std::int64_t born_unix_ms =
      0;  ///< Start time of its process; 0 when unknown.

  bool operator==(const leaf_record&) const = default;
};

/** One change of the registry. */
struct registry_change {
  std::string key;                    ///< Key in the registry.
  std::uint64_t revision = 0;         ///< Increases with each change.
  std::optional<leaf_record> record;  ///< Empty when removed or unusable.
  bool unusable = false;              ///< The value could not be decoded.
};

}  // namespace corianderrail::gateway
