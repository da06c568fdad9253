/** @file bench_report.h Statistics over runs, as lines of JSON. */

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

/** Builds one JSON object; keys and texts must need no escapes. */
class json_line {
 public:
  json_line& Text(std::string_view key, std::string_view value);
  json_line& Number(std::string_view key, double value);
  json_line& Flag(std::string_view key, bool value);
  json_line& Null(std::string_view key);
  json_line& Object(std::string_view key, const json_line& value);

  /** Median and worst of one value for each seed. */
  json_line& MedianAndWorst(std::string_view key, std::vector<double> values,
                            bool high_is_worse);

  std::string Close() const { return "{" + fields_ + "}"; }

 private:
  void Key(std::string_view key);

  std::string fields_;
};

/** Filter over samples. */
using sample_filter = std::function<bool(const driver::query_sample&)>;

/** Latencies in milliseconds of answered queries in a window. */
std::vector<double> Latencies(const run_result& run, const window_span& span,
                              const sample_filter& filter);

/** Quantile; 0 without values. */
double Quantile(std::vector<double> values, double quantile);

/** Verdict on the tier. */
struct verdict {
  bool met = false;    ///< Target met.
  json_line evidence;  ///< Figures that the verdict rests on.
};

/** Judges the runs of one scenario by its target, over all seeds. */
verdict Evaluate(target_kind target, std::span<const run_result> runs);

/** The line for one scenario, deployment and version. */
std::string ReportLine(const load_scenario& scenario,
                       std::string_view deployment, version_kind version,
                       std::span<const run_result> runs);

}  // namespace corianderrail::bench
