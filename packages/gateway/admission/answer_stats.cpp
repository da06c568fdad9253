/** @file answer_stats.cpp Histograms with fixed buckets. */

#include "gateway/admission/answer_stats.h"

#include <algorithm>
#include <chrono>

namespace corianderrail::gateway {

void answer_stats::Add(std::uint32_t rank, answer_outcome outcome,
                       duration latency) {
  const std::size_t row = std::min<std::size_t>(rank, kRankRows - 1);
  latency_counts& counts = counts_[row][static_cast<std::size_t>(outcome)];
  const auto edge = std::find_if(
      kLatencyEdgesMs.begin(), kLatencyEdgesMs.end(), [&](std::int64_t ms) {
        return latency <= std::chrono::milliseconds(ms);
      });
  ++counts.buckets[static_cast<std::size_t>(edge - kLatencyEdgesMs.begin())];
  ++counts.count;
  counts.sum += latency;
}

const latency_counts& answer_stats::Of(std::size_t rank,
                                       answer_outcome outcome) const {
  return counts_[std::min(rank, kRankRows - 1)]
                [static_cast<std::size_t>(outcome)];
}

}  // namespace corianderrail::gateway
