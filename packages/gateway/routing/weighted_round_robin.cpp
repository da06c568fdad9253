/** @file weighted_round_robin.cpp Smooth weighted round robin. */

#include "gateway/routing/weighted_round_robin.h"

namespace corianderrail::gateway {

std::size_t weighted_round_robin::Next(
    std::span<const weighted_service> targets) {
  if (targets.size() < 2) return 0;
  if (credit_.size() != targets.size()) credit_.assign(targets.size(), 0);
  double total = 0;
  std::size_t best = targets.size();
  for (std::size_t i = 0; i < targets.size(); ++i) {
    credit_[i] += targets[i].weight;
    total += targets[i].weight;
    // A newer configuration may take a service out of use by the weight 0 while
    // it has credit left from its earlier weight.
    const bool used = targets[i].weight > 0;
    if (used && (best == targets.size() || credit_[i] > credit_[best]))
      best = i;
  }
  if (best == targets.size()) return 0;
  credit_[best] -= total;
  return best;
}

}  // namespace corianderrail::gateway
