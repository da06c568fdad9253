/** @file scenario_run.h Runs a fleet of one version under load. */

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "driver/deployment.h"
#include "driver/load_generator.h"
#include "driver/virtual_fleet.h"

namespace corianderrail::bench {

/** Versions that the benchmark compares. */
enum class version_kind : std::uint8_t { naive, direct, tier };

inline constexpr std::array<version_kind, 3> kVersions = {
    version_kind::naive, version_kind::direct, version_kind::tier};
inline constexpr std::array<std::string_view, 3> kVersionNames = {
    "naive", "direct", "tier"};

/** Share of each rank in the healthy load. */
inline constexpr per_rank<double> kRankShare = {0.3, 0.4, 0.3};

/** Load of the healthy fleet, relative to its capacity. */
inline constexpr double kHealthyLoad = 0.5;

/** Load of a flood, relative to the capacity. */
inline constexpr double kFloodLoad = 10;

/** Time between the start of a fault and the measured window. */
inline constexpr duration kSettleTime = std::chrono::seconds(1);

/** Settings of a run. */
struct run_settings {
  driver::deployment_plan plan;  ///< Deployment to simulate.
  version_kind version{};        ///< Version of the hosts.
  std::uint64_t seed = 1;        ///< Seed of load, faults and fleet.
  duration window{};             ///< Length of each measured window.
};

/** A span of time; samples belong to it by the time they were sent. */
struct window_span {
  time_point begin{};             ///< Start, inclusive.
  time_point end{};               ///< End, exclusive.
  std::uint64_t leaf_requests{};  ///< Leaf requests sent in the span.
  std::uint64_t leaf_parts{};     ///< Parts that the requests were sent for.
};

/** Samples and figures of a run. */
struct run_result {
  std::uint64_t seed = 0;  ///< Seed of the run.
  window_span reference;   ///< Window before the fault.
  window_span measured;    ///< Window during the fault.
  time_point ended{};      ///< End of the fault, for recovery only.
  std::vector<std::string> collections;  ///< Names of the collections.
  std::vector<bool> flooded;             ///< Whether flooded, by collection.
  std::vector<double> capacity;          ///< Leaf requests/s, by collection.
  std::vector<driver::query_sample> samples;  ///< All queries.
  driver::answer_violations violations;  ///< Answers that violate an invariant.
};

/** A fleet under load; after construction it is warm and healthy. */
class scenario_run {
 public:
  explicit scenario_run(const run_settings& settings);

  driver::virtual_fleet& Fleet() { return *fleet_; }
  driver::load_generator& Load() { return *load_; }
  driver::document_store& Store() { return store_; }
  random_source& Random() { return random_; }
  duration Window() const { return settings_.window; }

  /** Advances the simulation without measuring. */
  void Run(duration length);

  /** Measures a window before the fault. */
  void MeasureReference() { result_.reference = Measure(); }

  /** Measures a window during the fault. */
  void MeasureFault() { result_.measured = Measure(); }

  /** Measures while `steps` runs. */
  void MeasureFault(const std::function<void()>& steps) {
    result_.measured = Measure(steps);
  }

  /** Records that the fault ends now. */
  void MarkFaultEnd() { result_.ended = fleet_->Now(); }

  /** Sets the load of a rank in the flooded collections, relative to their
   *  capacity. */
  void Flood(rank urgency, double load);

  /** Stops the load, waits for open queries and returns the results. */
  run_result Finish();

 private:
  window_span Measure() {
    return Measure([this] { Run(settings_.window); });
  }
  window_span Measure(const std::function<void()>& steps);
  std::vector<driver::load_stream> Streams() const;

  run_settings settings_;
  driver::document_store store_;
  random_source random_;
  std::unique_ptr<driver::virtual_fleet> fleet_;
  std::unique_ptr<driver::load_generator> load_;
  run_result result_;
};

/** Factory for hosts of a version. The store must outlive these hosts. */
driver::host_factory VersionFactory(version_kind version,
                                    const driver::document_store& store,
                                    std::uint64_t seed);

}  // namespace corianderrail::bench
