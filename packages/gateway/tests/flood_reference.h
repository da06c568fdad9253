/** @file flood_reference.h Upper bound of what leafs can answer in time. */

#pragma once

#include <map>
#include <string>
#include <vector>

#include "flood_simulation.h"

namespace corianderrail::gateway {

/** What an omniscient scheduler could earn. */
struct flood_reference {
  double total = 0;             ///< Value of all kinds.
  std::vector<double> in_time;  ///< Answers in time by kind.
};

/**
 * Upper bound of the value that any scheduler reaches which knows all arrivals,
 * work times, speeds and pauses in advance. It is the optimum of a fluid model:
 * the leafs of a service are one server with their summed speed, work may be
 * divided at will, and nothing waits. Each query runs on at least the minimum
 * share of its shards; a scheduler leaves out shards where that is cheapest.
 *
 * The rule of ranks binds the scheduler too: no kind is served more than
 * `kRankTolerance` more often than a more urgent one.
 *
 * @param capacity Of each service, from flood_simulation::ServiceCapacity().
 */
flood_reference AttainableValue(const flood_setup& setup,
                                const std::map<std::string, double>& capacity,
                                const std::vector<flood_result>& offered,
                                duration length);

/** Goodput: value of the answers in time, also of those after a refusal. */
double InTimeValue(const flood_setup& setup,
                   const std::vector<flood_result>& results);

/** What clients get: the same with late answers, and with the mean of both
 *  values for answers after a refusal. */
double EarnedValue(const flood_setup& setup,
                   const std::vector<flood_result>& results);

}  // namespace corianderrail::gateway
