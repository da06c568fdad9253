/** @file cost_scenario.h Measures the cost of the reducer and runs orders. */

#pragma once

#include <cstdint>
#include <string>

namespace corianderrail::bench {

/** Number of memory allocations of this process so far. */
std::uint64_t Allocations();

/** Measures the cost per leaf request for several numbers of leafs per query.
 *  Prints one line for each number and one line for the growth of the cost.
 *  @return Whether the growth met its target. */
bool RunCost(std::uint32_t seeds);

/** Sends orders under all faults, in short runs with consecutive seeds, until
 *  `orders` were sent. Prints one line. @return Whether the target was met. */
bool RunOrderScenario(std::uint64_t first_seed, std::uint64_t orders);

}  // namespace corianderrail::bench
