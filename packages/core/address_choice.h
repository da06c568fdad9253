/** @file address_choice.h Which entry addresses a caller is told. */

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
      std::chrono::seconds(5);  ///< Callers keep it so long.
  std::uint32_t addresses = 3;  ///< Most per answer.
};

/**
 * Drops members without a seat, which have no share of any limit and refuse
 * every caller. While no ready member holds a seat, all members are kept, so
 * that a caller still gets an address to ask again.
 */
std::vector<member_record> EntryMembers(
    std::vector<member_record> members,
    const std::function<bool(host_id)>& holds_seat);

/**
 * Picks live, ready hosts for a customer: near the caller's zone first,
 * a stable few by weighted rendezvous hashing on the customer.
 */
std::vector<entry_address> ChooseAddresses(
    std::span<const member_record> members, std::string_view customer,
    std::string_view zone, const address_settings& settings);

}  // namespace corianderrail
