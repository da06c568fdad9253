/** @file entry_choice.h Selects the hosts that clients connect to. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_type.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/** Number of hosts of a zone that take clients. */
struct entry_settings {
  std::size_t spare_hosts = 2;  ///< Minimum number of hosts that are not busy.
};

/** Where a client is, and where its requests may run. */
struct client_place {
  std::string zone;    ///< Availability zone of the client.
  std::string region;  ///< Region of the client.
  /** Home regions of the routes that it asks for; empty if there are none. */
  std::span<const std::string> homes;
};

/**
 * Hosts of one zone that take its clients. They are chosen by capacity, in the
 * same order on all hosts, until enough of them are not busy. If there are too
 * few, all ready hosts are returned. While only a minority of the hosts is
 * ready, the others are eligible too.
 */
std::vector<const member_record*> ActiveEntries(
    std::span<const member_record> members, std::string_view zone,
    const entry_settings& settings);

/**
 * Whether a host answers lookups.
 * @param joined It has heard of other hosts, or there are none.
 * @param age Time since it started.
 */
bool AnswersLookups(bool joined, duration age);

/**
 * Addresses for a client: the active hosts of its zone, otherwise the ready
 * hosts of its region, otherwise those of the home regions, or of all regions
 * if there are no home regions. If no host is ready, hosts that are suspect,
 * not ready or leaving are used. With home regions, hosts that are neither in
 * one nor in the client's region follow after all those that are ready or
 * start, since they could only pass the requests back over a long way.
 * @param max_addresses Maximum number of addresses.
 */
std::vector<std::string> ChooseEntries(std::span<const member_record> members,
                                       const client_place& client,
                                       const entry_settings& settings,
                                       std::size_t max_addresses);

}  // namespace corianderrail::gateway
