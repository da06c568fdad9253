/** @file coverage.h Covered share of the key space of a partition map. */

#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/contract_type.h"
#include "core/index_type.h"

namespace corianderrail {

/** Coverage of a key space by the answered partitions. */
struct coverage_result {
  ppm share = 0;                   ///< Covered share, rounded down.
  std::vector<key_range> missing;  ///< Uncovered ranges, merged, in key order.

  bool operator==(const coverage_result&) const = default;
};

/** Share of `covered` keys in `total`, rounded down; 0 if `total` is 0. */
ppm ShareOf(std::uint64_t covered, std::uint64_t total);

/** Number of keys in a range; 0 when it is reversed. */
std::uint64_t KeysIn(const key_range& range);

/** Number of distinct keys of a map; overlaps count once. */
std::uint64_t KeysIn(const partition_map& map);

/**
 * Measures coverage. A key in several partitions counts once.
 * @param answered One value per partition; nonzero when it answered.
 *   Partitions beyond its end did not answer.
 */
coverage_result MeasureCoverage(const partition_map& map,
                                std::span<const std::uint8_t> answered);

/** True when the partitions are sorted and adjoin, and each has a replica. */
bool IsComplete(const partition_map& map);

}  // namespace corianderrail
