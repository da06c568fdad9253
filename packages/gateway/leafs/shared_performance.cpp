/**
 * @file shared_performance.cpp Agreement of several hosts about a leaf.
 *
 * With many hosts, each sends a leaf a few requests per second and learns late;
 * a host that has just started knows nothing. A host may also be wrong about a
 * leaf, because its own network or processor is slow, so a figure counts only
 * if another host or own answers confirm it, and changes nothing but the
 * predicted latency.
 */

#include "gateway/leafs/shared_performance.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace corianderrail::gateway {

namespace {

/** Hosts of which figures are kept. Each host gets figures of about three per
 *  second; these are the ones of the lifetime. */
constexpr std::size_t kMaxHosts = 16;

/** A figure expires this long after its latest answer. Older ones delay the
 *  return of a leaf that has recovered. */
constexpr duration kFigureLifetime = std::chrono::milliseconds(2500);

/** From this confidence on, own answers supersede the figures of others. */
constexpr double kOwnConfidence = 0.5;

/** The value that is nearer to 1, or 1 if they are on different sides. */
double NearerToOne(double a, double b) {
  if ((a - 1) * (b - 1) <= 0) return 1;
  return a > 1 ? std::min(a, b) : std::max(a, b);
}

}  // namespace

void shared_performance::OnFigures(host_id from,
                                   std::span<const leaf_figure> figures,
                                   time_point now) {
  if (!by_host_.contains(from)) MakeRoom();
  host_figures& latest = by_host_[from];
  latest.received = now;
  latest.voices.clear();
  for (const leaf_figure& one :
       figures.first(std::min(figures.size(), kMaxLeafFigures))) {
    const auto age = std::chrono::milliseconds(one.age_ms);
    if (age > kFigureLifetime || one.samples == 0) continue;
    const double slowness =
        std::clamp(static_cast<double>(one.slowness_permille) / 1000,
                   kMinSharedSlowness, kMaxSharedSlowness);
    latest.voices.push_back({one.boot, slowness, now - age});
  }
  std::sort(latest.voices.begin(), latest.voices.end(),
            [](const voice& a, const voice& b) { return a.boot < b.boot; });
}

/** Drops the host that has not sent for the longest time. */
void shared_performance::MakeRoom() {
  if (by_host_.size() < kMaxHosts) return;
  by_host_.erase(std::min_element(
      by_host_.begin(), by_host_.end(), [](const auto& a, const auto& b) {
        return a.second.received < b.second.received;
      }));
}

std::optional<double> shared_performance::Slowness(
    leaf_boot boot, std::optional<double> own_mean, time_point now) const {
  std::array<double, kMaxHosts + 1> found{};
  std::size_t count = 0;
  for (const auto& [host, figures] : by_host_) {
    if (now - figures.received > kFigureLifetime) continue;
    const auto& voices = figures.voices;
    const auto at = std::lower_bound(
        voices.begin(), voices.end(), boot,
        [](const voice& one, leaf_boot value) { return one.boot < value; });
    if (at == voices.end() || at->boot != boot) continue;
    if (now - at->measured > kFigureLifetime) continue;
    found[count++] = at->slowness;
  }
  if (count == 0) return std::nullopt;
  if (own_mean) {
    found[count++] =
        std::clamp(*own_mean, kMinSharedSlowness, kMaxSharedSlowness);
  }
  if (count < 2) return std::nullopt;
  std::sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count));
  if (count % 2 == 1) return found[count / 2];
  return NearerToOne(found[count / 2 - 1], found[count / 2]);
}

bool SupersedesShared(double confidence) {
  return confidence >= kOwnConfidence;
}

double CombineSlowness(double own, double confidence, double shared) {
  const double weight = std::min(1.0, confidence / kOwnConfidence);
  return weight * own + (1 - weight) * shared;
}

}  // namespace corianderrail::gateway
