/** @file entry_choice.h Which hosts clients are told to connect to. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_type.h"

namespace corianderrail::gateway {

/** How many hosts of an availability zone take clients. */
struct entry_settings {
  std::size_t spare_hosts = 2;  ///< Hosts that are not busy, at least.
};

/**
 * Hosts of one zone that take its clients: the strongest ones, in an order
 * that is the same on all hosts, up to enough that are not busy. All hosts
 * that are ready, when there are not enough.
 */
std::vector<const member_record*> ActiveEntries(
    std::span<const member_record> members, std::string_view zone,
    const entry_settings& settings);

/**
 * Addresses for a client: active hosts of its zone, else the ready hosts of
 * its region, else all. While no host is ready, those that are still alive.
 * @param most Most addresses in the answer.
 */
std::vector<std::string> ChooseEntries(std::span<const member_record> members,
                                       std::string_view zone,
                                       std::string_view region,
                                       const entry_settings& settings,
                                       std::size_t max_addresses);

}  // namespace corianderrail::gateway
