/** @file performance_flood_test.cpp What callers get with learned performance.
 */

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <string>
#include <vector>

#include "core/stable_hash.h"
#include "flood_simulation.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Behaviour of the leafs in one scenario. */
struct leaf_behaviour {
  double slow_share = 0;           ///< Leafs that are slower at times.
  double slow_factor = 1;          ///< How much longer they work then.
  double fast_share = 0;           ///< Leafs that need 0.7 of the usual time.
  duration slow_time{};            ///< Duration of their slowness; 0: always.
  duration slow_period{};          ///< Interval of its begins.
  std::uint32_t crowded_from = 0;  ///< Running requests that slow them down.
  duration pause{};                ///< Pauses of each leaf; 0: none.
  duration pause_period{};
  duration noise{};  ///< Times in which work takes 2.5 times as long.
  duration noise_period{};
};

constexpr double kNoiseFactor = 2.5;
constexpr double kFastFactor = 0.7;

/** Value from 0 to 1 that depends on a leaf. */
double Uniform(const leaf_record& leaf, std::string_view purpose) {
  const std::uint64_t hash =
      MixHash(HashBytes(purpose, HashBytes(leaf.instance)));
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

/** Whether a time is in a leaf's interval of some length in each period. */
bool Within(const leaf_work& work, std::string_view purpose, duration length,
            duration period) {
  if (period == duration{}) return false;
  const auto shift = static_cast<duration::rep>(
      Uniform(work.leaf, purpose) * static_cast<double>(period.count()));
  const duration phase((work.start.time_since_epoch().count() + shift) %
                       period.count());
  return phase < length;
}

double FactorOf(const leaf_behaviour& given, const leaf_work& work) {
  double factor = 1;
  const double kind = Uniform(work.leaf, "kind");
  const bool always = given.slow_time == duration{};
  const bool now =
      always || Within(work, "slow", given.slow_time, given.slow_period);
  if (kind < given.slow_share && now && work.running >= given.crowded_from) {
    factor = given.slow_factor;
  } else if (kind > 1 - given.fast_share) {
    factor = kFastFactor;
  }
  if (Within(work, "noise", given.noise, given.noise_period)) {
    factor *= kNoiseFactor;
  }
  return factor;
}

/** End of some work; a pause delays it by what is left of the pause. */
time_point WorkEnd(const leaf_behaviour& given, const leaf_work& work) {
  const auto length = duration(static_cast<duration::rep>(
      FactorOf(given, work) * static_cast<double>(work.usual.count())));
  leaf_work after = work;
  after.start += length;
  while (Within(after, "pause", given.pause, given.pause_period)) {
    after.start += milliseconds(1);
  }
  return after.start;
}

/** What a run uses of the parts under test. */
enum class learning { none, own, shared };

struct figures {
  double in_time = 0;
  double p90_ms = 0;
  double p99_ms = 0;
};

/** Twelve shards of three leafs with four slots in three zones, and twelve
 *  hosts; work, objectives and rates of one shard are those of the second
 * deployment of docs/hard-load.md. */
class performance_flood_fixture {
 protected:
  static constexpr std::size_t kQuery = 0;
  static constexpr std::uint64_t kSeeds = 12;

  static flood_setup Setup(const leaf_behaviour& leafs, learning uses) {
    flood_setup setup;
    setup.hosts = 12;
    setup.slots = 4;
    setup.queue = 100;
    setup.max_connections = 122;
    setup.one_way = std::chrono::microseconds(900);
    std::vector<std::string> shards;
    shards.reserve(12);
    for (int i = 0; i < 12; ++i) shards.push_back("s" + std::to_string(i));
    flood_kind query;
    query.name = "query";
    query.rank = 1;
    query.work = milliseconds(28);
    query.objective = milliseconds(400);
    query.time_limit = milliseconds(2500);
    query.per_second = 79.2;
    query.services = shards;
    query.min_shard_ratio = 0.9;
    flood_kind small = query;
    small.name = "small";
    small.rank = 2;
    small.work = std::chrono::microseconds(9200);
    small.objective = milliseconds(150);
    small.time_limit = milliseconds(1200);
    small.per_second = 26.4;
    small.min_shard_ratio = 0.85;
    setup.kinds = {query, small};
    setup.work_end = [leafs](const leaf_work& work) {
      return WorkEnd(leafs, work);
    };
    if (uses == learning::none) {
      setup.performance = {std::numeric_limits<std::uint32_t>::max(),
                           std::numeric_limits<std::uint32_t>::max()};
    }
    if (uses == learning::shared) setup.report_period = seconds(1);
    return setup;
  }

  static figures Measure(std::vector<flood_result> results, std::size_t kind,
                         bool early) {
    flood_result& one = results[kind];
    if (early) one.times = one.early_times;
    const auto ms = [&](double share) {
      return std::chrono::duration<double, std::milli>(one.Percentile(share))
          .count();
    };
    return {one.on_time / static_cast<double>(one.offered), ms(0.9), ms(0.99)};
  }

  /** Mean figures of the queries over some seeds, printed as a row. */
  static figures Row(const char* name, const char* uses,
                     const flood_setup& setup, double load,
                     bool early = false) {
    figures mean;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      flood_simulation simulation(setup, seed);
      const figures one = Measure(
          simulation.Run({load, load}, seconds(4), seconds(8)), kQuery, early);
      mean.in_time += one.in_time / kSeeds;
      mean.p90_ms += one.p90_ms / kSeeds;
      mean.p99_ms += one.p99_ms / kSeeds;
    }
    std::printf("%-20s load %.1f %-11s in time %.4f p90 %5.1f p99 %5.1f ms\n",
                name, load, uses, mean.in_time, mean.p90_ms, mean.p99_ms);
    return mean;
  }

  /** Leafs of which 30 in 100 are three times slower and 20 in 100 faster. */
  static leaf_behaviour Mixed() {
    leaf_behaviour mixed;
    mixed.slow_share = 0.3;
    mixed.slow_factor = 3;
    mixed.fast_share = 0.2;
    return mixed;
  }

  /** A figure of each leaf that says that it is 12 times slower. */
  static std::vector<leaf_figure> WrongFigures(const flood_setup& setup) {
    std::vector<leaf_figure> figures;
    for (const std::string& service : setup.kinds[kQuery].services) {
      for (std::uint32_t zone = 0; zone < setup.zones; ++zone) {
        leaf_record leaf;
        leaf.instance = service + "@z" + std::to_string(zone);
        figures.push_back({BootOf(leaf), 12'000, 1000, 0});
      }
    }
    return figures;
  }
};

struct scenario {
  const char* name;
  double load;
  leaf_behaviour leafs;
};

}  // namespace

// Guards against learned figures that serve callers worse than averages which
// decay within seconds. The simulation is chaotic: single runs differ by tens
// of milliseconds, so means over seeds are compared with a margin.
TEST_CASE_METHOD(performance_flood_fixture,
                 "PerformanceFlood_LeafsDiffer_CallersAreServedNoWorse") {
  leaf_behaviour crowded;
  crowded.slow_share = 0.3;
  crowded.slow_factor = 3;
  crowded.crowded_from = 3;
  leaf_behaviour changing = Mixed();
  changing.slow_time = seconds(4);
  changing.slow_period = seconds(8);
  leaf_behaviour disturbed;
  disturbed.pause = milliseconds(300);
  disturbed.pause_period = milliseconds(7500);
  disturbed.noise = milliseconds(600);
  disturbed.noise_period = milliseconds(6000);
  leaf_behaviour all = disturbed;
  all.slow_share = 0.3;
  all.slow_factor = 3;
  all.fast_share = 0.2;
  const scenario table[] = {
      {"equal leafs", 2.2, {}},
      {"mixed speed", 1, Mixed()},
      {"mixed speed", 2.2, Mixed()},
      {"slow when crowded", 2.2, crowded},
      {"slow-down, recovery", 2.2, changing},
      {"pauses and noise", 2.2, disturbed},
      {"all of these", 2.2, all},
  };
  for (const scenario& one : table) {
    const auto row = [&](const char* uses, learning how) {
      return Row(one.name, uses, Setup(one.leafs, how), one.load);
    };
    const figures without = row("without", learning::none);
    for (const figures& with : {row("own answers", learning::own),
                                row("and shared", learning::shared)}) {
      INFO(one.name);
      CHECK(with.in_time >= without.in_time - 0.005);
      CHECK(with.p90_ms <= 1.1 * without.p90_ms);
      CHECK(with.p99_ms <= 1.1 * without.p99_ms);
    }
  }
}

// Guards against hosts that learn everything anew after each restart, and
// against one wrong host that makes them choose badly. The rows are of answers
// in the first 2 s of a host; the share in time is of all hosts and includes
// the requests that each restart loses.
TEST_CASE_METHOD(performance_flood_fixture,
                 "PerformanceFlood_HostsRestart_FiguresHelpDespiteOneWrong") {
  flood_setup setup = Setup(Mixed(), learning::own);
  setup.restart_period = milliseconds(500);  // Each host runs for 6 s.
  const figures alone = Row("hosts restart", "own answers", setup, 1, true);
  setup.report_period = seconds(1);
  const figures shared = Row("hosts restart", "and shared", setup, 1, true);
  const auto wrong = WrongFigures(setup);
  setup.distort = [wrong](std::size_t host, std::vector<leaf_figure>& sent) {
    if (host == 0) sent = wrong;
  };
  const figures one_wrong = Row("hosts restart", "one wrong", setup, 1, true);
  CHECK(shared.in_time >= alone.in_time - 0.005);
  CHECK(shared.p90_ms <= alone.p90_ms);
  CHECK(one_wrong.in_time >= alone.in_time - 0.005);
  CHECK(one_wrong.p90_ms <= 1.1 * alone.p90_ms);
  CHECK(one_wrong.p99_ms <= 1.1 * alone.p99_ms);
}

}  // namespace corianderrail::gateway
