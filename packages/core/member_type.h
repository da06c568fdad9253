/** @file member_type.h Members of the fleet. */

#pragma once

#include <cstdint>
#include <string>

#include "core/id_type.h"

namespace corianderrail {

/** State of a member, from best to worst. */
enum class member_state : std::uint8_t { alive, suspect, leaving, gone };

/** One member as it travels between hosts. */
struct member_record {
  host_ref ref;                ///< Host and life.
  std::uint32_t version = 0;   ///< Raised by the member itself to refute.
  member_state state{};        ///< State claimed.
  bool ready = false;          ///< It takes callers and owns services.
  bool busy = false;           ///< Other hosts should take some of its callers.
  std::string peer_address;    ///< IP number and port for hosts.
  std::string caller_address;  ///< IP number and port for callers.
  std::string zone;            ///< Availability zone.
  std::string region;          ///< Region.
  std::uint32_t capacity = 0;  ///< Relative weight for address answers.
  revision_id revision{};      ///< Contract revision last heard of.

  bool operator==(const member_record&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(ref, version, state, ready, busy, peer_address, caller_address, zone,
          region, capacity, revision);
  }
};

}  // namespace corianderrail
