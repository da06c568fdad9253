/** @file weighted_round_robin.cpp Smooth weighted round robin. */

#include "gateway/routing/weighted_round_robin.h"

#include <algorithm>

namespace corianderrail::gateway {

std::size_t weighted_round_robin::Next(
    std::span<const weighted_service> targets) {
  if (targets.size() < 2) return 0;
  if (credit_.size() != targets.size()) credit_.assign(targets.size(), 0);
  double total = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    credit_[i] += targets[i].weight;
    total += targets[i].weight;
  }
  const auto best = std::max_element(credit_.begin(), credit_.end());
  *best -= total;
  return static_cast<std::size_t>(best - credit_.begin());
}

}  // namespace corianderrail::gateway
