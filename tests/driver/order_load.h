/** @file order_load.h Sends orders under faults and checks the answers. */

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/random.h"
#include "driver/deployment.h"
#include "driver/virtual_fleet.h"

namespace corianderrail::driver {

/** Settings of one run. */
struct order_run_settings {
  std::uint64_t seed = 1;       ///< Seed of load, faults and fleet.
  std::uint32_t orders = 5000;  ///< Order identifiers requested.
  duration length = std::chrono::seconds(5);  ///< Duration of the load.
  duration settle = std::chrono::seconds(8);  ///< Fault-free time at the end.
  bool faults = true;                         ///< Whether faults are injected.
};

/** Counts of one run. Whether an order ran is what the leafs recorded. */
struct order_run_result {
  std::uint64_t sent = 0;           ///< Orders that got an identifier.
  std::uint64_t ran = 0;            ///< Orders that leafs ran.
  std::uint64_t run_twice = 0;      ///< Orders that leafs ran more than once.
  std::uint64_t wrong_not_run = 0;  ///< Answered as not run, but ran.
  std::uint64_t wrong_ran = 0;      ///< Answered as ran, but did not run.
  std::uint64_t answered_ran = 0;   ///< Orders answered as ran.
  std::uint64_t answered_not_run = 0;  ///< Orders answered as not run.
  std::uint64_t answered_unknown = 0;  ///< Orders answered as unknown.
  std::uint64_t unanswered = 0;        ///< Calls that were open at the end.
  std::uint64_t repeated = 0;          ///< Calls answered more than once.
};

/** Sends orders to a small fleet and compares the answers with the runs that
 *  the leafs recorded. */
order_run_result RunOrders(const order_run_settings& settings);

}  // namespace corianderrail::driver
