/** @file coverage_test.cpp Tests of the coverage measure. */

#include "core/coverage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "property.h"

namespace corianderrail {
namespace {

constexpr std::uint64_t kLastKey = std::numeric_limits<std::uint64_t>::max();

partition_map MapOf(const std::vector<key_range>& ranges) {
  partition_map map;
  for (const key_range& range : ranges) {
    map.partitions.push_back({range, service_id{0}, {leaf_id{1}}});
  }
  return map;
}

/** Reference implementation: counts key by key in a space of 256 keys. */
coverage_result NaiveCoverage(const partition_map& map,
                              const std::vector<std::uint8_t>& answered) {
  std::vector<bool> space(256);
  std::vector<bool> covered(256);
  for (std::size_t i = 0; i < map.partitions.size(); ++i) {
    const key_range range = map.partitions[i].range;
    for (std::uint64_t key = range.begin; key < range.end; ++key) {
      space[key] = true;
      if (i < answered.size() && answered[i] != 0) covered[key] = true;
    }
  }
  std::uint64_t total = 0;
  std::uint64_t count = 0;
  coverage_result result;
  for (std::uint64_t key = 0; key < space.size(); ++key) {
    if (!space[key]) continue;
    ++total;
    if (covered[key]) {
      ++count;
      continue;
    }
    if (!result.missing.empty() && result.missing.back().end == key) {
      ++result.missing.back().end;
    } else {
      result.missing.push_back({key, key + 1});
    }
  }
  if (total != 0) result.share = static_cast<ppm>(count * 1'000'000 / total);
  return result;
}

// Guards against an overflow: the product of keys and a million exceeds 64
// bits, so the share of a large key space would wrap around.
TEST_CASE("Coverage_WholeKeySpace_IsExact") {
  const partition_map map = MapOf({{0, kLastKey}});
  CHECK(MeasureCoverage(map, std::vector<std::uint8_t>{1}).share == kWholePpm);
  const coverage_result none =
      MeasureCoverage(map, std::vector<std::uint8_t>{0});
  CHECK(none.share == 0);
  CHECK(none.missing == std::vector<key_range>{{0, kLastKey}});
}

// Guards against rounding up: with one key of 2^64 missing, the coverage must
// be below 100%.
TEST_CASE("Coverage_OneKeyMissing_IsBelowTheWhole") {
  const partition_map map =
      MapOf({{0, kLastKey - 1}, {kLastKey - 1, kLastKey}});
  const auto result = MeasureCoverage(map, std::vector<std::uint8_t>{1, 0});
  CHECK(result.share == kWholePpm - 1);
  CHECK(result.missing == std::vector<key_range>{{kLastKey - 1, kLastKey}});
}

// Guards against counting keys twice: during a repartition, a published map may
// hold a partition and its splits.
TEST_CASE("Coverage_OverlappingSplits_CountOnce") {
  const partition_map map = MapOf({{0, 100}, {0, 50}, {50, 100}, {100, 200}});
  const auto result =
      MeasureCoverage(map, std::vector<std::uint8_t>{1, 1, 1, 0});
  CHECK(result.share == 500'000);
  CHECK(result.missing == std::vector<key_range>{{100, 200}});
}

// Guards against listing adjoining missing ranges separately.
TEST_CASE("Coverage_AdjoiningMissing_AreMerged") {
  const partition_map map = MapOf({{0, 10}, {10, 20}, {20, 30}, {30, 40}});
  const auto result =
      MeasureCoverage(map, std::vector<std::uint8_t>{1, 0, 0, 1});
  CHECK(result.missing == std::vector<key_range>{{10, 30}});
}

// Guards against counting partitions without a recorded answer as covered.
TEST_CASE("Coverage_ShortAnswerList_CountsTheRestAsMissing") {
  const partition_map map = MapOf({{0, 10}, {10, 20}});
  CHECK(MeasureCoverage(map, std::vector<std::uint8_t>{1}).share == 500'000);
  CHECK(MeasureCoverage(map, {}).share == 0);
}

// Guards against a division by zero, and against full coverage of an empty
// map.
TEST_CASE("Coverage_EmptyMap_IsZero") {
  CHECK(MeasureCoverage({}, {}) == coverage_result{});
  CHECK(ShareOf(0, 0) == 0);
}

// Guards against deviations from the reference implementation for any order,
// overlap, gap, empty range, or answer list of wrong length.
TEST_CASE("Coverage_AnyMap_MatchesCountByKey") {
  CheckProperty(1, 2'000, [] {
    const auto bound = rc::gen::inRange<std::uint64_t>(0, 256);
    const auto ranges = *rc::gen::container<std::vector<key_range>>(
        rc::gen::map(rc::gen::pair(bound, bound), [](auto pair) {
          return key_range{std::min(pair.first, pair.second),
                           std::max(pair.first, pair.second)};
        }));
    const auto answered = *rc::gen::container<std::vector<std::uint8_t>>(
        rc::gen::inRange<std::uint8_t>(0, 2));
    const partition_map map = MapOf(ranges);
    RC_ASSERT(MeasureCoverage(map, answered) == NaiveCoverage(map, answered));
  });
}

// Guards against deviations of the fast path for complete answers from the
// reference implementation, also for maps without keys.
TEST_CASE("Coverage_AllAnswered_MatchesCountByKey") {
  CheckProperty(2, 500, [] {
    const auto bound = rc::gen::inRange<std::uint64_t>(0, 16);
    const auto ranges = *rc::gen::container<std::vector<key_range>>(
        rc::gen::map(rc::gen::pair(bound, bound), [](auto pair) {
          return key_range{std::min(pair.first, pair.second),
                           std::max(pair.first, pair.second)};
        }));
    const partition_map map = MapOf(ranges);
    const std::vector<std::uint8_t> answered(ranges.size(), 1);
    RC_ASSERT(MeasureCoverage(map, answered) == NaiveCoverage(map, answered));
  });
}

// Guards against the use of maps with a gap, an overlap or a partition without
// replicas, for which coverage is undefined.
TEST_CASE("Coverage_IncompleteMap_IsRejected") {
  CHECK(IsComplete(MapOf({{0, 10}, {10, kLastKey}})));
  CHECK_FALSE(IsComplete({}));
  CHECK_FALSE(IsComplete(MapOf({{0, 10}, {11, 20}})));
  CHECK_FALSE(IsComplete(MapOf({{0, 10}, {9, 20}})));
  CHECK_FALSE(IsComplete(MapOf({{0, 10}, {10, 10}})));
  partition_map unserved = MapOf({{0, 10}});
  unserved.partitions[0].replicas.clear();
  CHECK_FALSE(IsComplete(unserved));
}

}  // namespace
}  // namespace corianderrail
