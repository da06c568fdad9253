/** @file leaf_choice.h Selects the leaf for a request. */

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Whether a leaf may get new requests, from best to worst. */
enum class leaf_eligibility : std::uint8_t {
  healthy,      ///< No known problem.
  stalled,      ///< An open request is late and nothing was answered since.
  last_resort,  ///< Began to drain or was removed a short time ago.
  unusable,     ///< Removed, ejected, replaced, or already asked.
};

/** Why a leaf may not get a part, whatever its own state is. */
enum class leaf_exclusion : std::uint8_t {
  none,
  residency,   ///< Outside of the home regions.
  evacuation,  ///< In an evacuated zone.
};
inline constexpr std::size_t kLeafExclusions = 3;

/** A leaf that could run a request, with its health and load. */
struct leaf_candidate {
  leaf_eligibility eligibility = leaf_eligibility::healthy;
  duration expected{};      ///< Median latency of leafs at this distance.
  duration unloaded{};      ///< The same without queueing; 0 while unknown.
  double slowness = 1;      ///< Its latency relative to the expected one.
  bool shared = false;      ///< `slowness` includes figures of other hosts.
  double failure_rate = 0;  ///< Share of recent requests that failed.
  duration failure_cost{};  ///< Cost of a failure, expressed as a latency.
  std::uint32_t open = 0;   ///< Open requests of this host.
  std::uint32_t limit = 0;  ///< Maximum open requests of this host.
  std::uint32_t slots = 1;  ///< Requests that it runs well concurrently.
  bool cold = false;        ///< In its slow start.
  std::optional<std::uint32_t> permits;  ///< Of this host; empty: no limit.
  time_point permit_at{};                ///< Earliest time of a free permit.
  bool near = false;                     ///< In the region of this host.
};

/** Outcome of a choice. */
enum class choice_outcome : std::uint8_t {
  chosen,   ///< `index` is valid.
  full,     ///< Eligible leafs exist, but none has capacity.
  nothing,  ///< No leaf is eligible.
};

/** Selected leaf and its cost. */
struct leaf_choice {
  choice_outcome outcome = choice_outcome::nothing;
  std::size_t index = 0;  ///< Position of the chosen candidate.
  duration cost{};        ///< PlacementCost() of the candidate.
  leaf_eligibility eligibility = leaf_eligibility::unusable;  ///< Likewise.
};

/** Predicted latency of one more request at a candidate. */
duration PredictLatency(const leaf_candidate& candidate);

/** Predicted latency plus the expected cost of a failure. */
duration PlacementCost(const leaf_candidate& candidate);

/**
 * Selects the leaf with the lowest cost among those of the best eligibility
 * that have capacity. A leaf of the own region goes before a cheaper one of
 * another region while there is ample time.
 * @param time_left Time until the latency objective is missed.
 */
leaf_choice ChooseLeaf(std::span<const leaf_candidate> candidates,
                       duration time_left);

}  // namespace corianderrail::gateway
