/**
 * @file cold_permits.cpp Division of the rate of a cold leaf between hosts.
 *
 * Addresses floods of requests that meet leafs which have just started. Hosts
 * cannot ask each other in time, so the division follows from what all of them
 * know. The zones are the same in the settings of all hosts: each zone has a
 * fixed share, whatever hosts know of other zones. Within a zone, the first
 * hosts of the order hold the permits.
 */

#include "gateway/leafs/cold_permits.h"

#include <algorithm>
#include <cmath>

namespace corianderrail::gateway {

namespace {

/** At least a quarter of the bound is held in reserve for hosts that disagree
 *  with the others of their zone. */
constexpr std::uint32_t kReserveDivisor = 4;

/** Zones outside of the region of the leaf hold a quarter of the permits: most
 *  requests to a leaf come from the hosts of its region. */
constexpr std::uint32_t kFarDivisor = 4;

/** Upper bound of the division, far above any useful rate. */
constexpr double kMaxBound = 100'000;

/** Lower bound of ParallelRequests(), against division by zero. */
constexpr double kMinParallel = 1e-3;

/** Most that one host of a zone holds: half, rounded up, because each zone has
 *  two hosts that take clients. */
constexpr std::uint32_t HostMaximum(std::uint32_t zone_share) {
  return (zone_share + 1) / 2;
}

}  // namespace

permit_plan::permit_plan(const location& here, std::uint32_t bound,
                         std::string_view leaf_zone) {
  const auto leaf_region = here.regions.find(leaf_zone);
  for (const auto& [zone, region] : here.regions) {
    const bool near =
        leaf_region != here.regions.end() && region == leaf_region->second;
    (near ? near_ : far_).push_back(zone);
  }
  if (near_.empty()) near_.swap(far_);
  if (near_.empty()) return;
  // In each zone, one host may be cut off from the others and believe that it
  // is the first. The bound holds also then.
  std::uint32_t total = bound - (bound + kReserveDivisor - 1) / kReserveDivisor;
  for (Divide(total); total > 0 && total + Largest() > bound; Divide(total)) {
    --total;
  }
}

void permit_plan::Divide(std::uint32_t total) {
  const std::uint32_t far = far_.empty() ? 0 : total / kFarDivisor;
  const auto divide = [&](std::span<const std::string_view> zones,
                          std::uint32_t sum) {
    const auto count = static_cast<std::uint32_t>(zones.size());
    for (std::uint32_t i = 0; i < count; ++i) {
      shares_[zones[i]] = sum / count + (i < sum % count ? 1 : 0);
    }
  };
  divide(far_, far);
  divide(near_, total - far);
}

/** What one host of each zone may hold at most, in total. */
std::uint32_t permit_plan::Largest() const {
  std::uint32_t sum = 0;
  for (const auto& [zone, share] : shares_) sum += HostMaximum(share);
  return sum;
}

std::uint32_t permit_plan::ZoneShare(std::string_view zone) const {
  const auto found = shares_.find(zone);
  return found == shares_.end() ? 0 : found->second;
}

std::uint32_t permit_plan::HostShare(std::uint32_t zone_share,
                                     std::uint32_t position) {
  const std::uint32_t most = HostMaximum(zone_share);
  const std::uint64_t before = std::uint64_t{most} * position;
  if (before >= zone_share) return 0;
  return std::min(most, zone_share - static_cast<std::uint32_t>(before));
}

void cold_permits::Configure(const cold_settings& settings) {
  settings_ = settings;
  order_.SetPlannedStop(settings.planned_stop);
}

void cold_permits::SetServices(std::span<const upstream_service> services) {
  services_.clear();
  if (settings_.excess <= 0) return;
  for (const upstream_service& one : services) {
    if (one.cold_per_second <= 0) continue;
    const double bound =
        std::floor(one.cold_per_second * settings_.excess + settings_.slack);
    services_[one.name] = {
        one.cold_time,
        static_cast<std::uint32_t>(std::min(kMaxBound, bound)),
        {}};
  }
}

const cold_permits::limited_service* cold_permits::Service(
    std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

time_point cold_permits::ColdUntil(const leaf_state& leaf) const {
  const limited_service* service = Service(leaf.record.service);
  return leaf.cold.Until(service == nullptr ? duration{} : service->cold_time);
}

bool cold_permits::Limited(const leaf_state& leaf, time_point now) const {
  return Service(leaf.record.service) != nullptr && now < ColdUntil(leaf);
}

std::uint32_t cold_permits::Bound(std::string_view name) const {
  const limited_service* service = Service(name);
  return service == nullptr ? 0 : service->bound;
}

/** Permits of this host's zone for a leaf of a limited service. */
std::uint32_t cold_permits::ZoneShare(const leaf_state& leaf) {
  limited_service& service = services_.find(leaf.record.service)->second;
  const auto known = service.shares.find(leaf.record.zone);
  if (known != service.shares.end()) return known->second;
  const permit_plan plan(here_, service.bound, leaf.record.zone);
  return service.shares[leaf.record.zone] = plan.ZoneShare(here_.zone);
}

std::optional<std::uint32_t> cold_permits::Held(const leaf_state& leaf,
                                                time_point now) {
  if (!Limited(leaf, now)) return {};
  const auto position = order_.Position(now);
  if (!position) return 0;
  return permit_plan::HostShare(ZoneShare(leaf), *position);
}

void cold_permits::OnEnded(leaf_state& leaf, time_point now) {
  if (settings_.excess <= 0) return;
  leaf.permits.OnEnded(now);
  if (!Limited(leaf, now)) return;
  resting_.push_back({now + kPermitRest, leaf.record.service});
}

time_point cold_permits::NextFree() const {
  return resting_.empty() ? kNever : resting_.front().free_at;
}

std::vector<std::string> cold_permits::TakeFreed(time_point now) {
  std::vector<std::string> services;
  while (!resting_.empty() && resting_.front().free_at <= now) {
    services.push_back(std::move(resting_.front().service));
    resting_.pop_front();
  }
  return services;
}

time_point FirstPermit(std::span<const leaf_candidate> candidates) {
  time_point first = kNever;
  for (const leaf_candidate& one : candidates) {
    if (one.eligibility == leaf_eligibility::unusable) continue;
    first = std::min(first, one.permits ? one.permit_at : time_point{});
  }
  return first == kNever ? time_point{} : first;
}

double ParallelRequests(std::span<const leaf_candidate> candidates) {
  double parallel = 0;
  bool warm = false;
  bool cold = false;
  for (const leaf_candidate& one : candidates) {
    if (one.eligibility == leaf_eligibility::unusable) continue;
    if (!one.permits) {
      warm = true;
      parallel += std::min(one.limit, one.slots);
      continue;
    }
    cold = true;
    const auto work = static_cast<double>(one.expected.count());
    const auto rest = static_cast<double>(kPermitRest.count());
    parallel += *one.permits * work / (work + rest);
  }
  return std::max(parallel, cold && !warm ? kMinParallel : 1.0);
}

}  // namespace corianderrail::gateway
