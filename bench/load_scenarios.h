/** @file load_scenarios.h Scenarios with load and faults. */

#pragma once

#include <span>
#include <string_view>

#include "scenario_run.h"

namespace corianderrail::bench {

/** Kind of a scenario's target. */
enum class target_kind : std::uint8_t {
  none,
  straggler,
  background_flood,
  urgent_flood,
  replica_loss,
  slow,
  recovery,
  index_change,
};

/** A scenario; the fleet is healthy when `execute` starts. */
struct load_scenario {
  std::string_view name;           ///< Name on the command line.
  target_kind target{};            ///< How the runs are evaluated.
  std::string_view target_text;    ///< Target of section 1.6 of the design.
  void (*execute)(scenario_run&);  ///< Injects the faults and measures.
};

std::span<const load_scenario> LoadScenarios();

}  // namespace corianderrail::bench
