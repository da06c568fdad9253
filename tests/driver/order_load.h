/** @file order_load.h Orders under faults, checked against the leafs. */

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/random.h"
#include "driver/deployment.h"
#include "driver/virtual_fleet.h"

namespace corianderrail::driver {

/** Length and faults of one run. */
struct order_run_settings {
  std::uint64_t seed = 1;                     ///< Seed of everything.
  std::uint32_t orders = 5000;                ///< Orders sent.
  duration length = std::chrono::seconds(5);  ///< Time of sending.
  duration settle = std::chrono::seconds(8);  ///< Healthy time at the end.
  bool faults = true;                         ///< With all faults.
};

/** What a run counted. */
struct order_run_result {
  std::uint64_t sent = 0;           ///< Orders with an identifier.
  std::uint64_t ran = 0;            ///< Orders that leafs ran.
  std::uint64_t run_twice = 0;      ///< Orders that leafs ran more than once.
  std::uint64_t wrong_not_run = 0;  ///< Refused with not_run, but ran.
  std::uint64_t wrong_ran = 0;      ///< Answered as ran, but did not run.
  std::uint64_t answered_ran = 0;   ///< Orders answered as ran.
  std::uint64_t answered_not_run = 0;  ///< Orders answered as not run.
  std::uint64_t answered_unknown = 0;  ///< Orders answered as unknown.
  std::uint64_t unanswered = 0;        ///< Calls without any answer at the end.
  std::uint64_t repeated = 0;          ///< Calls answered more than once.
};

/** Runs orders over a small fleet of the tier. */
order_run_result RunOrders(const order_run_settings& settings);

}  // namespace corianderrail::driver
