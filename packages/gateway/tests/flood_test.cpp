/** @file flood_test.cpp Floods of each rank against several gateways. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "flood_simulation.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Two kinds of queries over ten shards, each with three leafs of two slots. */
class flood_fixture {
 protected:
  static constexpr std::size_t kUrgent = 0;
  static constexpr std::size_t kNormal = 1;
  static constexpr duration kWarmUp = seconds(2);
  static constexpr duration kLength = seconds(4);

  /** Minimum share of the leafs' capacity used for on-time answers. */
  static constexpr double kMinGoodput = 0.95;

  static flood_setup Setup() {
    flood_setup setup;
    std::vector<std::string> shards;
    shards.reserve(10);
    for (int i = 0; i < 10; ++i) shards.push_back("s" + std::to_string(i));
    flood_kind urgent;
    urgent.name = "urgent";
    urgent.rank = 0;
    urgent.work = milliseconds(4);
    urgent.objective = milliseconds(100);
    urgent.time_limit = milliseconds(600);
    urgent.per_second = 45;
    urgent.services = shards;
    urgent.min_shard_ratio = 0.75;
    flood_kind normal = urgent;
    normal.name = "normal";
    normal.rank = 1;
    normal.work = milliseconds(11);
    normal.objective = milliseconds(150);
    normal.time_limit = milliseconds(800);
    normal.per_second = 135;
    normal.min_shard_ratio = 0.89;
    setup.kinds = {urgent, normal};
    return setup;
  }

  /** Factor at which one kind alone demands `times` the capacity. */
  double FactorFor(std::size_t kind, double times) const {
    return times * simulation_.Capacity(kind) / Setup().kinds[kind].per_second;
  }

  std::vector<flood_result> Flood(std::size_t kind, double times) {
    std::vector<double> factors(Setup().kinds.size(), 1);
    factors[kind] = FactorFor(kind, times);
    return simulation_.Run(factors, kWarmUp, kLength);
  }

  static double ShareOnTime(const flood_result& result) {
    return result.on_time / static_cast<double>(result.offered);
  }

  /** Share of refusals sent within a quarter of the objective. */
  double ShareRefusedAtOnce(const flood_result& result,
                            std::size_t kind) const {
    const duration soon = Setup().kinds[kind].objective / 4;
    const auto early =
        std::count_if(result.refusal_times.begin(), result.refusal_times.end(),
                      [&](duration time) { return time <= soon; });
    return static_cast<double>(early) /
           static_cast<double>(
               std::max<std::size_t>(result.refusal_times.size(), 1));
  }

  flood_simulation simulation_{Setup(), 7};
};

}  // namespace

// Guards against refusals and repeats that lose answers below full load.
TEST_CASE_METHOD(flood_fixture, "Flood_ThreeQuartersOfCapacity_ServesAll") {
  const auto results = simulation_.Run({1, 3}, kWarmUp, kLength);
  CHECK(ShareOnTime(results[kUrgent]) >= 0.99);
  CHECK(ShareOnTime(results[kNormal]) >= 0.99);
}

// Guards against queues that make every query late.
TEST_CASE_METHOD(flood_fixture,
                 "Flood_NormalSlightlyOverCapacity_KeepsGoodput") {
  const auto results = Flood(kNormal, 1.25);
  CHECK(simulation_.Goodput(results, kLength) >= kMinGoodput);
}

// Guards against leafs working on queries that time out later.
TEST_CASE_METHOD(flood_fixture, "Flood_NormalTenTimes_KeepsGoodput") {
  const auto results = Flood(kNormal, 10);
  CHECK(simulation_.Goodput(results, kLength) >= kMinGoodput);
  CHECK(ShareRefusedAtOnce(results[kNormal], kNormal) >= 0.95);
}

// Guards against urgent queries waiting behind normal ones at the leafs.
TEST_CASE_METHOD(flood_fixture, "Flood_NormalThreeTimes_UrgentIsOnTime") {
  const auto results = Flood(kNormal, 3);
  CHECK(ShareOnTime(results[kUrgent]) >= 0.99);
}

// Guards against a flood of urgent queries that starves the normal ones.
TEST_CASE_METHOD(flood_fixture, "Flood_UrgentTenTimes_OthersKeepMinimumShare") {
  const auto results = Flood(kUrgent, 10);
  CHECK(simulation_.Goodput(results, kLength) >= kMinGoodput);
  CHECK(ShareOnTime(results[kNormal]) >= 0.25);
  CHECK(ShareRefusedAtOnce(results[kUrgent], kUrgent) >= 0.95);
}

// Guards against limits and queues that remain after a flood.
TEST_CASE_METHOD(flood_fixture, "Flood_Ends_AllAreServedAgain") {
  Flood(kNormal, 10);
  const auto results = simulation_.Run({1, 1}, {}, kLength);
  CHECK(ShareOnTime(results[kUrgent]) >= 0.99);
  CHECK(ShareOnTime(results[kNormal]) >= 0.99);
}

}  // namespace corianderrail::gateway
