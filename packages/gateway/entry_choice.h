/** @file entry_choice.h Which hosts a client is told to connect to. */

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_type.h"

namespace corianderrail::gateway {

/**
 * Addresses of ready hosts nearest to the client: those of its zone, else of
 * its region, else all. When no host is ready, those that are still alive.
 * @param most Most addresses in the answer.
 */
std::vector<std::string> ChooseEntries(std::span<const member_record> members,
                                       std::string_view zone,
                                       std::string_view region,
                                       std::size_t most);

}  // namespace corianderrail::gateway
