/** @file leaf_call.cpp Replies, timers, hedges and outlier detection. */

#include <algorithm>
#include <utility>

#include "core/owner_state.h"

namespace corianderrail {

namespace {

/** Age, in multiples of the tail quantile, from which a request counts as slow.
 *  With exponential latencies, 1 request in 8,000 gets that old on a healthy
 *  leaf. */
constexpr int kSlowTails = 3;

/** Age, in multiples of the tail quantile, from which a hedge may use the
 *  tokens reserved for faults. */
constexpr int kOutlierTails = 2;

/** Age, in halves of the tail quantile, from which a cancelled request counts
 *  as slow. A hedge that is sent after one tail quantile may be answered well
 *  before two. */
constexpr int kCancelledHalfTails = 3;

/** Check interval of a request while there is no latency estimate, and
 *  minimum interval between attempts to hedge. */
constexpr duration kRecheck = std::chrono::milliseconds(20);
constexpr duration kMinRecheck = std::chrono::milliseconds(1);

/** Number of unsent requests of a task at which the leaf counts as tried and
 *  the next request as a retry. */
constexpr std::uint8_t kMaxUnsentAttempts = 3;

/** Weight of a new latency in the mean latencies of a service. */
constexpr double kMeanSmoothing = 0.05;

void Smooth(double& mean, double value) {
  mean = mean == 0 ? value : mean + kMeanSmoothing * (value - mean);
}

}  // namespace

void service_owner::state::ReleaseCall(slot_handle id) {
  const call_record* call = calls.Find(id);
  auto& open_calls = call->leaf->calls;
  const auto found = std::find(open_calls.begin(), open_calls.end(), id);
  *found = open_calls.back();
  open_calls.pop_back();
  --call->service->refs;
  calls.Erase(id);
}

void service_owner::state::DetachCall(task_record& task, slot_handle call) {
  std::replace(task.calls.begin(), task.calls.end(), call, slot_handle{0});
}

void service_owner::state::OnReply(const leaf_reply_event& event,
                                   time_point now, effect_list& effects) {
  const slot_handle id = Raw(event.call);
  const call_record* found = calls.Find(id);
  if (found == nullptr) return;
  const call_record call = *found;
  ReleaseCall(id);
  const leaf_reply& reply = event.reply;
  if (reply.draining) OnDrainSignal(*call.leaf, true, now, effects);
  call.service->newest = std::max(call.service->newest, reply.newest);
  if (call.leaf->Leaving()) UpdateConnections(*call.leaf, effects);
  if (call.purpose == call_purpose::probe) {
    RecordProbeResult(call, reply.status == leaf_status::ok, now);
  }
  if (call.task != 0) {
    DetachCall(*tasks.Find(call.task), id);
    HandleReply(call, reply, now, effects);
  }
  DispatchLeaf(*call.leaf, now, effects);
}

void service_owner::state::HandleReply(const call_record& call,
                                       const leaf_reply& reply, time_point now,
                                       effect_list& effects) {
  task_record& task = *tasks.Find(call.task);
  leaf_health& leaf = *call.leaf;
  const bool order = task.order != nullptr;
  // A reply from another snapshot counts as failed, because an answer must not
  // mix snapshots.
  const bool crossed = !order && reply.status == leaf_status::ok &&
                       reply.snapshot != batches.Find(task.batch)->snapshot;
  const leaf_status status = crossed ? leaf_status::failed : reply.status;
  switch (status) {
    case leaf_status::ok:
      RecordLatency(call, now);
      MaybeEject(*call.service, leaf, now, effects);
      if (order) {
        FinishOrder(call.task, run_state::ran, {}, reply.payload, now, effects);
      } else {
        FinishPart(call.task, part_status::ok, reply.payload, now, effects);
      }
      return;
    case leaf_status::not_run:
      leaf.OnShed();
      task.last_status = part_status::overloaded;
      break;
    case leaf_status::wrong_snapshot:
      if (!order) {
        leaf.RecordMissingPart(batches.Find(task.batch)->snapshot,
                               task.part->range, now);
      }
      task.last_status = part_status::wrong_snapshot;
      break;
    case leaf_status::failed:
      RecordFailure(*call.service, leaf, now, effects);
      if (order) {
        FinishOrder(call.task, run_state::unknown,
                    refusal_reason::outcome_unknown, {}, now, effects);
        return;
      }
      task.last_status = part_status::failed;
      break;
  }
  Retry(call.task, leaf, now, effects);
}

void service_owner::state::OnFailure(slot_handle id, leaf_failure failure,
                                     time_point now, effect_list& effects) {
  const call_record* found = calls.Find(id);
  if (found == nullptr) return;
  const call_record call = *found;
  leaf_health& leaf = *call.leaf;
  ReleaseCall(id);
  if (leaf.Leaving()) UpdateConnections(leaf, effects);
  if (call.purpose == call_purpose::probe) RecordProbeResult(call, false, now);
  if (call.task != 0) {
    RecordFailure(*call.service, leaf, now, effects);
    task_record& task = *tasks.Find(call.task);
    DetachCall(task, id);
    task.last_status = part_status::failed;
    if (failure == leaf_failure::not_sent &&
        ++task.unsent < kMaxUnsentAttempts) {
      // No byte was sent, so sending again adds no load.
      if (!HasPendingAttempt(task)) Enqueue(call.task);
    } else if (failure != leaf_failure::not_sent && task.order) {
      FinishOrder(call.task, run_state::unknown,
                  refusal_reason::outcome_unknown, {}, now, effects);
    } else {
      Retry(call.task, leaf, now, effects);
    }
  }
  Dispatch(*call.service, now, effects);
  DispatchLeaf(leaf, now, effects);
}

void service_owner::state::RecordLatency(const call_record& call,
                                         time_point now) {
  if (call.spans_gap || call.purpose == call_purpose::probe) return;
  service_state& service = *call.service;
  leaf_health& leaf = *call.leaf;
  const duration latency = now - call.sent;
  leaf.AddLatency(latency, service.mean, now);
  if (!call.counted_slow) leaf.OnSuccess();
  if (leaf.ejected) return;
  service.digest.Add(latency, now);
  const auto micros = static_cast<double>(latency.count());
  Smooth(service.mean, micros);
  Smooth(service.cost[RankIndex(call.urgency)], micros);
}

void service_owner::state::RecordCancelledCall(call_record& call,
                                               time_point now) {
  const service_state& service = *call.service;
  const duration age = now - call.sent;
  call.leaf->AddCensored(age, service.mean, now);
  // A hedge that is answered first cancels the request before it is old enough
  // for RecordSlowCall(). Without this count, hedges would hide a slow leaf.
  if (call.counted_slow || call.purpose == call_purpose::probe) return;
  if (!service.digest.HasEnoughSamples(now)) return;
  if (2 * age < kCancelledHalfTails * service.digest.Tail()) return;
  call.counted_slow = true;
  ++call.leaf->consecutive_slow;
}

void service_owner::state::RecordProbeResult(const call_record& call, bool good,
                                             time_point now) {
  leaf_health& leaf = *call.leaf;
  if (!leaf.ejected) return;
  const auto latency = static_cast<double>((now - call.sent).count());
  const double limit =
      std::max(kStragglerFactor * call.service->mean,
               static_cast<double>(call.service->digest.Tail().count()));
  if (good && !call.spans_gap && latency <= limit) {
    leaf.Readmit(now);
  } else {
    leaf.ProbeFailed(now);
  }
}

void service_owner::state::RecordFailure(service_state& service,
                                         leaf_health& leaf, time_point now,
                                         effect_list& effects) {
  ++leaf.consecutive_failures;
  MaybeEject(service, leaf, now, effects);
}

bool service_owner::state::IsOutlier(const service_state& service,
                                     const leaf_health& leaf, time_point now) {
  std::array<double, 16> means{};
  std::size_t count = 0;
  bool has_healthy_peer = false;
  for (const leaf_health* peer : service.leafs) {
    if (peer == &leaf || peer->ejected || peer->open_connections == 0) continue;
    if (peer->consecutive_slow == 0 && peer->consecutive_failures == 0 &&
        !IsStalled(service, *peer, now)) {
      has_healthy_peer = true;
    }
    if (peer->Samples() < kStragglerSamples || count == means.size()) continue;
    means[count++] = peer->Mean();
  }
  if (!has_healthy_peer) return false;
  if (leaf.consecutive_failures >= kFailuresToEject) return true;
  if (leaf.consecutive_slow >= kSlowRequestsToEject) return true;
  if (count == 0 || leaf.Samples() < kStragglerSamples) return false;
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(means.begin(), middle,
                   means.begin() + static_cast<std::ptrdiff_t>(count));
  return leaf.Mean() > kStragglerFactor * *middle;
}

void service_owner::state::MaybeEject(service_state& service, leaf_health& leaf,
                                      time_point now, effect_list& effects) {
  const bool possible_outlier = leaf.consecutive_slow >= kSlowRequestsToEject ||
                                leaf.consecutive_failures >= kFailuresToEject ||
                                (leaf.Samples() >= kStragglerSamples &&
                                 leaf.Mean() > kStragglerFactor * service.mean);
  // The comparison with all peers runs only for a leaf that may be an outlier.
  if (leaf.ejected || !possible_outlier) return;
  // Ejecting more than half of the replicas would overload the others.
  for (const service_state* user : leaf.services) {
    const auto ejected =
        std::count_if(user->leafs.begin(), user->leafs.end(),
                      [](const leaf_health* peer) { return peer->ejected; });
    if (2 * (static_cast<std::size_t>(ejected) + 1) > user->leafs.size()) {
      return;
    }
  }
  if (!IsOutlier(service, leaf, now)) return;
  leaf.Eject(now);
  ++counters.ejections;
  effects.push_back(log_effect{"leaf " + leaf.info.address +
                               " is slower than its peers or failing; "
                               "ejected until a probe succeeds"});
  const std::vector<slot_handle> open_calls = leaf.calls;
  for (const slot_handle id : open_calls) Hedge(id, now, effects);
}

void service_owner::state::Hedge(slot_handle id, time_point now,
                                 effect_list& effects) {
  const call_record* found = calls.Find(id);
  if (found == nullptr || found->task == 0) return;
  const call_record call = *found;
  if (call.purpose == call_purpose::probe) return;
  task_record& task = *tasks.Find(call.task);
  if (task.order || task.hedged) return;
  leaf_health* other = ChooseHedge(task, call, now);
  if (other == nullptr) return;
  service_state& service = *call.service;
  const bool outlier = call.leaf->ejected ||
                       now - call.sent >= kOutlierTails * service.digest.Tail();
  const bool granted = outlier ? service.budget.TryAcquireForFault()
                               : service.budget.TryAcquireForTail();
  if (!granted) return;
  task.hedged = true;
  Send(call.task, *other, call_purpose::hedge, now, effects);
}

void service_owner::state::RecordSlowCall(slot_handle id, time_point now,
                                          effect_list& effects) {
  call_record& call = *calls.Find(id);
  call.counted_slow = true;
  ++call.leaf->consecutive_slow;
  MaybeEject(*call.service, *call.leaf, now, effects);
}

void service_owner::state::ArmCall(slot_handle id, time_point now) {
  const call_record& call = *calls.Find(id);
  const service_state& service = *call.service;
  const duration tail = service.digest.Tail();
  time_point when = call.sent + settings.leaf_timeout;
  const task_record* task = tasks.Find(call.task);
  if (task != nullptr && !task->order) when = std::min(when, task->deadline);
  if (!service.digest.HasEnoughSamples(now)) {
    when = std::min(when, now + kRecheck);
  } else {
    if (!call.counted_slow && !call.spans_gap) {
      when = std::min(when, std::max(call.sent + kSlowTails * tail, now));
    }
    if (task != nullptr && !task->order && !task->hedged &&
        service.leafs.size() > 1) {
      const duration step = std::max(kMinRecheck, tail / 4);
      const time_point next =
          now < call.sent + tail ? call.sent + tail : now + step;
      when = std::min(when, next);
    }
  }
  AddTimer(std::max(when, now + duration(1)), timer_kind::call, id);
}

void service_owner::state::OnCallTimer(slot_handle id, time_point now,
                                       effect_list& effects) {
  call_record* call = calls.Find(id);
  if (call == nullptr) return;
  leaf_health& leaf = *call->leaf;
  service_state& service = *call->service;
  const duration age = now - call->sent;
  if (call->cancelled) {
    // Ignores timers that were set before the cancellation.
    if (now < call->release_at) return;
    ReleaseCall(id);
    if (leaf.Leaving()) UpdateConnections(leaf, effects);
    DispatchLeaf(leaf, now, effects);
    return;
  }
  const task_record* task = tasks.Find(call->task);
  if (task != nullptr && !task->order && task->deadline <= now) {
    FinishPart(call->task, part_status::expired, {}, now, effects);
    if (calls.Find(id)->cancelled) return;
    task = nullptr;
  }
  if (age >= settings.leaf_timeout) {
    OnCallTimeout(id, now, effects);
    return;
  }
  const bool has_latency_estimate = service.digest.HasEnoughSamples(now);
  const duration tail = service.digest.Tail();
  if (has_latency_estimate && !call->counted_slow && !call->spans_gap &&
      age >= kSlowTails * tail) {
    if (call->purpose == call_purpose::probe) {
      RecordProbeResult(*call, false, now);
      call->counted_slow = true;
      if (task == nullptr) {
        StopCall(id, now, effects);
        return;
      }
    } else {
      RecordSlowCall(id, now, effects);
    }
  }
  if (has_latency_estimate && task != nullptr && age >= tail)
    Hedge(id, now, effects);
  ArmCall(id, now);
}

void service_owner::state::OnCallTimeout(slot_handle id, time_point now,
                                         effect_list& effects) {
  const call_record call = *calls.Find(id);
  if (call.purpose == call_purpose::probe) RecordProbeResult(call, false, now);
  task_record* task = tasks.Find(call.task);
  if (task != nullptr && task->order) {
    FinishOrder(call.task, run_state::unknown, refusal_reason::outcome_unknown,
                {}, now, effects);
    ReleaseCall(id);
    RecordFailure(*call.service, *call.leaf, now, effects);
    return;
  }
  StopCall(id, now, effects);
  RecordFailure(*call.service, *call.leaf, now, effects);
  if (task == nullptr) return;
  DetachCall(*task, id);
  task->last_status = part_status::failed;
  Retry(call.task, *call.leaf, now, effects);
  Dispatch(*call.service, now, effects);
}

void service_owner::state::OnTimer(const timer_entry& timer, time_point now,
                                   effect_list& effects) {
  switch (timer.kind) {
    case timer_kind::call:
      OnCallTimer(timer.handle, now, effects);
      return;
    case timer_kind::task:
      OnTokenWaitTimer(timer.handle, now, effects);
      return;
    case timer_kind::service: {
      service_state& service = *timer.service;
      --service.refs;
      if (service.timer_at <= now) service.timer_at = kNever;
      DropExpired(service, now, effects);
      if (!service.owned && service.tasks == 0) {
        for (leaf_health* leaf : service.leafs) {
          UpdateConnections(*leaf, effects);
        }
        return;
      }
      Dispatch(service, now, effects);
      return;
    }
    case timer_kind::leaf: {
      const auto found = leafs.find(leaf_id{timer.handle});
      if (found != leafs.end()) OnLeafTimer(*found->second, now, effects);
      return;
    }
  }
}

void service_owner::state::PruneTimers() {
  // Most call timers outlive their call. Waking up for them would double the
  // number of events.
  while (!timers.empty()) {
    const timer_entry& top = timers.top();
    if (top.kind == timer_kind::call) {
      if (calls.Find(top.handle) != nullptr) return;
    } else if (top.kind == timer_kind::task) {
      if (tasks.Find(top.handle) != nullptr) return;
    } else if (top.kind == timer_kind::service) {
      service_state& service = *top.service;
      if (service.queue.LiveTotal() > 0 || !service.owned) return;
      --service.refs;
      if (service.timer_at == top.when) service.timer_at = kNever;
    } else {
      return;
    }
    timers.pop();
  }
}

}  // namespace corianderrail
