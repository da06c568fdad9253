/** @file bench_report.cpp Evaluates runs and formats the results as JSON. */

#include "bench_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace corianderrail::bench {

namespace {

using driver::query_outcome;
using driver::query_sample;

bool HasAnswer(const query_sample& sample) {
  return sample.outcome == query_outcome::answered ||
         sample.outcome == query_outcome::incomplete;
}

bool IsSentWithin(const query_sample& sample, const window_span& span) {
  return sample.sent >= span.begin && sample.sent < span.end;
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/** Evaluates a function for each run. */
std::vector<double> ForEachRun(
    std::span<const run_result> runs,
    const std::function<double(const run_result&)>& value) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const run_result& run : runs) values.push_back(value(run));
  return values;
}

double AnsweredShare(const run_result& run, rank r) {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  for (const query_sample& sample : run.samples) {
    if (sample.urgency != r || !IsSentWithin(sample, run.measured)) continue;
    ++sent;
    answered += sample.outcome == query_outcome::answered ? 1 : 0;
  }
  return Share(answered, sent);
}

double MeanCoverage(const run_result& run, rank r) {
  std::uint64_t answers = 0;
  std::uint64_t covered = 0;
  for (const query_sample& sample : run.samples) {
    if (sample.urgency != r || !IsSentWithin(sample, run.measured)) continue;
    if (!HasAnswer(sample)) continue;
    ++answers;
    covered += sample.coverage;
  }
  return Share(covered, answers * kWholePpm);
}

double ExtraPercent(const window_span& span) {
  if (span.leaf_parts == 0) return 0;
  return 100 * (Share(span.leaf_requests, span.leaf_parts) - 1);
}

/** Leaf requests in excess of the parts that reached a caller, in percent. */
double WastePercent(const run_result& run) {
  std::uint64_t parts = 0;
  for (const query_sample& sample : run.samples) {
    if (IsSentWithin(sample, run.measured)) parts += sample.parts;
  }
  if (parts == 0) return 0;
  return 100 * (Share(run.measured.leaf_requests, parts) - 1);
}

/** Rate of parts answered in a collection, relative to its capacity. */
double CapacityShare(const run_result& run, std::size_t collection,
                     std::optional<rank> r) {
  double parts = 0;
  for (const query_sample& sample : run.samples) {
    if (sample.collection != collection ||
        !IsSentWithin(sample, run.measured) ||
        sample.outcome != query_outcome::answered ||
        (r && sample.urgency != *r)) {
      continue;
    }
    parts += sample.parts;
  }
  const double seconds =
      std::chrono::duration<double>(run.measured.end - run.measured.begin)
          .count();
  return parts / (run.capacity[collection] * seconds);
}

/** Minimum of CapacityShare() over the flooded collections; over all
 *  collections when none is flooded. */
double Goodput(const run_result& run) {
  const bool any = std::any_of(run.flooded.begin(), run.flooded.end(),
                               [](bool flooded) { return flooded; });
  double lowest = HUGE_VAL;
  for (std::size_t c = 0; c < run.capacity.size(); ++c) {
    if (any && !run.flooded[c]) continue;
    lowest = std::min(lowest, CapacityShare(run, c, std::nullopt));
  }
  return lowest;
}

std::vector<double> Pooled(std::span<const run_result> runs, bool measured,
                           const sample_filter& filter) {
  std::vector<double> all;
  for (const run_result& run : runs) {
    const auto some =
        Latencies(run, measured ? run.measured : run.reference, filter);
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

/** A ratio and the collection that it belongs to. */
struct collection_ratio {
  double value = 0;
  std::string_view collection;
};

/** Maximum over the collections of p99 latency relative to the reference. */
collection_ratio WorstRatio(std::span<const run_result> runs,
                            std::optional<rank> r) {
  collection_ratio worst;
  for (std::size_t c = 0; c < runs[0].capacity.size(); ++c) {
    const auto filter = [&](const query_sample& sample) {
      return sample.collection == c && (!r || sample.urgency == *r);
    };
    const double before = Quantile(Pooled(runs, false, filter), 0.99);
    const double after = Quantile(Pooled(runs, true, filter), 0.99);
    if (before <= 0 || after / before <= worst.value) continue;
    worst = {after / before, runs[0].collections[c]};
  }
  return worst;
}

/** Median goodput of each collection over the runs. */
json_line GoodputByCollection(std::span<const run_result> runs) {
  json_line line;
  for (std::size_t c = 0; c < runs[0].capacity.size(); ++c) {
    line.Number(runs[0].collections[c],
                Quantile(ForEachRun(runs,
                                    [&](const run_result& run) {
                                      return CapacityShare(run, c,
                                                           std::nullopt);
                                    }),
                         0.5));
  }
  return line;
}

/** Minimum ratio of the capacity share that a rank gets in a flooded collection
 *  to the share that its floor guarantees. No more is guaranteed than the rank
 *  demands. The flooded rank and the urgent rank are left out. */
double FloorRatio(std::span<const run_result> runs, rank flooded) {
  double lowest = HUGE_VAL;
  for (const run_result& run : runs) {
    for (std::size_t c = 0; c < run.capacity.size(); ++c) {
      if (!run.flooded[c]) continue;
      for (const rank r : kAllRanks) {
        if (r == flooded || r == rank::urgent) continue;
        const double floor =
            static_cast<double>(driver::kFloors[RankIndex(r)]) / kWholePpm;
        const double demand = kHealthyLoad * kRankShare[RankIndex(r)];
        lowest = std::min(lowest,
                          CapacityShare(run, c, r) / std::min(floor, demand));
      }
    }
  }
  return lowest;
}

/** Seconds from the end of the fault to the first span of 1 s in which p99 is
 *  within 5% of the reference and 99.9% of the queries are answered; -1 without
 *  such a span. */
double RecoverySeconds(std::span<const run_result> runs) {
  constexpr duration kSpan = std::chrono::seconds(1);
  constexpr duration kStep = std::chrono::milliseconds(250);
  constexpr duration kMaxStart = std::chrono::seconds(8);
  constexpr double kMaxP99Ratio = 1.05;
  constexpr double kMinAnswered = 0.999;
  const auto any = [](const query_sample&) { return true; };
  const double healthy = Quantile(Pooled(runs, false, any), 0.99);
  for (duration start{}; start <= kMaxStart; start += kStep) {
    std::vector<double> all;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    for (const run_result& run : runs) {
      const window_span span{run.ended + start, run.ended + start + kSpan, 0,
                             0};
      const auto some = Latencies(run, span, any);
      all.insert(all.end(), some.begin(), some.end());
      for (const query_sample& sample : run.samples) {
        if (!IsSentWithin(sample, span)) continue;
        ++sent;
        answered += sample.outcome == query_outcome::answered ? 1 : 0;
      }
    }
    if (Share(answered, sent) < kMinAnswered) continue;
    if (Quantile(std::move(all), 0.99) <= kMaxP99Ratio * healthy) {
      return std::chrono::duration<double>(start).count();
    }
  }
  return -1;
}

double MinAnswered(std::span<const run_result> runs, rank r) {
  double lowest = 1;
  for (const run_result& run : runs) {
    lowest = std::min(lowest, AnsweredShare(run, r));
  }
  return lowest;
}

double MaxExtraPercent(std::span<const run_result> runs) {
  double worst = 0;
  for (const run_result& run : runs) {
    worst = std::max(worst, ExtraPercent(run.measured));
  }
  return worst;
}

double MinGoodput(std::span<const run_result> runs) {
  double lowest = HUGE_VAL;
  for (const run_result& run : runs) lowest = std::min(lowest, Goodput(run));
  return lowest;
}

verdict EvaluateFlood(std::span<const run_result> runs, rank flooded) {
  constexpr double kMaxUrgentRatio = 1.2;
  constexpr double kMinUrgentAnswered = 0.999;
  constexpr double kMinGoodput = 0.95;
  constexpr double kMinFloorRatio = 0.98;
  verdict result;
  const double floor = FloorRatio(runs, flooded);
  const double goodput = MinGoodput(runs);
  result.met = floor >= kMinFloorRatio && goodput >= kMinGoodput;
  result.evidence.Number("floor_ratio", floor).Number("goodput", goodput);
  if (flooded == rank::background) {
    const collection_ratio ratio = WorstRatio(runs, rank::urgent);
    const double answered = MinAnswered(runs, rank::urgent);
    result.met &=
        ratio.value <= kMaxUrgentRatio && answered >= kMinUrgentAnswered;
    result.evidence.Number("urgent_p99_ratio", ratio.value)
        .Text("worst_collection", ratio.collection)
        .Number("urgent_answered", answered);
  }
  return result;
}

verdict EvaluateReplicaLoss(std::span<const run_result> runs) {
  constexpr double kLatencyTargetMs = 130;
  constexpr double kMinInTime = 0.99;
  std::uint64_t sent = 0;
  std::uint64_t full = 0;
  std::uint64_t within_target = 0;
  for (const run_result& run : runs) {
    for (const query_sample& sample : run.samples) {
      if (!IsSentWithin(sample, run.measured)) continue;
      ++sent;
      if (!HasAnswer(sample) || sample.coverage != kWholePpm) continue;
      ++full;
      const double ms = static_cast<double>(sample.elapsed.count()) / 1000;
      within_target += ms <= kLatencyTargetMs ? 1 : 0;
    }
  }
  verdict result;
  result.met = full == sent && Share(within_target, sent) >= kMinInTime;
  result.evidence.Number("full_coverage", Share(full, sent))
      .Number("full_within_130ms", Share(within_target, sent));
  return result;
}

verdict EvaluateIndexChange(std::span<const run_result> runs) {
  std::uint64_t mixed = 0;
  std::uint64_t overstated = 0;
  std::size_t queries = 0;
  for (const run_result& run : runs) {
    mixed += run.violations.mixed;
    overstated += run.violations.overstated;
    queries += run.samples.size();
  }
  verdict result;
  result.met = mixed == 0 && overstated == 0 && queries >= 100'000;
  result.evidence.Number("queries", static_cast<double>(queries));
  return result;
}

json_line RankFields(std::span<const run_result> runs, rank r) {
  json_line line;
  const auto filter = [&](const query_sample& sample) {
    return sample.urgency == r;
  };
  constexpr std::array<std::pair<const char*, double>, 3> kQuantiles = {
      {{"p50_ms", 0.5}, {"p99_ms", 0.99}, {"p999_ms", 0.999}}};
  for (const auto& entry : kQuantiles) {
    const double quantile = entry.second;
    const auto value = [&](const run_result& run) {
      return Quantile(Latencies(run, run.measured, filter), quantile);
    };
    line.MedianAndWorst(entry.first, ForEachRun(runs, value), true);
  }
  line.MedianAndWorst(
      "answered",
      ForEachRun(runs, [&](const auto& run) { return AnsweredShare(run, r); }),
      false);
  line.MedianAndWorst(
      "coverage",
      ForEachRun(runs, [&](const auto& run) { return MeanCoverage(run, r); }),
      false);
  return line;
}

}  // namespace

void json_line::Key(std::string_view key) {
  if (!fields_.empty()) fields_ += ',';
  fields_.append("\"").append(key).append("\":");
}

json_line& json_line::Text(std::string_view key, std::string_view value) {
  Key(key);
  fields_.append("\"").append(value).append("\"");
  return *this;
}

json_line& json_line::Number(std::string_view key, double value) {
  if (!std::isfinite(value)) return Null(key);
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  Key(key);
  fields_ += text.data();
  return *this;
}

json_line& json_line::Flag(std::string_view key, bool value) {
  Key(key);
  fields_ += value ? "true" : "false";
  return *this;
}

json_line& json_line::Null(std::string_view key) {
  Key(key);
  fields_ += "null";
  return *this;
}

json_line& json_line::Object(std::string_view key, const json_line& value) {
  Key(key);
  fields_ += value.Close();
  return *this;
}

json_line& json_line::MedianAndWorst(std::string_view key,
                                     std::vector<double> values,
                                     bool high_is_worse) {
  std::sort(values.begin(), values.end());
  json_line summary;
  summary.Number("median", values[values.size() / 2]);
  summary.Number("worst", high_is_worse ? values.back() : values.front());
  return Object(key, summary);
}

std::vector<double> Latencies(const run_result& run, const window_span& span,
                              const sample_filter& filter) {
  std::vector<double> values;
  for (const query_sample& sample : run.samples) {
    if (!IsSentWithin(sample, span) || !HasAnswer(sample) || !filter(sample)) {
      continue;
    }
    values.push_back(static_cast<double>(sample.elapsed.count()) / 1000);
  }
  return values;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(std::ceil(quantile * last));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

verdict Evaluate(target_kind target, std::span<const run_result> runs) {
  constexpr double kMaxExtraPercent = 5;
  constexpr double kMaxRecoverySeconds = 5;
  constexpr double kMaxStragglerRatio = 2;
  verdict result;
  switch (target) {
    case target_kind::none:
      result.met = true;
      break;
    case target_kind::straggler: {
      const collection_ratio ratio = WorstRatio(runs, std::nullopt);
      result.met = ratio.value <= kMaxStragglerRatio &&
                   MaxExtraPercent(runs) <= kMaxExtraPercent;
      result.evidence.Number("p99_ratio", ratio.value)
          .Text("worst_collection", ratio.collection);
      break;
    }
    case target_kind::background_flood:
      return EvaluateFlood(runs, rank::background);
    case target_kind::urgent_flood:
      return EvaluateFlood(runs, rank::urgent);
    case target_kind::replica_loss:
      return EvaluateReplicaLoss(runs);
    case target_kind::slow:
      result.met = MaxExtraPercent(runs) <= kMaxExtraPercent;
      result.evidence.Number("extra_pct", MaxExtraPercent(runs));
      break;
    case target_kind::recovery: {
      const double seconds = RecoverySeconds(runs);
      result.met = seconds >= 0 && seconds <= kMaxRecoverySeconds;
      result.evidence.Number("recovery_s", seconds);
      break;
    }
    case target_kind::index_change:
      return EvaluateIndexChange(runs);
  }
  return result;
}

std::string ReportLine(const load_scenario& scenario,
                       std::string_view deployment, version_kind version,
                       std::span<const run_result> runs) {
  json_line line;
  line.Text("bench", "decisions").Text("scenario", scenario.name);
  line.Text("deployment", deployment);
  line.Text("version", kVersionNames[static_cast<std::size_t>(version)]);
  line.Number("seeds", static_cast<double>(runs.size()));
  if (runs[0].measured.end > runs[0].measured.begin) {
    for (const rank r : kAllRanks) {
      line.Object(RankName(r), RankFields(runs, r));
    }
    line.MedianAndWorst(
        "extra_pct",
        ForEachRun(runs,
                   [](const auto& run) { return ExtraPercent(run.measured); }),
        true);
    line.MedianAndWorst("waste_pct", ForEachRun(runs, WastePercent), true);
    line.MedianAndWorst("goodput", ForEachRun(runs, Goodput), false);
    line.Object("goodput_by_collection", GoodputByCollection(runs));
  }
  driver::answer_violations violations;
  for (const run_result& run : runs) {
    violations.mixed += run.violations.mixed;
    violations.overstated += run.violations.overstated;
    violations.crossed += run.violations.crossed;
    violations.repeated += run.violations.repeated;
  }
  line.Number("mixed", static_cast<double>(violations.mixed))
      .Number("overstated", static_cast<double>(violations.overstated))
      .Number("crossed", static_cast<double>(violations.crossed))
      .Number("repeated", static_cast<double>(violations.repeated));
  verdict result = Evaluate(scenario.target, runs);
  line.Object("evidence", result.evidence).Text("target", scenario.target_text);
  if (version != version_kind::tier || scenario.target == target_kind::none) {
    line.Null("met");
  } else {
    line.Flag("met", result.met);
  }
  return line.Close();
}

}  // namespace corianderrail::bench
