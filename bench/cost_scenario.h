/** @file cost_scenario.h Cost of the reducer per leaf request. */

#pragma once

#include <cstdint>
#include <string>

namespace corianderrail::bench {

/** Allocations of this process so far. */
std::uint64_t Allocations();

/** Prints a line for each size and a verdict; returns whether it is met. */
bool RunCost(std::uint32_t seeds);

/** Runs orders under all faults until `orders` were sent, in short runs. */
bool RunOrderScenario(std::uint64_t first_seed, std::uint64_t orders);

}  // namespace corianderrail::bench
