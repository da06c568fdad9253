/**
 * @file gateway_restrictions.cpp Zones and regions that become forbidden.
 *
 * A leaf that a request was chosen for may become forbidden while the request
 * still waits: in a queue of this host, or for a connection. What was not sent
 * yet is placed again; what runs completes.
 */

#include <algorithm>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "gateway/gateway_state.h"

namespace corianderrail::gateway {

void gateway::On(evacuation_event& input, time_point now) {
  bool changed = false;
  for (const evacuation_change& change : input.changes) {
    if (!evacuations_.Apply(change, now)) continue;
    changed = true;
    OnZoneChanged(change);
    if (!change.active) OnEvacuationEnd(change.zone, now);
  }
  if (!changed) return;
  CheckSoon(now);
  std::vector<std::uint64_t> open;
  for (const auto& [id, pending] : exchanges_) open.push_back(id);
  RecheckWaiting(std::move(open), now);
  DispatchAllWaiting(now);
}

/** Limits the sending to the leafs of a zone, or lifts the limit. */
void gateway::OnZoneChanged(const evacuation_change& change) {
  std::size_t leafs = 0;
  std::size_t running = 0;
  directory_.Visit([&](const leaf_state& leaf) {
    if (leaf.record.zone != change.zone) return;
    ++leafs;
    running += leaf.monitor.Open();
    LimitSending(leaf);
    const bool connects = !change.active && fleet_.is_entry;
    if (connects && SendsTo(leaf.record.service)) {
      warmup_.Add(leaf.handle, settings_.here.SameRegion(change.zone));
    }
  });
  effects_->push_back(log_effect{
      change.active ? decision::zone_evacuated : decision::zone_restored,
      change.zone,
      {{"revision", std::to_string(change.revision)},
       {"region", std::string(settings_.here.RegionOf(change.zone))},
       {"leafs", std::to_string(leafs)},
       {"open", std::to_string(running)},
       {"zones", std::to_string(evacuations_.Size())}}});
}

const region_set& gateway::HomeRegions(std::string_view host) const {
  static const region_set none;
  return routes_ ? routes_->HomesOf(host) : none;
}

time_point gateway::SendBefore(const leaf_state& leaf) const {
  return std::min(directory_.SendBefore(leaf),
                  evacuations_.SendBefore(leaf.record.zone));
}

/**
 * Enforces the home regions of a newer configuration on open requests too,
 * besides those under which they arrived.
 * @return Number of requests that lost a region.
 */
std::size_t gateway::NarrowOpenRequests(time_point now) {
  std::vector<std::uint64_t> narrowed;
  for (const auto& [id, owner] : exchanges_) {
    exchange& pending = *owner;
    if (pending.matched == nullptr) continue;
    const route* newer =
        routes_->Find(pending.request->host, pending.request->path);
    if (newer == nullptr) continue;
    if (!pending.homes.Require(HomesOf(routes_->Shared(), *newer))) continue;
    narrowed.push_back(id);
    for (const leaf_call call : pending.calls) WithdrawForbidden(pending, call);
  }
  // Nobody waits for these any more, and their homes are not known any more.
  for (const auto& [id, call] : calls_) {
    if (exchanges_.contains(call.exchange)) continue;
    effects_->push_back(withdraw_call_effect{leaf_call{id}});
  }
  const std::size_t count = narrowed.size();
  RecheckWaiting(std::move(narrowed), now);
  return count;
}

/** Withdraws a call to a leaf outside of the homes, unless it was sent. */
void gateway::WithdrawForbidden(const exchange& pending, leaf_call call) {
  const auto found = calls_.find(static_cast<std::uint64_t>(call));
  if (found == calls_.end()) return;
  const leaf_state* leaf = directory_.Find(found->second.leaf);
  const bool permitted =
      leaf != nullptr &&
      pending.homes.PermitsZone(leaf->record.zone, settings_.here);
  if (!permitted) effects_->push_back(withdraw_call_effect{call});
}

/** Fails the waiting parts that no leaf may run any more, so that a request is
 *  answered at once instead of at its deadline. */
void gateway::RecheckWaiting(std::vector<std::uint64_t> exchanges,
                             time_point now) {
  std::sort(exchanges.begin(), exchanges.end());
  for (const std::uint64_t id : exchanges) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    exchange& pending = *found->second;
    bool failed = false;
    for (std::size_t i = 0; i < pending.parts.size(); ++i) {
      part& piece = pending.parts[i];
      if (piece.state != part::phase::waiting) continue;
      if (selector_.HasUsable(piece.service->name, pending.homes, now))
        continue;
      Dequeue(pending, i);
      piece.state = part::phase::failed;
      failed = true;
    }
    if (failed) Advance(id, now);
  }
}

/** Places the first waiting parts of each service. */
void gateway::DispatchAllWaiting(time_point now) {
  std::vector<service_state*> waiting;
  for (const auto& [name, service] : services_) {
    if (!service->queue.Empty()) waiting.push_back(service.get());
  }
  for (service_state* service : waiting) DispatchWaiting(*service, now);
}

}  // namespace corianderrail::gateway
