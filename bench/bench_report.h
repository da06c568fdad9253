/** @file bench_report.h Evaluates runs and formats the results as JSON. */

#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "load_scenarios.h"
#include "scenario_run.h"

namespace corianderrail::bench {

/** Builds one JSON object. Keys and texts are not escaped. */
class json_line {
 public:
  json_line& Text(std::string_view key, std::string_view value);
  json_line& Number(std::string_view key, double value);
  json_line& Flag(std::string_view key, bool value);
  json_line& Null(std::string_view key);
  json_line& Object(std::string_view key, const json_line& value);

  /** Adds the median and the worst of the values; there is one per seed. */
  json_line& MedianAndWorst(std::string_view key, std::vector<double> values,
                            bool high_is_worse);

  std::string Close() const { return "{" + fields_ + "}"; }

 private:
  void Key(std::string_view key);

  std::string fields_;
};

/** Selects samples. */
using sample_filter = std::function<bool(const driver::query_sample&)>;

/** Latencies in milliseconds of the answered queries sent in a span. */
std::vector<double> Latencies(const run_result& run, const window_span& span,
                              const sample_filter& filter);

/** Quantile of the values; 0 when there are none. */
double Quantile(std::vector<double> values, double quantile);

/** Whether the tier met the target of a scenario. */
struct verdict {
  bool met = false;    ///< Whether the target was met.
  json_line evidence;  ///< Figures compared with the target.
};

/** Compares the runs of one scenario, one for each seed, with its target. */
verdict Evaluate(target_kind target, std::span<const run_result> runs);

/** JSON line of the runs of one scenario, deployment and version. */
std::string ReportLine(const load_scenario& scenario,
                       std::string_view deployment, version_kind version,
                       std::span<const run_result> runs);

}  // namespace corianderrail::bench
