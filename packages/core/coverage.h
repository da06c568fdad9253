/** @file coverage.h Covered share of the key space of a partition map. */

#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/contract_type.h"
#include "core/index_type.h"

namespace corianderrail {

/** How much of a key space answered. */
struct coverage_result {
  ppm share = 0;                   ///< Covered share, rounded down.
  std::vector<key_range> missing;  ///< Uncovered, merged, in key order.

  bool operator==(const coverage_result&) const = default;
};

/** Share of `covered` keys in `total`, rounded down; 0 of an empty space. */
ppm ShareOf(std::uint64_t covered, std::uint64_t total);

/** Number of keys in a range; 0 when it is reversed. */
std::uint64_t KeysIn(const key_range& range);

/** Number of distinct keys of a map, however its partitions overlap. */
std::uint64_t KeysIn(const partition_map& map);

/**
 * Measures coverage. A key counts once, even where partitions overlap.
 * @param answered One value per partition; nonzero when it answered.
 *   Partitions beyond its end did not answer.
 */
coverage_result MeasureCoverage(const partition_map& map,
                                std::span<const std::uint8_t> answered);

/** True when partitions are sorted, adjoin and all have replicas. */
bool IsComplete(const partition_map& map);

}  // namespace corianderrail
