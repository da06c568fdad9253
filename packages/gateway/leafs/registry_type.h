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

/** When changes of the registry were made. */
struct registry_timing {
  /** They were made after this time, at which they were known to be absent. */
  time_point changed_after{};
  /** The registry was out of reach before them, so an entry may be missing only
   *  because its leaf could not renew it. */
  bool after_outage = false;
};

}  // namespace corianderrail::gateway
