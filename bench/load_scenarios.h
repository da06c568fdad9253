/** @file load_scenarios.h The scenarios under load. */

#pragma once

#include <span>
#include <string_view>

#include "scenario_run.h"

namespace corianderrail::bench {

/** How a scenario is judged. */
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

/** A scenario; `play` starts in the healthy state. */
struct load_scenario {
  std::string_view name;           ///< Name on the command line.
  target_kind target{};            ///< How it is judged.
  std::string_view target_text;    ///< Target of section 1.6 of the design.
  void (*execute)(scenario_run&);  ///< Steps.
};

std::span<const load_scenario> LoadScenarios();

}  // namespace corianderrail::bench
