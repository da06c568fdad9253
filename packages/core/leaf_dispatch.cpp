/** @file leaf_dispatch.cpp Sends queued work to the leafs. */

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/owner_state.h"

namespace corianderrail {

namespace {

/** Time constant with which recorded slot use decays, in microseconds. */
constexpr double kBusyWindowUs = 500'000;

/** Entries of a rank that are tried in one pass when the first ones cannot be
 *  placed because their replicas are busy. */
constexpr std::size_t kMaxScannedEntries = 8;

/** Bounds of the time after which the slot of a cancelled request is taken as
 *  free. The upper bound covers a round trip between regions. */
constexpr duration kMinCancelGrace = std::chrono::milliseconds(1);
constexpr duration kMaxCancelGrace = std::chrono::milliseconds(30);

/** An ejected leaf is readmitted without a probe this long after its probe was
 *  due, because the budget may never hold a token for one. */
constexpr duration kProbeOverdue = std::chrono::seconds(5);

/** Time after its last task for which a service that this host does not own
 *  keeps its leaf connections open. */
constexpr duration kIdleConnectionLifetime = std::chrono::seconds(5);

/** One part in this many of the total time is reserved for the transfers to
 *  this host and back to the entry. The remaining time in the message does not
 *  account for them. Between regions they take 24 ms of a typical 500 ms. */
constexpr int kReplyMarginDivisor = 20;
constexpr duration kMinReplyMargin = std::chrono::milliseconds(2);

/** Time after which a task is no longer sent to a leaf. */
time_point LatestSendTime(const task_record& task, time_point now) {
  const latency_digest& digest = task.service->digest;
  const duration total_time = task.deadline - task.arrived;
  duration reserved =
      std::max(kMinReplyMargin, total_time / kReplyMarginDivisor);
  if (digest.HasEnoughSamples(now)) reserved += digest.RequiredTime();
  // Work whose total time is below the measured latency is still sent during
  // the first half of that time. Otherwise a service that was slow for a while
  // would get no work, and its recovery could not be detected.
  return task.deadline - std::min(reserved, total_time / 2);
}

}  // namespace

void service_state::AddBusyTime(rank urgency, double micros, time_point now) {
  const double elapsed = static_cast<double>((now - busy_at).count());
  const double decay = std::exp(-elapsed / kBusyWindowUs);
  for (double& used : busy) used *= decay;
  busy_at = now;
  busy[RankIndex(urgency)] += micros;
}

double service_state::BusyShare(rank urgency, std::uint32_t slots,
                                time_point now) const {
  const double elapsed = static_cast<double>((now - busy_at).count());
  const double decay = std::exp(-elapsed / kBusyWindowUs);
  return busy[RankIndex(urgency)] * decay / kBusyWindowUs / slots;
}

bool service_owner::state::CannotFinish(const task_record& task,
                                        time_point now) const {
  return now >= LatestSendTime(task, now);
}

void service_owner::state::Enqueue(slot_handle id) {
  task_record& task = *tasks.Find(id);
  task.state = task_state::queued;
  task.sequence = next_sequence++;
  task.service->queue.Push(task.urgency, {task.deadline, task.sequence, id});
  task.service->queue.AddLive(task.urgency);
}

void service_owner::state::RemoveFromQueue(task_record& task) {
  if (task.state != task_state::queued) return;
  task.service->queue.RemoveLive(task.urgency);
  task.state = task_state::in_flight;
}

void service_owner::state::Dispatch(service_state& service, time_point now,
                                    effect_list& effects) {
  if (!service.owned && service.tasks > 0) {
    for (leaf_health* leaf : service.leafs) {
      if (leaf->target_connections == 0) UpdateConnections(*leaf, effects);
    }
  }
  // Hedges that wait for a slot go first. They were due before this dispatch,
  // and queued work would otherwise take every slot that becomes free.
  for (const slot_handle id : service.queue.ExtractWaitingHedges()) {
    Hedge(id, now, effects);
  }
  while (service.queue.LiveTotal() > 0) {
    bool sent = false;
    for (const rank urgency : service.queue.ServingOrder(floors)) {
      if (service.queue.Live(urgency) == 0) continue;
      sent = DispatchRank(service, urgency, now, effects);
      if (sent) break;
    }
    if (!sent) break;
  }
  ArmService(service, now);
}

bool service_owner::state::DispatchRank(service_state& service, rank urgency,
                                        time_point now, effect_list& effects) {
  bool sent = false;
  deferred.clear();
  while (!sent && deferred.size() < kMaxScannedEntries) {
    const queue_entry* front = service.queue.Front(urgency);
    if (front == nullptr) break;
    const queue_entry entry = *front;
    const task_record* task = tasks.Find(entry.task);
    const bool live = task != nullptr && task->state == task_state::queued &&
                      task->sequence == entry.sequence;
    if (!live) {
      service.queue.Pop(urgency);
      continue;
    }
    if (CannotFinish(*task, now)) {
      service.queue.Pop(urgency);
      Drop(entry.task, now, effects);
      continue;
    }
    const leaf_choice choice = Choose(*task, now);
    // When no leaf of the service has a free slot, no other entry can be
    // placed either.
    if (choice.verdict == placement::busy && !choice.any_free) break;
    service.queue.Pop(urgency);
    if (choice.verdict == placement::busy) {
      deferred.push_back(entry);
    } else if (choice.verdict == placement::placed) {
      RemoveFromQueue(*tasks.Find(entry.task));
      Send(entry.task, *choice.leaf,
           task->is_retry ? call_purpose::retry : call_purpose::first, now,
           effects);
      sent = true;
    } else {
      FinishUnplaced(entry.task, choice.verdict, now, effects);
    }
  }
  for (const queue_entry& entry : deferred) service.queue.Push(urgency, entry);
  return sent;
}

void service_owner::state::FinishUnplaced(slot_handle id, placement verdict,
                                          time_point now,
                                          effect_list& effects) {
  const task_record& task = *tasks.Find(id);
  if (task.order) {
    FinishOrder(id, run_state::not_run, refusal_reason::upstream_refused, {},
                now, effects);
    return;
  }
  const part_status status = verdict == placement::missing_snapshot
                                 ? part_status::wrong_snapshot
                                 : task.last_status;
  FinishPart(id, status, {}, now, effects);
}

leaf_request service_owner::state::MakeRequest(const task_record& task,
                                               time_point now) {
  leaf_request request;
  request.urgency = task.urgency;
  request.remaining = task.deadline - now;
  if (task.order) {
    const order_attempt& body = task.order->body;
    request.collection = body.collection;
    request.range = {body.key, body.key + 1};
    request.order = body.id;
    request.payload = body.payload;
    return request;
  }
  const batch_record& batch = *batches.Find(task.batch);
  request.collection = batch.collection;
  request.snapshot = batch.snapshot;
  request.range = task.part->range;
  request.payload = batch.payload;
  return request;
}

void service_owner::state::Send(slot_handle id, leaf_health& leaf,
                                call_purpose purpose, time_point now,
                                effect_list& effects) {
  task_record& task = *tasks.Find(id);
  service_state& service = *task.service;
  call_record call;
  call.task = id;
  call.service = &service;
  call.leaf = &leaf;
  call.sent = now;
  call.purpose = purpose;
  call.urgency = task.urgency;
  const slot_handle handle = calls.Insert(call);
  ++service.refs;
  leaf.calls.push_back(handle);
  *std::find(task.calls.begin(), task.calls.end(), slot_handle{0}) = handle;
  effects.push_back(send_leaf_effect{leaf_call_id{handle}, leaf.info.id,
                                     MakeRequest(task, now)});
  ++counters.leaf_requests;
  if (purpose == call_purpose::hedge) ++counters.hedges;
  if (purpose == call_purpose::retry) ++counters.retries;
  ArmCall(handle, now);
  if (purpose != call_purpose::first) return;
  const std::size_t i = RankIndex(task.urgency);
  const double cost = service.cost[i] > 0 ? service.cost[i] : service.mean;
  service.queue.Charge(task.urgency, duration(static_cast<duration::rep>(cost)),
                       floors);
  service.AddBusyTime(task.urgency, cost, now);
  service.budget.OnRequest();
  GrantTokens(service, now);
  SendProbes(id, now, effects);
}

void service_owner::state::SendProbes(slot_handle id, time_point now,
                                      effect_list& effects) {
  const task_record& task = *tasks.Find(id);
  if (task.order) return;
  service_state& service = *task.service;
  const snapshot_id snapshot = batches.Find(task.batch)->snapshot;
  for (leaf_health* leaf : service.leafs) {
    if (!leaf->ejected || leaf->probing || leaf->probe_at > now) continue;
    if (now - leaf->probe_at >= kProbeOverdue) {
      leaf->Readmit(now);
      continue;
    }
    if (!leaf->HasFreeSlot() || !ServesPart(task, *leaf)) continue;
    if (leaf->LacksPart(snapshot, task.part->range, now)) continue;
    if (!service.budget.TryAcquireForFault()) return;
    leaf->probing = true;
    Send(id, *leaf, call_purpose::probe, now, effects);
    return;
  }
}

bool service_owner::state::HasPendingAttempt(const task_record& task) {
  if (task.state != task_state::in_flight) return true;
  // A probe does not count, because its leaf is expected to be slow.
  return std::any_of(task.calls.begin(), task.calls.end(), [&](slot_handle id) {
    const call_record* call = calls.Find(id);
    return call != nullptr && call->purpose != call_purpose::probe;
  });
}

void service_owner::state::Retry(slot_handle id, const leaf_health& leaf,
                                 time_point now, effect_list& effects) {
  task_record& task = *tasks.Find(id);
  if (task.tried_count < task.tried.size()) {
    task.tried[task.tried_count++] = leaf.info.id;
  }
  if (HasPendingAttempt(task)) return;
  const placement verdict = Choose(task, now).verdict;
  if (verdict == placement::exhausted ||
      verdict == placement::missing_snapshot) {
    FinishUnplaced(id, verdict, now, effects);
    return;
  }
  task.is_retry = true;
  if (task.service->budget.TryAcquireForRetry(now)) {
    Enqueue(id);
    return;
  }
  task.state = task_state::token_wait;
  task.service->token_wait.push_back(id);
  ArmTokenWait(id, now);
}

void service_owner::state::ArmTokenWait(slot_handle id, time_point now) {
  const task_record& task = *tasks.Find(id);
  const time_point wake =
      std::min(LatestSendTime(task, now), task.service->budget.NextRetry());
  AddTimer(std::max(wake, now), timer_kind::task, id);
}

void service_owner::state::OnTokenWaitTimer(slot_handle id, time_point now,
                                            effect_list& effects) {
  const task_record* task = tasks.Find(id);
  if (task == nullptr || task->state != task_state::token_wait) return;
  if (LatestSendTime(*task, now) <= now) {
    Drop(id, now, effects);
    return;
  }
  service_state& service = *task->service;
  GrantTokens(service, now);
  if (task->state == task_state::token_wait) ArmTokenWait(id, now);
  Dispatch(service, now, effects);
}

void service_owner::state::GrantTokens(service_state& service, time_point now) {
  while (!service.token_wait.empty()) {
    const slot_handle id = service.token_wait.front();
    const task_record* task = tasks.Find(id);
    const bool waits = task != nullptr && task->state == task_state::token_wait;
    if (waits && !service.budget.TryAcquireForRetry(now)) return;
    service.token_wait.pop_front();
    if (waits) Enqueue(id);
  }
}

void service_owner::state::CancelCall(slot_handle id, time_point now,
                                      effect_list& effects) {
  call_record& call = *calls.Find(id);
  call.task = 0;
  // A probe continues after another leaf has answered the part, because the
  // probe measures its own leaf.
  if (call.purpose == call_purpose::probe) return;
  StopCall(id, now, effects);
}

void service_owner::state::StopCall(slot_handle id, time_point now,
                                    effect_list& effects) {
  call_record& call = *calls.Find(id);
  call.task = 0;
  call.cancelled = true;
  if (!call.spans_gap) RecordCancelledCall(call, now);
  effects.push_back(cancel_leaf_effect{leaf_call_id{id}, call.leaf->info.id});
  ++counters.cancelled;
  // The cancellation needs one round trip, for which the lowest latency of the
  // leaf is an upper bound.
  call.release_at = now + std::clamp(call.leaf->MinLatency(), kMinCancelGrace,
                                     kMaxCancelGrace);
  AddTimer(call.release_at, timer_kind::call, id);
  MaybeEject(*call.service, *call.leaf, now, effects);
}

void service_owner::state::DropExpired(service_state& service, time_point now,
                                       effect_list& effects) {
  for (const rank urgency : kAllRanks) {
    while (const queue_entry* front = service.queue.Front(urgency)) {
      const queue_entry entry = *front;
      const task_record* task = tasks.Find(entry.task);
      const bool live = task != nullptr && task->state == task_state::queued &&
                        task->sequence == entry.sequence;
      if (live && !CannotFinish(*task, now)) break;
      service.queue.Pop(urgency);
      if (live) Drop(entry.task, now, effects);
    }
  }
}

void service_owner::state::ArmService(service_state& service, time_point now) {
  time_point when = kNever;
  for (const rank urgency : kAllRanks) {
    if (service.queue.Live(urgency) == 0) continue;
    const queue_entry* front = service.queue.Front(urgency);
    const task_record* task = tasks.Find(front->task);
    when = std::min(
        when, task == nullptr ? front->deadline : LatestSendTime(*task, now));
  }
  if (!service.owned && service.tasks == 0) {
    when = std::min(when, now + kIdleConnectionLifetime);
  }
  if (when >= service.timer_at) return;
  service.timer_at = std::max(when, now);
  ++service.refs;
  AddTimer(service.timer_at, timer_kind::service, 0, &service);
}

}  // namespace corianderrail
