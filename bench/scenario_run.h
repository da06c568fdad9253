/** @file scenario_run.h One run of one version under load. */

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

/** Versions compared. */
enum class version_kind : std::uint8_t { naive, direct, tier };

inline constexpr std::array<version_kind, 3> kVersions = {
    version_kind::naive, version_kind::direct, version_kind::tier};
inline constexpr std::array<std::string_view, 3> kVersionNames = {
    "naive", "direct", "tier"};

/** Share of each rank in the healthy load. */
inline constexpr per_rank<double> kRankShare = {0.3, 0.4, 0.3};

/** Load of the healthy fleet as a share of its capacity. */
inline constexpr double kHealthyLoad = 0.5;

/** Load of a flood as a share of the capacity. */
inline constexpr double kFloodLoad = 10;

/** Time after a fault before its window starts. */
inline constexpr duration kSettleTime = std::chrono::seconds(1);

/** What a run is built from. */
struct run_settings {
  driver::deployment_plan plan;  ///< Deployment.
  version_kind version{};        ///< Version.
  std::uint64_t seed = 1;        ///< Seed of everything.
  duration window{};             ///< Length of each measured window.
};

/** A measured span of time; samples belong to it by their sending time. */
struct window_span {
  time_point begin{};             ///< First moment.
  time_point end{};               ///< One past the last.
  std::uint64_t leaf_requests{};  ///< Leaf requests sent in it.
  std::uint64_t leaf_parts{};     ///< Different parts among them.
};

/** Everything that a run leaves behind. */
struct run_result {
  std::uint64_t seed = 0;                ///< Seed.
  window_span reference;                 ///< Before the fault.
  window_span measured;                  ///< Under the fault.
  time_point ended{};                    ///< End of the fault, if it ends.
  std::vector<std::string> collections;  ///< Names.
  std::vector<bool> flooded;             ///< By collection.
  std::vector<double> capacity;          ///< Leaf requests/s, by collection.
  std::vector<driver::query_sample> samples;  ///< All queries.
  driver::answer_violations violations;       ///< Violated invariants.
};

/** A fleet with its load, in the healthy state when constructed. */
class scenario_run {
 public:
  explicit scenario_run(const run_settings& settings);

  driver::virtual_fleet& Fleet() { return *fleet_; }
  driver::load_generator& Load() { return *load_; }
  driver::document_store& Store() { return store_; }
  random_source& Random() { return random_; }
  duration Window() const { return settings_.window; }

  /** Runs on without measuring. */
  void Run(duration length);

  /** Measures the window before the fault. */
  void MeasureReference() { result_.reference = Measure(); }

  /** Measures the window under the fault. */
  void MeasureFault() { result_.measured = Measure(); }

  /** Measures while steps are carried out. */
  void MeasureFault(const std::function<void()>& steps) {
    result_.measured = Measure(steps);
  }

  /** Marks the end of the fault. */
  void MarkFaultEnd() { result_.ended = fleet_->Now(); }

  /** Sets the load of a rank in flooded collections, in capacities. */
  void Flood(rank urgency, double load);

  /** Ends the load, waits for open queries and returns everything. */
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

/** Builds hosts of a version. */
driver::host_factory VersionFactory(version_kind version,
                                    const driver::document_store& store,
                                    std::uint64_t seed);

}  // namespace corianderrail::bench
