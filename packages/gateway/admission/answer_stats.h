/** @file answer_stats.h Latency histograms of answers to clients. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Outcome of a request. */
enum class answer_outcome : std::uint8_t {
  whole,    ///< Answer of a leaf, or of all shards.
  partial,  ///< Gathered answer with missing parts.
  refused,  ///< This host answered in place of a leaf.
};
inline constexpr std::size_t kOutcomes = 3;

/** Ranks that are counted separately; less urgent ones count as the last. */
inline constexpr std::size_t kRankRows = 4;

/** Upper bounds of the buckets in milliseconds; the last bucket has none. */
inline constexpr std::array<std::int64_t, 11> kLatencyEdgesMs = {
    5, 10, 25, 50, 75, 100, 150, 250, 500, 1000, 2500};

/** Histogram of one rank and outcome. */
struct latency_counts {
  std::array<std::uint64_t, kLatencyEdgesMs.size() + 1> buckets{};
  std::uint64_t count = 0;  ///< Number of answers.
  duration sum{};           ///< Sum of the latencies.
};

/** Latency histograms, from the arrival of a request to its answer. */
class answer_stats {
 public:
  void Add(std::uint32_t rank, answer_outcome outcome, duration latency);

  const latency_counts& Of(std::size_t rank, answer_outcome outcome) const;

 private:
  std::array<std::array<latency_counts, kOutcomes>, kRankRows> counts_{};
};

}  // namespace corianderrail::gateway
