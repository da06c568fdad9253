/** @file address_choice.h Choice of entry addresses for a caller. */

#pragma once

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "core/effect_type.h"
#include "core/member_type.h"

namespace corianderrail {

/** Timing and size of address answers. */
struct address_settings {
  duration time_to_live =
      std::chrono::seconds(5);  ///< Callers cache an answer this long.
  std::uint32_t addresses = 3;  ///< Maximum per answer.
};

/**
 * Removes members without a seat. They have no share of any rate limit and
 * would refuse every request. If no ready member holds a seat, all members are
 * kept, so that a caller still gets an address to which it can send a retry.
 * @param holds_seat Whether a host holds a seat of the contract set in force.
 */
std::vector<member_record> EntryMembers(
    std::vector<member_record> members,
    const std::function<bool(host_id)>& holds_seat);

/**
 * Chooses alive and ready hosts: those of the caller's zone first, then those
 * of its region. Among equally near hosts, weighted rendezvous hashing on the
 * customer keeps the choice stable.
 * @param zone Caller's availability zone; may be empty.
 * @return Best first; suspect hosts only when no alive host is ready.
 */
std::vector<entry_address> ChooseAddresses(
    std::span<const member_record> members, std::string_view customer,
    std::string_view zone, const address_settings& settings);

}  // namespace corianderrail
