/** @file route_stats.cpp Quantiles by zone, with guesses for new routes. */

#include "gateway/route_stats.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Part of the objective that a route without samples is expected to take. */
constexpr int kGoalPart = 8;

/** Extra latency of a leaf in another zone or region while unknown. */
constexpr duration kOtherZone = std::chrono::milliseconds(2);
constexpr duration kOtherRegion = std::chrono::milliseconds(30);

/** Latency relative to the usual one that few answers exceed, while there
 *  are too few samples for a quantile. */
constexpr int kLateFactor = 2;

/** Quantile from which an answer is late enough for a second request. */
constexpr double kLateQuantile = 0.9;

duration Extra(std::string_view zone, const location& here) {
  if (zone == here.zone) return {};
  return here.SameRegion(zone) ? kOtherZone : kOtherRegion;
}

}  // namespace

bool location::SameRegion(std::string_view other_zone) const {
  if (other_zone == zone) return true;
  const auto found = regions.find(other_zone);
  return found != regions.end() && found->second == region;
}

void route_stats::Add(std::string_view zone, duration latency, time_point now) {
  auto found = by_zone_.find(zone);
  if (found == by_zone_.end()) {
    found = by_zone_.emplace(zone, latency_digest()).first;
    found->second.SetTailQuantile(kLateQuantile);
  }
  found->second.Add(latency, now);
}

const latency_digest* route_stats::Learned(std::string_view zone,
                                           time_point now) const {
  const auto found = by_zone_.find(zone);
  if (found == by_zone_.end() || !found->second.Learned(now)) return nullptr;
  return &found->second;
}

duration route_stats::Expected(std::string_view zone, const location& here,
                               duration goal, time_point now) const {
  if (const auto* digest = Learned(zone, now)) return digest->Median();
  if (const auto* home = Learned(here.zone, now)) {
    return home->Median() + Extra(zone, here);
  }
  return goal / kGoalPart + Extra(zone, here);
}

duration route_stats::Late(std::string_view zone, const location& here,
                           duration goal, time_point now) const {
  const duration usual = Expected(zone, here, goal, now);
  if (const auto* digest = Learned(zone, now)) {
    return std::max(digest->Tail(), usual + usual / 4);
  }
  return usual * kLateFactor;
}

}  // namespace corianderrail::gateway
