/** @file leaf_selector.h Leafs that may get a part of a request. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/time_type.h"
#include "gateway/gateway_type.h"
#include "gateway/leafs/cold_permits.h"
#include "gateway/leafs/evacuation.h"
#include "gateway/leafs/leaf_choice.h"
#include "gateway/leafs/leaf_directory.h"
#include "gateway/leafs/shared_performance.h"
#include "gateway/routing/residency.h"
#include "gateway/routing/route_stats.h"
#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

/** A part of a request that needs a leaf. */
struct leaf_query {
  std::string_view service;          ///< Service whose leafs may run the part.
  const route* matched = nullptr;    ///< Route of the request; never null.
  const residency* homes = nullptr;  ///< Of the request; never null.
  const route_stats* stats = nullptr;  ///< Latencies of the route; never null.
  std::span<const leaf_handle> asked;  ///< Leafs that already got the part.
  time_point objective_at{};          ///< When the latency objective is missed.
  std::uint32_t max_connections = 0;  ///< Of the service, for all hosts.
  std::uint32_t reserve = 0;  ///< Open requests allowed beyond the limit.
};

/** Number of excluded candidates by leaf_exclusion. */
using exclusion_counts = std::array<std::uint64_t, kLeafExclusions>;

/** Answer of a part that is placed now. */
struct leaf_estimate {
  bool has_capacity = false;  ///< A leaf may get it at once.
  duration latency{};  ///< Predicted latency of its leaf, or of the best one
                       ///< that has no capacity; 0 without any.
};

/**
 * Builds the candidates for each way to a leaf: first choice, repeat, hedge and
 * parts that waited. Whatever forbids or limits a leaf takes effect here.
 */
class leaf_selector {
 public:
  leaf_selector(location here, leaf_directory& directory,
                const evacuation& evacuations);

  /** @param started Time of the first event of this process. */
  void SetStarted(time_point started) { started_ = started; }
  void SetFleet(const fleet_event& fleet) { fleet_ = fleet; }

  /** Figures of other hosts about leafs. */
  shared_performance& Shared() { return shared_; }

  /** Replaces the candidates by those for a part. */
  void Collect(const leaf_query& query, time_point now);

  /** A leaf with the candidate that Collect() would build for it. */
  struct explained_leaf {
    const leaf_state* leaf = nullptr;  ///< Valid until the next change.
    leaf_candidate candidate;          ///< Its health, speed and limits.
    leaf_exclusion exclusion{};        ///< Why it may not get the part.
  };

  /** The same candidates without replacing those of Collect(). */
  std::vector<explained_leaf> Explain(const leaf_query& query,
                                      time_point now) const;

  /** Selects one of the candidates. */
  leaf_choice Choose(duration time_left) const;

  std::span<const leaf_candidate> Candidates() const { return candidates_; }

  /** Leaf of a candidate. */
  leaf_state& Leaf(std::size_t index) const { return *leafs_[index]; }

  /** Predicted latency of the best other candidate; 0 without one. */
  duration NextBestLatency(std::size_t chosen) const;

  /** When a part would be answered that is placed now; changes nothing. */
  leaf_estimate Estimate(const leaf_query& query, duration time_left,
                         time_point now) const;

  /** True when a leaf of a service may get requests with these homes. */
  bool HasUsable(std::string_view service, const residency& homes,
                 time_point now) const;

  /** Maximum open requests of this host at a leaf. */
  std::uint32_t Limit(const leaf_state& leaf, std::uint32_t max_connections,
                      time_point now) const;

  cold_permits& Cold() { return cold_; }
  const cold_permits& Cold() const { return cold_; }

  /** Candidates of the last Collect() that were skipped because this host has
   *  no permit for them. */
  std::uint32_t PermitSkips() const { return permit_skips_; }

  leaf_distance DistanceOf(const leaf_state& leaf) const;

  const exclusion_counts& Exclusions() const { return exclusions_; }

 private:
  leaf_candidate CandidateFor(const leaf_state& leaf, const leaf_query& query,
                              time_point now) const;
  leaf_exclusion ExclusionOf(const leaf_state& leaf,
                             const residency& homes) const;
  leaf_eligibility Eligibility(const leaf_state& leaf, const residency& homes,
                               time_point now, duration work) const;
  void LimitCold(const leaf_state& leaf, leaf_candidate& candidate,
                 time_point now) const;

  std::uint32_t Concurrency(const leaf_state& leaf, time_point now) const;
  void ApplyShared(const leaf_state& leaf, leaf_candidate& candidate,
                   time_point now) const;

  location here_;
  leaf_directory& directory_;
  const evacuation& evacuations_;
  mutable cold_permits cold_;  ///< Mutable: notes positions when asked.
  std::uint32_t permit_skips_ = 0;
  shared_performance shared_;
  fleet_event fleet_;     ///< Latest size of the fleet.
  time_point started_{};  ///< Time of the first event of this process.
  std::vector<leaf_candidate> candidates_;
  std::vector<leaf_state*> leafs_;  ///< Leaf of each candidate.
  exclusion_counts exclusions_{};   ///< Of all candidates so far.
};

}  // namespace corianderrail::gateway
