/** @file decision_table.h Event names and rate limits of logged decisions. */

#pragma once

#include <array>
#include <string_view>

#include "gateway/gateway_type.h"

namespace corianderrail::edge {

/** How one kind of decision is logged. */
struct decision_row {
  std::string_view name;    ///< Value of the member "event".
  double lines_per_second;  ///< Sustained rate.
  double burst;             ///< Lines at once, after a pause.
};

/** Indexed by gateway::decision. Failures and refusals may use more lines than
 *  changes of state. At 300 bytes per line, all kinds together write less than
 *  61 KB/s sustained (202 lines per second). */
inline constexpr std::array<decision_row, gateway::kDecisions> kDecisionRows = {
    {
        {"request_refused", 40, 200}, {"answer_partial", 20, 100},
        {"answer_late", 20, 100},     {"client_left", 20, 100},
        {"request_repeated", 5, 20},  {"repeat_denied", 5, 20},
        {"leaf_suspected", 10, 50},   {"leaf_restored", 10, 50},
        {"leaf_limited", 10, 50},     {"leaf_listed", 10, 200},
        {"leaf_delisted", 10, 200},   {"leaf_leaving", 10, 200},
        {"leaf_speed", 10, 50},       {"config_in_force", 5, 20},
        {"zone_evacuated", 1, 20},    {"zone_restored", 1, 20},
        {"leaf_cold", 5, 100},        {"leaf_warm", 5, 100},
        {"connection_ended", 5, 100},
    }};

}  // namespace corianderrail::edge
