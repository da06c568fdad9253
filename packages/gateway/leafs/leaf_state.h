/** @file leaf_state.h What a host knows of one registration of a leaf. */

#pragma once

#include <string>

#include "core/id_type.h"
#include "gateway/leafs/cold_time.h"
#include "gateway/leafs/leaf_departure.h"
#include "gateway/leafs/leaf_monitor.h"
#include "gateway/leafs/permit_use.h"
#include "gateway/leafs/registry_type.h"
#include "gateway/message_type.h"

namespace corianderrail::gateway {

/** State of a leaf in the registry. */
enum class listing : std::uint8_t {
  listed,    ///< Accepts requests.
  draining,  ///< Announced that it will stop.
  removed,   ///< No longer listed.
};

/** One registration of a leaf, with its health. */
struct leaf_state {
  leaf_handle handle{};  ///< Never reused.
  std::string key;       ///< Key in the registry.
  leaf_record record;    ///< Latest registry entry.
  leaf_boot boot{};      ///< Of `record`; the same on all hosts.
  listing listed = listing::listed;
  leaf_departure departure;  ///< Since when it leaves.
  time_point cold_until{};   ///< End of its slow start.
  cold_time cold;            ///< Until when its rate is limited.
  permit_use permits;        ///< Requests that ended a short time ago.
  bool cold_logged = false;  ///< The begin of the cold time was logged.
  bool replaced = false;     ///< Another leaf answers at its address.
  bool connecting = false;   ///< A connect_leaf_effect is pending.
  leaf_monitor monitor;      ///< Health by this host's requests.
};

/** Identifier of the process of a record, the same on all hosts. */
leaf_boot BootOf(const leaf_record& record);

/** True for records of different processes: a restart, or another leaf. */
bool IsOtherProcess(const leaf_record& a, const leaf_record& b);

}  // namespace corianderrail::gateway
