/** @file leaf_lifecycle.cpp Topology, connections and drain of leafs. */

#include <algorithm>
#include <utility>

#include "core/owner_state.h"

namespace corianderrail {

namespace {

/** Connections opened in addition to one per slot: for cancellations, and for
 *  cancelled requests that still occupy their connection. */
constexpr std::uint32_t kSpareConnections = 2;

/** The observation of a drain is sent once and repeated twice within 800 ms.
 * With 5% message loss, a host misses all three in 1 of 8,000 cases. */
constexpr std::uint32_t kObservationRepeats = 2;
constexpr duration kObservationInterval = std::chrono::milliseconds(400);

/** A draining leaf that becomes reachable after at least this time without a
 *  connection counts as a new process. */
constexpr duration kMinRestartOutage = std::chrono::seconds(1);

/** A drain ends this long after its latest signal, because leafs stop within
 *  minutes of it. */
constexpr duration kMaxDrainTime = std::chrono::minutes(10);

}  // namespace

leaf_health& service_owner::state::PublishLeaf(const leaf_info& info) {
  auto& entry = leafs[info.id];
  if (!entry) entry = std::make_unique<leaf_health>();
  leaf_health& leaf = *entry;
  if (!leaf.published || (leaf.info.leaving && !info.leaving)) {
    leaf.StartCold();
  }
  leaf.info = info;
  leaf.published = true;
  by_address[info.address] = &leaf;
  return leaf;
}

void service_owner::state::PublishService(const service_info& info,
                                          std::size_t index) {
  auto& entry = services[info.name];
  if (!entry) entry = std::make_unique<service_state>(settings);
  service_state& service = *entry;
  service.id = service_id{static_cast<std::uint32_t>(index)};
  service.published = true;
  by_id[index] = &service;
  service.leafs.clear();
  for (const leaf_info& each : info.leafs) {
    leaf_health& leaf = PublishLeaf(each);
    leaf.services.push_back(&service);
    service.leafs.push_back(&leaf);
  }
}

void service_owner::state::SetTopology(std::shared_ptr<const topology> value,
                                       time_point now, effect_list& effects) {
  current_topology = std::move(value);
  for (const auto& [name, service] : services) {
    service->published = false;
    service->leafs.clear();
  }
  std::vector<leaf_health*> previous;
  for (const auto& [id, leaf] : leafs) {
    if (leaf->published) previous.push_back(leaf.get());
    leaf->services.clear();
  }
  by_id.assign(current_topology->services.size(), nullptr);
  by_address.clear();
  for (std::size_t i = 0; i < current_topology->services.size(); ++i) {
    PublishService(current_topology->services[i], i);
  }
  for (leaf_health* leaf : previous) {
    if (leaf->services.empty()) leaf->published = false;
  }
  RetireServices(now, effects);
  UpdateAllConnections(effects);
  std::erase_if(leafs, [](const auto& entry) {
    return !entry.second->published && entry.second->calls.empty();
  });
  for (service_state* service : by_id) Dispatch(*service, now, effects);
}

void service_owner::state::RetireServices(time_point now,
                                          effect_list& effects) {
  for (const slot_handle id : tasks.Handles()) {
    const task_record& task = *tasks.Find(id);
    if (task.service->published) continue;
    if (!task.order) {
      FinishPart(id, part_status::failed, {}, now, effects);
    } else if (task.state != task_state::in_flight) {
      FinishOrder(id, run_state::not_run, refusal_reason::no_topology, {}, now,
                  effects);
    }
  }
  std::erase_if(services, [](const auto& entry) {
    const service_state& service = *entry.second;
    return !service.published && service.tasks == 0 && service.refs == 0;
  });
}

void service_owner::state::UpdateConnections(leaf_health& leaf,
                                             effect_list& effects) const {
  const bool used = leaf.published &&
                    std::any_of(leaf.services.begin(), leaf.services.end(),
                                [](const service_state* service) {
                                  return service->owned || service->tasks > 0;
                                });
  const auto open_call_count = static_cast<std::uint32_t>(leaf.calls.size());
  std::uint32_t target = open_call_count;
  if (used && !leaf.Leaving()) {
    const std::uint64_t part = std::uint64_t{leaf.info.connections} *
                               settings.connection_share / 1'000'000;
    const auto limit = static_cast<std::uint32_t>(std::max<std::uint64_t>(
        part, std::min<std::uint32_t>(1, leaf.info.connections)));
    target = std::min(limit, leaf.info.slots + kSpareConnections);
  } else if (used && leaf.draining) {
    // One idle connection detects when the leaf stops and when it returns.
    target = std::max<std::uint32_t>(open_call_count, 1);
  }
  if (target == leaf.target_connections) return;
  leaf.target_connections = target;
  effects.push_back(
      set_connections_effect{leaf.info.id, leaf.info.address, target});
}

void service_owner::state::UpdateAllConnections(effect_list& effects) {
  for (const auto& [id, leaf] : leafs) UpdateConnections(*leaf, effects);
}

void service_owner::state::OnConnections(const leaf_connections_event& event,
                                         time_point now, effect_list& effects) {
  const auto found = leafs.find(event.leaf);
  if (found == leafs.end()) return;
  leaf_health& leaf = *found->second;
  const std::uint32_t previous = leaf.open_connections;
  leaf.open_connections = event.open;
  if (event.open == 0 && previous > 0) leaf.closed_at = now;
  if (event.open > 0 && previous == 0) {
    const bool returned = leaf.draining &&
                          leaf.closed_at > leaf.last_drain_signal &&
                          now - leaf.closed_at >= kMinRestartOutage;
    leaf.StartCold();
    if (returned) OnLeafReturned(leaf, now, effects);
  }
  DispatchLeaf(leaf, now, effects);
}

void service_owner::state::DispatchLeaf(const leaf_health& leaf, time_point now,
                                        effect_list& effects) {
  if (!leaf.HasFreeSlot()) return;
  for (service_state* service : leaf.services) {
    if (service->queue.LiveTotal() == 0 && service->owned) continue;
    Dispatch(*service, now, effects);
  }
}

void service_owner::state::NotifyHosts(const leaf_health& leaf, bool draining,
                                       effect_list& effects) {
  for (const auto& [host, contact] : contacts) {
    effects.push_back(
        send_peer_effect{host, contact.address, contact.incarnation,
                         leaf_observation{leaf.info.id, draining}});
  }
}

void service_owner::state::OnDrainSignal(leaf_health& leaf,
                                         bool observed_locally, time_point now,
                                         effect_list& effects) {
  const bool first_local_report =
      observed_locally && !leaf.drain_observed_locally;
  if (!leaf.draining) {
    effects.push_back(log_effect{"leaf " + leaf.info.address +
                                 " is draining; it gets no new work"});
    AddTimer(now + kMaxDrainTime, timer_kind::leaf, Raw(leaf.info.id));
  }
  leaf.draining = true;
  leaf.last_drain_signal = now;
  if (first_local_report) {
    leaf.drain_observed_locally = true;
    leaf.notifications_left = kObservationRepeats;
    NotifyHosts(leaf, true, effects);
    AddTimer(now + kObservationInterval, timer_kind::leaf, Raw(leaf.info.id));
  }
  UpdateConnections(leaf, effects);
}

void service_owner::state::OnLeafReturned(leaf_health& leaf, time_point now,
                                          effect_list& effects) {
  if (leaf.drain_observed_locally) NotifyHosts(leaf, false, effects);
  leaf.draining = false;
  leaf.drain_observed_locally = false;
  leaf.notifications_left = 0;
  leaf.StartCold();
  UpdateConnections(leaf, effects);
  DispatchLeaf(leaf, now, effects);
}

void service_owner::state::OnLeafTimer(leaf_health& leaf, time_point now,
                                       effect_list& effects) {
  if (!leaf.draining) return;
  if (now - leaf.last_drain_signal >= kMaxDrainTime) {
    OnLeafReturned(leaf, now, effects);
    return;
  }
  if (leaf.notifications_left == 0) {
    AddTimer(leaf.last_drain_signal + kMaxDrainTime, timer_kind::leaf,
             Raw(leaf.info.id));
    return;
  }
  --leaf.notifications_left;
  NotifyHosts(leaf, true, effects);
  AddTimer(now + kObservationInterval, timer_kind::leaf, Raw(leaf.info.id));
}

}  // namespace corianderrail
