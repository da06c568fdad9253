/** @file service_owner.cpp Accepts work for leafs and reports its outcomes. */

#include "core/service_owner.h"

#include <algorithm>
#include <utility>

#include "core/owner_state.h"

namespace corianderrail {

namespace {

/** Queue limit per rank of a service; more tasks would expire before they
 *  are sent. */
constexpr std::size_t kQueueLimit = 20'000;

/** Largest number of hosts that are notified of the drain of a leaf. */
constexpr std::size_t kMaxContacts = 64;

/** Minimum share of slots that is assumed for a rank without a floor. */
constexpr double kMinShare = 0.01;

const partition_map* FindMap(const topology& map, collection_id collection,
                             snapshot_id snapshot) {
  if (Raw(collection) >= map.collections.size()) return nullptr;
  const auto& maps = map.collections[Raw(collection)].maps;
  const auto found = std::find_if(
      maps.begin(), maps.end(),
      [&](const partition_map& each) { return each.snapshot == snapshot; });
  return found == maps.end() ? nullptr : &*found;
}

/** Partition of a service that holds a key, from the newest map with one; null
 *  if there is none. */
const partition* FindPartition(const collection_info& collection,
                               std::uint64_t key, service_id service) {
  for (auto map = collection.maps.rbegin(); map != collection.maps.rend();
       ++map) {
    const auto after = std::upper_bound(
        map->partitions.begin(), map->partitions.end(), key,
        [](std::uint64_t k, const partition& p) { return k < p.range.begin; });
    if (after == map->partitions.begin()) continue;
    const partition& found = *std::prev(after);
    if (found.service == service) return &found;
  }
  return nullptr;
}

}  // namespace

service_state* service_owner::state::FindService(service_id id) {
  return Raw(id) < by_id.size() ? by_id[Raw(id)] : nullptr;
}

rank_wait service_owner::state::ExpectedWait(service_state& service,
                                             time_point now) const {
  std::uint32_t slots = 0;
  bool free = false;
  for (const leaf_health* leaf : service.leafs) {
    if (leaf->Leaving() || leaf->ejected) continue;
    slots += leaf->Capacity();
    free = free || leaf->HasFreeSlot();
  }
  rank_wait wait{};
  double ahead = 0;
  double used_share = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const double cost = service.cost[i] > 0 ? service.cost[i] : service.mean;
    const double queued = static_cast<double>(service.queue.Live(kAllRanks[i]));
    ahead += queued * cost;
    const double floor = floors[i] / 1e6;
    double expected = static_cast<double>(settings.leaf_timeout.count());
    if (free && ahead == 0) {
      expected = 0;
    } else if (slots > 0) {
      const double available_share =
          std::max({1 - used_share, floor, kMinShare});
      expected = (ahead + cost) / (slots * available_share);
      if (floor > 0) {
        expected = std::min(expected, (queued + 1) * cost / (slots * floor));
      }
    }
    wait[i] = static_cast<std::uint32_t>(std::min(expected, 4e9));
    if (slots > 0) used_share += service.BusyShare(kAllRanks[i], slots, now);
  }
  return wait;
}

void service_owner::state::SendPartResult(const batch_record& batch,
                                          part_result result,
                                          effect_list& effects) const {
  // Consecutive results of one query share a message.
  if (!effects.empty()) {
    auto* last = std::get_if<send_peer_effect>(&effects.back());
    auto* body =
        last == nullptr ? nullptr : std::get_if<subquery_result>(&last->body);
    if (body != nullptr && last->to == batch.from.host &&
        last->to_incarnation == batch.from.incarnation &&
        body->query == batch.query && body->snapshot == batch.snapshot) {
      body->parts.push_back(std::move(result));
      return;
    }
  }
  subquery_result body;
  body.query = batch.query;
  body.snapshot = batch.snapshot;
  body.parts.push_back(std::move(result));
  effects.push_back(send_peer_effect{batch.from.host, batch.address,
                                     batch.from.incarnation, std::move(body)});
}

void service_owner::state::SendOrderResult(const peer_message& from,
                                           const order_attempt& body,
                                           run_state outcome,
                                           refusal_reason reason,
                                           const std::string& payload,
                                           effect_list& effects) const {
  order_result result;
  result.id = body.id;
  result.attempt = body.attempt;
  result.service = body.service;
  result.outcome = outcome;
  result.reason = reason;
  result.payload = payload;
  effects.push_back(send_peer_effect{from.from.host, from.from_address,
                                     from.from.incarnation, std::move(result)});
}

void service_owner::state::EraseTask(slot_handle id) {
  task_record* task = tasks.Find(id);
  RemoveFromQueue(*task);
  --task->service->tasks;
  tasks.Erase(id);
}

void service_owner::state::FinishPart(slot_handle id, part_status status,
                                      std::string payload, time_point now,
                                      effect_list& effects) {
  task_record& task = *tasks.Find(id);
  for (const slot_handle call : task.calls) {
    if (call != 0) CancelCall(call, now, effects);
  }
  batch_record& batch = *batches.Find(task.batch);
  part_result result;
  result.partition = task.partition;
  result.service = task.requested_service;
  result.status = status;
  result.newest = task.service->newest;
  result.wait = ExpectedWait(*task.service, now);
  result.payload = std::move(payload);
  SendPartResult(batch, std::move(result), effects);
  const slot_handle batch_id = task.batch;
  EraseTask(id);
  if (--batch.open > 0) return;
  const auto found = queries.find(query_key{batch.from, batch.query});
  if (found != queries.end() && found->second == batch_id) {
    queries.erase(found);
  }
  batches.Erase(batch_id);
}

void service_owner::state::FinishOrder(slot_handle id, run_state outcome,
                                       refusal_reason reason,
                                       std::string payload, time_point now,
                                       effect_list& effects) {
  task_record& task = *tasks.Find(id);
  const order_work& work = *task.order;
  // Recorded before it is sent, so that a duplicate of the attempt finds the
  // outcome.
  attempts.Finish(work.body.id, outcome, reason, payload);
  const attempt_record* record = attempts.Find(work.body.id);
  order_result result;
  result.id = work.body.id;
  result.attempt = record != nullptr ? record->attempt : work.body.attempt;
  result.service = record != nullptr ? record->service : work.body.service;
  result.outcome = outcome;
  result.reason = reason;
  result.wait = ExpectedWait(*task.service, now);
  result.payload = std::move(payload);
  effects.push_back(send_peer_effect{work.from.host, work.address,
                                     work.from.incarnation, std::move(result)});
  for (const slot_handle call : task.calls) {
    if (call_record* open = calls.Find(call)) open->task = 0;
  }
  EraseTask(id);
}

void service_owner::state::Drop(slot_handle id, time_point now,
                                effect_list& effects) {
  const task_record& task = *tasks.Find(id);
  ++counters.dropped;
  const bool expired = task.deadline <= now;
  if (task.order) {
    FinishOrder(
        id, run_state::not_run,
        expired ? refusal_reason::deadline_passed : refusal_reason::overloaded,
        {}, now, effects);
    return;
  }
  FinishPart(id, expired ? part_status::expired : part_status::overloaded, {},
             now, effects);
}

void service_owner::state::RecordContact(const peer_message& from,
                                         time_point now, effect_list& effects) {
  if (from.from.host == self.host) return;
  const auto found = contacts.find(from.from.host);
  const bool new_process = found == contacts.end() ||
                           found->second.incarnation != from.from.incarnation;
  if (new_process && found == contacts.end() &&
      contacts.size() >= kMaxContacts) {
    contacts.erase(std::min_element(
        contacts.begin(), contacts.end(), [](const auto& a, const auto& b) {
          return a.second.last_message_at < b.second.last_message_at;
        }));
  }
  contacts[from.from.host] = {from.from.incarnation, from.from_address, now};
  if (!new_process) return;
  // A host or process that is new here has missed earlier observations.
  for (const auto& [id, leaf] : leafs) {
    if (!leaf->draining || !leaf->drain_observed_locally) continue;
    effects.push_back(send_peer_effect{from.from.host, from.from_address,
                                       from.from.incarnation,
                                       leaf_observation{id, true}});
  }
}

void service_owner::state::AcceptBatch(const peer_message& from,
                                       const subquery_batch& body,
                                       time_point now, effect_list& effects) {
  RecordContact(from, now, effects);
  const query_key key{from.from, body.query};
  auto known = queries.find(key);
  if (known != queries.end()) {
    const batch_record& previous = *batches.Find(known->second);
    if (previous.snapshot > body.snapshot) return;
    if (previous.snapshot < body.snapshot) {
      // The entry has planned the query again on a newer snapshot.
      CancelQuery(key, now, effects);
      known = queries.end();
    }
  }
  slot_handle id = 0;
  const bool repeated = known != queries.end();
  if (repeated) {
    id = known->second;
  } else {
    batch_record batch;
    batch.from = from.from;
    batch.address = from.from_address;
    batch.query = body.query;
    batch.snapshot = body.snapshot;
    batch.payload = body.payload;
    batch.pinned_topology = current_topology;
    id = batches.Insert(std::move(batch));
    queries[key] = id;
  }
  batch_record& batch = *batches.Find(id);
  ++batch.open;  // Keeps the batch while parts are added.
  const topology* known_topology = batch.pinned_topology.get();
  const partition_map* partitions = nullptr;
  if (known_topology != nullptr) {
    partitions = FindMap(*known_topology, body.collection, body.snapshot);
  }
  if (partitions != nullptr) {
    batch.collection = known_topology->collections[Raw(body.collection)].name;
  }
  for (const subquery_part& part : body.parts) {
    if (repeated && HasOpenPart(batch, part.partition)) continue;
    AcceptPart(body, part, id, partitions, now, effects);
  }
  for (const subquery_part& part : body.parts) {
    service_state* service = FindService(part.service);
    if (service != nullptr) Dispatch(*service, now, effects);
  }
  if (--batch.open > 0) return;
  queries.erase(key);
  batches.Erase(id);
}

bool service_owner::state::HasOpenPart(const batch_record& batch,
                                       partition_id id) {
  return std::any_of(batch.tasks.begin(), batch.tasks.end(),
                     [&](slot_handle task) {
                       const task_record* open = tasks.Find(task);
                       return open != nullptr && open->partition == id;
                     });
}

void service_owner::state::AcceptPart(const subquery_batch& body,
                                      const subquery_part& part,
                                      slot_handle batch_id,
                                      const partition_map* partitions,
                                      time_point now, effect_list& effects) {
  batch_record& batch = *batches.Find(batch_id);
  const std::size_t index = Raw(part.partition);
  service_state* service = FindService(part.service);
  const partition* found = nullptr;
  if (partitions != nullptr && index < partitions->partitions.size()) {
    found = &partitions->partitions[index];
  }
  // A batch from before a change of the topology may number its services
  // differently.
  const bool same_topology = batch.pinned_topology == current_topology;
  if (found == nullptr || service == nullptr || !same_topology ||
      found->service != part.service) {
    part_result result;
    result.partition = part.partition;
    result.service = part.service;
    result.status = part_status::unknown_part;
    SendPartResult(batch, std::move(result), effects);
    return;
  }
  task_record task;
  task.service = service;
  task.requested_service = part.service;
  task.urgency = body.urgency;
  task.arrived = now;
  task.deadline = now + body.remaining;
  task.batch = batch_id;
  task.partition = part.partition;
  task.part = found;
  const slot_handle id = tasks.Insert(std::move(task));
  batch.tasks.push_back(id);
  ++batch.open;
  ++service->tasks;
  Enqueue(id);
  if (body.remaining <= duration::zero() ||
      service->queue.Live(body.urgency) > kQueueLimit) {
    Drop(id, now, effects);
  }
}

void service_owner::state::CancelQuery(const query_key& key, time_point now,
                                       effect_list& effects) {
  const auto found = queries.find(key);
  if (found == queries.end()) return;
  const slot_handle batch = found->second;
  queries.erase(found);
  const std::vector<slot_handle> open = std::move(batches.Find(batch)->tasks);
  for (const slot_handle id : open) {
    task_record* task = tasks.Find(id);
    if (task == nullptr) continue;
    for (const slot_handle call : task->calls) {
      if (call != 0) CancelCall(call, now, effects);
    }
    EraseTask(id);
  }
  batches.Erase(batch);
}

void service_owner::state::AcceptOrder(const peer_message& from,
                                       const order_attempt& body,
                                       time_point now, effect_list& effects) {
  RecordContact(from, now, effects);
  // An attempt that was sent to an earlier incarnation may have run there. Only
  // the home of an order knows which attempts it has made.
  const bool addressed =
      from.to_incarnation == self.incarnation && from.from == body.id.home;
  const attempt_verdict verdict =
      addressed ? attempts.Register(body.id, body.attempt, body.service)
                : attempt_verdict::unknown;
  switch (verdict) {
    case attempt_verdict::run:
      QueueOrder(from, body, now, effects);
      return;
    case attempt_verdict::wait:
    case attempt_verdict::ignore:
      return;
    case attempt_verdict::unknown:
      SendOrderResult(from, body, run_state::unknown,
                      refusal_reason::outcome_unknown, {}, effects);
      return;
    case attempt_verdict::recorded: {
      const attempt_record* record = attempts.Find(body.id);
      SendOrderResult(from, body, record->outcome, record->reason,
                      record->payload, effects);
      return;
    }
  }
}

void service_owner::state::QueueOrder(const peer_message& from,
                                      const order_attempt& body, time_point now,
                                      effect_list& effects) {
  service_state* service = FindService(body.service);
  const partition* part = nullptr;
  if (service != nullptr) {
    const auto collection =
        Raw(current_topology->services[Raw(body.service)].collection);
    if (collection < current_topology->collections.size() &&
        current_topology->collections[collection].name == body.collection) {
      part = FindPartition(current_topology->collections[collection], body.key,
                           body.service);
    }
  }
  if (part == nullptr) {
    // The topology of the home differs; here the service does not hold the key.
    attempts.Finish(body.id, run_state::not_run, refusal_reason::no_topology,
                    {});
    SendOrderResult(from, body, run_state::not_run, refusal_reason::no_topology,
                    {}, effects);
    return;
  }
  task_record task;
  task.service = service;
  task.requested_service = body.service;
  task.urgency = body.urgency;
  task.arrived = now;
  task.deadline = now + body.remaining;
  task.part = part;
  task.order = std::make_unique<order_work>();
  task.order->from = from.from;
  task.order->address = from.from_address;
  task.order->body = body;
  task.order->pinned_topology = current_topology;
  const slot_handle id = tasks.Insert(std::move(task));
  ++service->tasks;
  Enqueue(id);
  if (body.remaining <= duration::zero() ||
      service->queue.Live(body.urgency) > kQueueLimit) {
    Drop(id, now, effects);
    return;
  }
  Dispatch(*service, now, effects);
}

service_owner::service_owner(host_ref self, owner_settings settings,
                             std::uint64_t seed)
    : state_(std::make_unique<state>(self, settings, seed)) {}

service_owner::~service_owner() = default;

void service_owner::SetTopology(std::shared_ptr<const topology> value,
                                time_point now, effect_list& effects) {
  state_->SetTopology(std::move(value), now, effects);
}

void service_owner::SetOwned(std::span<const service_id> services,
                             time_point /*now*/, effect_list& effects) {
  std::vector<bool> wanted(state_->by_id.size(), false);
  for (const service_id id : services) {
    if (Raw(id) < wanted.size()) wanted[Raw(id)] = true;
  }
  std::vector<leaf_health*> released;
  for (const auto& [name, service] : state_->services) {
    const bool owned = service->published && wanted[Raw(service->id)];
    if (service->owned && !owned) {
      released.insert(released.end(), service->leafs.begin(),
                      service->leafs.end());
    }
    service->owned = owned;
  }
  for (const leaf_health* leaf : released) {
    if (leaf->Leaving()) state_->NotifyHosts(*leaf, true, effects);
  }
  state_->UpdateAllConnections(effects);
}

void service_owner::SetFloors(const per_rank<ppm>& floors) {
  state_->floors = floors;
}

void service_owner::OnSubqueryBatch(const peer_message& from,
                                    const subquery_batch& body, time_point now,
                                    effect_list& effects) {
  state_->AcceptBatch(from, body, now, effects);
}

void service_owner::OnSubqueryCancel(const peer_message& from,
                                     const subquery_cancel& body,
                                     time_point now, effect_list& effects) {
  state_->CancelQuery(query_key{from.from, body.query}, now, effects);
  state_->PruneTimers();
}

void service_owner::OnOrderAttempt(const peer_message& from,
                                   const order_attempt& body, time_point now,
                                   effect_list& effects) {
  state_->AcceptOrder(from, body, now, effects);
}

void service_owner::OnLeafReply(const leaf_reply_event& reply, time_point now,
                                effect_list& effects) {
  state_->OnReply(reply, now, effects);
  state_->PruneTimers();
}

void service_owner::OnLeafFailure(const leaf_failure_event& failure,
                                  time_point now, effect_list& effects) {
  state_->OnFailure(Raw(failure.call), failure.failure, now, effects);
  state_->PruneTimers();
}

void service_owner::OnLeafConnections(const leaf_connections_event& connections,
                                      time_point now, effect_list& effects) {
  state_->OnConnections(connections, now, effects);
}

void service_owner::OnHostList(const host_list_event& list, time_point now,
                               effect_list& effects) {
  if (!list.reachable) return;
  for (const host_list_entry& entry : list.entries) {
    const auto found = state_->by_address.find(entry.address);
    if (found == state_->by_address.end()) continue;
    leaf_health& leaf = *found->second;
    if (leaf.listed_leaving == entry.leaving) continue;
    leaf.listed_leaving = entry.leaving;
    if (entry.leaving) state_->NotifyHosts(leaf, true, effects);
    if (!entry.leaving) state_->OnLeafReturned(leaf, now, effects);
    state_->UpdateConnections(leaf, effects);
  }
}

void service_owner::OnLeafObservation(const leaf_observation& observation,
                                      time_point now, effect_list& effects) {
  const auto found = state_->leafs.find(observation.leaf);
  if (found == state_->leafs.end()) return;
  leaf_health& leaf = *found->second;
  if (observation.draining) {
    state_->OnDrainSignal(leaf, false, now, effects);
  } else if (leaf.draining && !leaf.drain_observed_locally) {
    state_->OnLeafReturned(leaf, now, effects);
  }
}

void service_owner::OnTick(time_point now, effect_list& effects) {
  auto& timers = state_->timers;
  while (!timers.empty() && timers.top().when <= now) {
    const timer_entry due = timers.top();
    timers.pop();
    state_->OnTimer(due, now, effects);
  }
  state_->PruneTimers();
}

time_point service_owner::NextWake() const {
  return state_->timers.empty() ? kNever : state_->timers.top().when;
}

void service_owner::OnClockGap(time_point now, effect_list& effects) {
  for (const slot_handle id : state_->calls.Handles()) {
    state_->calls.Find(id)->spans_gap = true;
  }
  for (const slot_handle id : state_->tasks.Handles()) {
    const task_record* task = state_->tasks.Find(id);
    if (task == nullptr) continue;
    const bool waiting = task->state != task_state::in_flight;
    // The home no longer waits for queued attempts from before the pause.
    const bool stale = task->order ? waiting : task->deadline <= now;
    if (stale) state_->Drop(id, now, effects);
  }
  OnTick(now, effects);
}

bool service_owner::Idle() const { return state_->tasks.Size() == 0; }

const owner_counters& service_owner::Counters() const {
  return state_->counters;
}

}  // namespace corianderrail
