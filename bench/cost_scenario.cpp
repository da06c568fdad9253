/** @file cost_scenario.cpp Measures the cost of the reducer and runs orders. */

#include "cost_scenario.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <memory>
#include <vector>

#include "bench_report.h"
#include "driver/deployment.h"
#include "driver/load_generator.h"
#include "driver/order_load.h"
#include "driver/tier_host.h"

namespace corianderrail::bench {

namespace {

constexpr std::array<std::uint32_t, 5> kSizes = {10, 50, 150, 500, 1500};
constexpr std::uint32_t kCostHosts = 4;
constexpr std::uint32_t kLeafRequests = 60'000;  ///< Leaf requests per run.
constexpr std::uint32_t kMinQueries = 100;       ///< Even above kLeafRequests.
constexpr double kQueriesPerSecond = 50;

/** Maximum ratio of the cost per leaf request at the largest size to that at
 * the smallest. */
constexpr double kMaxCostRatio = 2;

/** CPU time and allocations of all reducers of a fleet. */
struct reducer_cost {
  std::uint64_t nanoseconds = 0;
  std::uint64_t allocations = 0;
};

/** A tier host that measures its calls of Reduce(). */
class measured_host : public driver::tier_host {
 public:
  measured_host(host_settings settings, reducer_cost& cost)
      : tier_host(std::move(settings)), cost_(cost) {}

  void Reduce(const event& event, time_point now,
              effect_list& effects) override {
    const std::uint64_t allocations = Allocations();
    const auto begin = std::chrono::steady_clock::now();
    tier_host::Reduce(event, now, effects);
    const auto spent = std::chrono::steady_clock::now() - begin;
    cost_.allocations += Allocations() - allocations;
    cost_.nanoseconds += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(spent).count());
  }

 private:
  reducer_cost& cost_;
};

struct cost_figures {
  double nanoseconds = 0;
  double allocations = 0;
  double answered = 0;
};

cost_figures MeasureCost(std::uint32_t size, std::uint64_t seed) {
  reducer_cost cost;
  const driver::document_store store(driver::Linear(size, kCostHosts));
  driver::virtual_fleet fleet(
      store.Plan().hosts, store.Plan().delays,
      [&](std::size_t index, incarnation_id incarnation, time_point now) {
        return std::make_unique<measured_host>(
            driver::TierSettings(store, index, incarnation, now, seed), cost);
      },
      seed);
  store.Install(fleet, driver::fake_leaf_settings{}, seed);
  for (std::size_t i = 0; i < kCostHosts; ++i) fleet.StartHost(i);
  fleet.RunUntil(fleet.Now() + driver::kTierStartTime);
  driver::load_stream stream;
  stream.urgency = rank::normal;
  stream.name = store.Plan().collections[0].name;
  stream.key_space = size * driver::kPartitionWidth;
  stream.rate_per_s = kQueriesPerSecond;
  driver::load_generator load(fleet, {stream}, driver::kDeadline, seed);
  cost = {};
  load.Start();
  const double queries = std::max(kMinQueries, kLeafRequests / size);
  const double seconds = queries / kQueriesPerSecond;
  fleet.RunUntil(fleet.Now() +
                 duration(static_cast<duration::rep>(seconds * 1e6)));
  load.Stop();
  fleet.RunUntil(fleet.Now() + driver::kDeadline);
  cost_figures figures;
  const auto requests =
      static_cast<double>(std::max<std::uint64_t>(1, load.LeafRequests()));
  figures.nanoseconds = static_cast<double>(cost.nanoseconds) / requests;
  figures.allocations = static_cast<double>(cost.allocations) / requests;
  double answered = 0;
  for (const driver::query_sample& sample : load.Samples()) {
    answered += sample.outcome == driver::query_outcome::answered ? 1 : 0;
  }
  figures.answered = answered / static_cast<double>(load.Samples().size());
  return figures;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

bool RunCost(std::uint32_t seeds) {
  double smallest = 0;
  double largest = 0;
  for (const std::uint32_t size : kSizes) {
    std::vector<double> nanoseconds;
    std::vector<double> allocations;
    std::vector<double> answered;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const cost_figures figures = MeasureCost(size, seed);
      nanoseconds.push_back(figures.nanoseconds);
      allocations.push_back(figures.allocations);
      answered.push_back(figures.answered);
    }
    if (size == kSizes.front()) smallest = Median(nanoseconds);
    largest = Median(nanoseconds);
    json_line line;
    line.Text("bench", "decisions").Text("scenario", "cost");
    line.Text("version", "tier").Number("leafs_per_query", size);
    line.MedianAndWorst("ns_per_leaf_request", nanoseconds, true);
    line.MedianAndWorst("allocations_per_leaf_request", allocations, true);
    line.MedianAndWorst("answered", answered, false);
    std::cout << line.Close() << std::endl;
  }
  const double ratio = smallest > 0 ? largest / smallest : 0;
  const bool met = smallest > 0 && ratio <= kMaxCostRatio;
  json_line line;
  line.Text("bench", "decisions").Text("scenario", "cost_growth");
  line.Text("version", "tier").Number("ns_ratio_1500_to_10", ratio);
  line.Text("target", "close to linear: ratio at most 2").Flag("met", met);
  std::cout << line.Close() << std::endl;
  return met;
}

bool RunOrderScenario(std::uint64_t first_seed, std::uint64_t orders) {
  driver::order_run_result total;
  std::uint64_t runs = 0;
  for (std::uint64_t seed = first_seed; total.sent < orders; ++seed, ++runs) {
    driver::order_run_settings settings;
    settings.seed = seed;
    const driver::order_run_result result = driver::RunOrders(settings);
    // Without this check, a fleet that issues no identifiers would loop
    // forever.
    if (result.sent == 0) {
      std::cerr << "orders: no identifier was issued, seed " << seed << '\n';
      break;
    }
    if (result.run_twice + result.wrong_not_run + result.wrong_ran > 0) {
      std::cerr << "orders: invariant broken, seed " << seed << '\n';
    }
    total.sent += result.sent;
    total.ran += result.ran;
    total.run_twice += result.run_twice;
    total.wrong_not_run += result.wrong_not_run;
    total.wrong_ran += result.wrong_ran;
    total.answered_ran += result.answered_ran;
    total.answered_not_run += result.answered_not_run;
    total.answered_unknown += result.answered_unknown;
    total.unanswered += result.unanswered;
    total.repeated += result.repeated;
  }
  const bool met =
      total.sent >= orders && total.run_twice == 0 && total.wrong_not_run == 0;
  const auto number = [](std::uint64_t value) {
    return static_cast<double>(value);
  };
  json_line line;
  line.Text("bench", "decisions").Text("scenario", "orders");
  line.Text("version", "tier").Number("first_seed", number(first_seed));
  line.Number("runs", number(runs)).Number("orders", number(total.sent));
  line.Number("ran", number(total.ran));
  line.Number("run_twice", number(total.run_twice));
  line.Number("wrong_not_run", number(total.wrong_not_run));
  line.Number("wrong_ran", number(total.wrong_ran));
  line.Number("said_ran", number(total.answered_ran));
  line.Number("said_not_run", number(total.answered_not_run));
  line.Number("said_unknown", number(total.answered_unknown));
  line.Number("unanswered_calls", number(total.unanswered));
  line.Number("repeated_answers", number(total.repeated));
  line.Text("target", "0 run twice, 0 wrong not_run in 1,000,000 orders");
  line.Flag("met", met);
  std::cout << line.Close() << std::endl;
  return met;
}

}  // namespace corianderrail::bench
