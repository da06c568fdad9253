/** @file leaf_choice.h Which leaf gets a request. */

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** How much a leaf wants new work, from best to worst. */
enum class leaf_eligibility : std::uint8_t {
  healthy,      ///< No evidence against it.
  stalled,      ///< Late now, or it must first answer one request.
  last_resort,  ///< Draining, or no longer listed, for a moment.
  unusable,     ///< Gone, ejected, or asked already for this request.
};

/** One leaf that could run a request, with the evidence about it. */
struct leaf_candidate {
  leaf_eligibility eligibility = leaf_eligibility::healthy;
  duration expected{};      ///< Usual latency at its distance.
  duration unloaded{};      ///< The same without a queue; 0 while unknown.
  double slowness = 1;      ///< Its latency relative to the usual one.
  double failure_rate = 0;  ///< Share of recent requests that failed.
  duration failure_cost{};  ///< What a failure costs, as a latency.
  std::uint32_t open = 0;   ///< Requests of this host that it has open.
  std::uint32_t limit = 0;  ///< Most requests of this host.
  std::uint32_t slots = 1;  ///< Requests that it runs at the same time.
  bool cold = false;        ///< Slow after its start.
};

/** Outcome of a choice. */
enum class choice_outcome : std::uint8_t {
  chosen,   ///< `index` names the leaf.
  full,     ///< Usable leafs exist, but none has room.
  nothing,  ///< No leaf is usable.
};

/** A choice and the figure that decided it. */
struct leaf_choice {
  choice_outcome outcome = choice_outcome::nothing;
  std::size_t index = 0;  ///< Position of the chosen candidate.
  duration cost{};        ///< Its placement cost.
};

/** Latency expected of a candidate with one more request. */
duration PredictLatency(const leaf_candidate& candidate);

/** Predicted latency plus the expected cost of a failure. */
duration PlacementCost(const leaf_candidate& candidate);

/**
 * Picks the usable leaf with the lowest cost; a worse standing is taken only
 * when no leaf of a better one has room.
 */
leaf_choice ChooseLeaf(std::span<const leaf_candidate> candidates);

}  // namespace corianderrail::gateway
