/** @file route_stats.cpp Quantiles by zone, with estimates for new routes. */

#include "gateway/routing/route_stats.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Without samples, the expected latency is the objective divided by this. */
constexpr int kObjectiveDivisor = 8;

/** Assumed additional latency of a leaf in another zone or region, while there
 *  are too few samples from its zone. */
constexpr duration kOtherZone = std::chrono::milliseconds(2);
constexpr duration kOtherRegion = std::chrono::milliseconds(30);

/** Tail latency as a multiple of the expected one, while there are too few
 *  samples for a quantile. */
constexpr int kTailFactor = 2;

/** Quantile of the latency after which a request may be hedged. */
constexpr double kTailQuantile = 0.9;

/** The unloaded latency rises by at most 1 / kRisePart per kRisePeriod. */
constexpr duration kRisePeriod = std::chrono::seconds(1);
constexpr int kRisePart = 20;

duration ExtraLatency(std::string_view zone, const location& here) {
  if (zone == here.zone) return {};
  return here.SameRegion(zone) ? kOtherZone : kOtherRegion;
}

}  // namespace

bool location::SameRegion(std::string_view other_zone) const {
  if (other_zone == zone) return true;
  const auto found = regions.find(other_zone);
  return found != regions.end() && found->second == region;
}

std::string_view location::RegionOf(std::string_view other_zone) const {
  const auto found = regions.find(other_zone);
  if (found != regions.end()) return found->second;
  return other_zone == zone ? std::string_view(region) : std::string_view();
}

void route_stats::Add(std::string_view zone, duration latency, time_point now) {
  auto found = by_zone_.find(zone);
  if (found == by_zone_.end()) {
    found = by_zone_.emplace(zone, zone_stats()).first;
    found->second.recent.SetTailQuantile(kTailQuantile);
  }
  found->second.recent.Add(latency, now);
  if (found->second.recent.HasEnoughSamples(now))
    TrackUnloaded(found->second, now);
}

/** Follows the median down at once and up slowly. A queue raises the median for
 *  only a few seconds, while leafs that became permanently slower keep it
 *  high. */
void route_stats::TrackUnloaded(zone_stats& one, time_point now) {
  const duration median = one.recent.Median();
  if (one.unloaded == duration{} || median <= one.unloaded) {
    one.unloaded = median;
    one.risen_at = now;
    return;
  }
  if (now - one.risen_at < kRisePeriod) return;
  one.risen_at = now;
  one.unloaded = std::min(median, one.unloaded + one.unloaded / kRisePart);
}

duration route_stats::UnloadedLatency(std::string_view zone) const {
  const auto found = by_zone_.find(zone);
  return found == by_zone_.end() ? duration{} : found->second.unloaded;
}

duration route_stats::WorkTime() const {
  duration least = duration::max();
  for (const auto& [zone, one] : by_zone_) {
    if (one.unloaded > duration{}) least = std::min(least, one.unloaded);
  }
  return least == duration::max() ? duration{} : least;
}

const latency_digest* route_stats::UsableDigest(std::string_view zone,
                                                time_point now) const {
  const auto found = by_zone_.find(zone);
  if (found == by_zone_.end()) return nullptr;
  const latency_digest& recent = found->second.recent;
  return recent.HasEnoughSamples(now) ? &recent : nullptr;
}

duration route_stats::ExpectedLatency(std::string_view zone,
                                      const location& here, duration objective,
                                      time_point now) const {
  if (const auto* digest = UsableDigest(zone, now)) return digest->Median();
  if (const auto* local_digest = UsableDigest(here.zone, now)) {
    return local_digest->Median() + ExtraLatency(zone, here);
  }
  return objective / kObjectiveDivisor + ExtraLatency(zone, here);
}

duration route_stats::TailLatency(std::string_view zone, const location& here,
                                  duration objective, time_point now) const {
  const duration usual = ExpectedLatency(zone, here, objective, now);
  if (const auto* digest = UsableDigest(zone, now)) {
    return std::max(digest->Tail(), usual + usual / 4);
  }
  return usual * kTailFactor;
}

}  // namespace corianderrail::gateway
