/** @file decisions_bench.cpp Compares the tier with two baselines under load.
 */

#include <popt.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "bench_report.h"
#include "cost_scenario.h"
#include "load_scenarios.h"

namespace corianderrail::bench {

namespace {

/** Options of the command line. */
struct bench_options {
  std::string scenario;    ///< Scenario; empty runs all.
  std::string version;     ///< Version; empty runs all.
  std::string deployment;  ///< Deployment; empty runs both.
  int first_seed = 1;      ///< First seed.
  int seeds = 5;           ///< Number of runs per line.
  int window_ms = 3000;    ///< Length of each measured window.
  int orders = 1'000'000;  ///< Orders of the scenario "orders".
  bool list = false;       ///< Prints the names of the scenarios and exits.
};

bool IsSelected(const std::string& option, std::string_view name) {
  return option.empty() || option == name;
}

void RunLine(const load_scenario& scenario, const driver::deployment_plan& plan,
             version_kind version, const bench_options& options) {
  const auto seeds = static_cast<std::uint64_t>(options.seeds);
  std::vector<run_result> runs;
  for (std::uint64_t i = 0; i < seeds; ++i) {
    run_settings settings;
    settings.plan = plan;
    settings.version = version;
    settings.seed = static_cast<std::uint64_t>(options.first_seed) + i;
    settings.window = std::chrono::milliseconds(options.window_ms);
    scenario_run run(settings);
    scenario.execute(run);
    runs.push_back(run.Finish());
  }
  std::cout << ReportLine(scenario, plan.name, version, runs) << std::endl;
}

void RunLoad(const bench_options& options) {
  for (const load_scenario& scenario : LoadScenarios()) {
    if (!IsSelected(options.scenario, scenario.name)) continue;
    for (const auto& plan : {driver::Peachline(), driver::Heizventil()}) {
      if (!IsSelected(options.deployment, plan.name)) continue;
      for (const version_kind version : kVersions) {
        const auto index = static_cast<std::size_t>(version);
        if (!IsSelected(options.version, kVersionNames[index])) continue;
        RunLine(scenario, plan, version, options);
      }
    }
  }
}

bool ParseOptions(int argc, const char** argv, bench_options& options) {
  char* scenario = nullptr;
  char* version = nullptr;
  char* deployment = nullptr;
  int list = 0;
  const std::array<poptOption, 10> table = {{
      {"scenario", 's', POPT_ARG_STRING, &scenario, 0, "one scenario", "NAME"},
      {"version", 'v', POPT_ARG_STRING, &version, 0, "one version", "NAME"},
      {"deployment", 'd', POPT_ARG_STRING, &deployment, 0, "one deployment",
       "NAME"},
      {"first-seed", 0, POPT_ARG_INT, &options.first_seed, 0, "first seed",
       "N"},
      {"seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "seeds per line", "N"},
      {"window-ms", 'w', POPT_ARG_INT, &options.window_ms, 0,
       "length of a measured window", "MS"},
      {"orders", 'o', POPT_ARG_INT, &options.orders, 0,
       "orders of the scenario 'orders'", "N"},
      {"list", 'l', POPT_ARG_NONE, &list, 0, "print the scenarios", nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("decisions_bench", argc, argv, table.data(), 0),
      &poptFreeContext);
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(code)
              << "; see --help\n";
    return false;
  }
  for (auto& [from, to] : {std::pair{scenario, &options.scenario},
                           std::pair{version, &options.version},
                           std::pair{deployment, &options.deployment}}) {
    if (from != nullptr) *to = from;
    std::free(from);
  }
  options.list = list != 0;
  return true;
}

int Main(int argc, const char** argv) {
  bench_options options;
  if (!ParseOptions(argc, argv, options)) return 2;
  if (options.list) {
    for (const load_scenario& scenario : LoadScenarios()) {
      std::cout << scenario.name << '\n';
    }
    std::cout << "orders\ncost\n";
    return 0;
  }
  RunLoad(options);
  if (IsSelected(options.scenario, "orders")) {
    RunOrderScenario(static_cast<std::uint64_t>(options.first_seed),
                     static_cast<std::uint64_t>(options.orders));
  }
  if (IsSelected(options.scenario, "cost")) {
    RunCost(static_cast<std::uint32_t>(options.seeds));
  }
  return 0;
}

}  // namespace

}  // namespace corianderrail::bench

int main(int argc, const char** argv) {
  return corianderrail::bench::Main(argc, argv);
}
