/** @file coverage.cpp Covered share of the key space of a partition map. */

#include "core/coverage.h"

#include <algorithm>

namespace corianderrail {

namespace {

__extension__ using uint128 = unsigned __int128;

/** Sorts ranges, merges adjoining and overlapping ones and drops empty ones. */
std::vector<key_range> Merge(std::vector<key_range> ranges) {
  std::erase_if(ranges, [](const key_range& r) { return r.begin >= r.end; });
  if (!std::is_sorted(ranges.begin(), ranges.end())) {
    std::sort(ranges.begin(), ranges.end());
  }
  std::size_t merged = 0;
  for (const key_range& range : ranges) {
    if (merged > 0 && range.begin <= ranges[merged - 1].end) {
      ranges[merged - 1].end = std::max(ranges[merged - 1].end, range.end);
    } else {
      ranges[merged++] = range;
    }
  }
  ranges.resize(merged);
  return ranges;
}

std::uint64_t CountKeys(std::span<const key_range> merged) {
  std::uint64_t sum = 0;
  for (const key_range& range : merged) sum += KeysIn(range);
  return sum;
}

/** Ranges of `space` outside `covered`. Both must be sorted and merged. */
std::vector<key_range> Subtract(std::span<const key_range> space,
                                std::span<const key_range> covered) {
  std::vector<key_range> missing;
  std::size_t next = 0;
  for (const key_range& range : space) {
    std::uint64_t cursor = range.begin;
    while (next < covered.size() && covered[next].begin < range.end) {
      if (cursor < covered[next].begin) {
        missing.push_back({cursor, covered[next].begin});
      }
      cursor = covered[next].end;
      ++next;
    }
    if (cursor < range.end) missing.push_back({cursor, range.end});
  }
  return missing;
}

std::vector<key_range> AllRanges(const partition_map& map) {
  std::vector<key_range> ranges;
  ranges.reserve(map.partitions.size());
  for (const partition& part : map.partitions) ranges.push_back(part.range);
  return ranges;
}

}  // namespace

ppm ShareOf(std::uint64_t covered, std::uint64_t total) {
  if (total == 0) return 0;
  const uint128 share = uint128{covered} * kWholePpm / total;
  return static_cast<ppm>(std::min<uint128>(share, kWholePpm));
}

std::uint64_t KeysIn(const key_range& range) {
  return range.end > range.begin ? range.end - range.begin : 0;
}

std::uint64_t KeysIn(const partition_map& map) {
  return CountKeys(Merge(AllRanges(map)));
}

coverage_result MeasureCoverage(const partition_map& map,
                                std::span<const std::uint8_t> answered) {
  const std::size_t count = std::min(answered.size(), map.partitions.size());
  // Fast path: most queries get all parts, which needs no merging.
  if (count == map.partitions.size() &&
      std::find(answered.begin(), answered.end(), 0) == answered.end()) {
    const bool has_keys = std::any_of(
        map.partitions.begin(), map.partitions.end(),
        [](const partition& part) { return KeysIn(part.range) > 0; });
    return {has_keys ? kWholePpm : 0, {}};
  }
  std::vector<key_range> ranges;
  ranges.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    if (answered[i] != 0) ranges.push_back(map.partitions[i].range);
  }
  const auto space = Merge(AllRanges(map));
  const auto covered = Merge(std::move(ranges));
  return {ShareOf(CountKeys(covered), CountKeys(space)),
          Subtract(space, covered)};
}

bool IsComplete(const partition_map& map) {
  if (map.partitions.empty()) return false;
  std::uint64_t expected = map.partitions.front().range.begin;
  for (const partition& part : map.partitions) {
    if (part.replicas.empty()) return false;
    if (part.range.begin != expected || part.range.end <= expected) {
      return false;
    }
    expected = part.range.end;
  }
  return true;
}

}  // namespace corianderrail
