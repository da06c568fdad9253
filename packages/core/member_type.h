/** @file member_type.h State and record of a fleet member. */

#pragma once

#include <cstdint>
#include <string>

#include "core/id_type.h"

namespace corianderrail {

/** State of a member. For the same incarnation and version, a higher value
 *  takes precedence. */
enum class member_state : std::uint8_t { alive, suspect, leaving, gone };

/** Record of one member as exchanged between hosts. */
struct member_record {
  host_ref ref;  ///< Host and incarnation.
  std::uint32_t version =
      0;  ///< Incremented by the member for changes and refutations.
  member_state state{};      ///< Initially alive.
  bool ready = false;        ///< Serves callers and may own services.
  bool busy = false;         ///< Other hosts should serve some of its callers.
  std::string peer_address;  ///< IP number and port for hosts.
  std::string caller_address;  ///< IP number and port for callers.
  std::string zone;            ///< Availability zone.
  std::string region;          ///< Region that contains the zone.
  std::uint32_t capacity =
      0;  ///< Relative weight in address answers; 0 counts as 1.
  revision_id revision{};  ///< Contract revision last reported.

  bool operator==(const member_record&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(ref, version, state, ready, busy, peer_address, caller_address, zone,
          region, capacity, revision);
  }
};

}  // namespace corianderrail
