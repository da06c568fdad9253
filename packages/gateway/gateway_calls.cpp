/**
 * @file gateway_calls.cpp Placement, hedging and queueing of parts.
 *
 * When all leafs of a service are full, parts wait in this host, ordered by
 * rank and arrival. They do not wait at the leaf, because leafs do not know
 * ranks. A part that could not run before its deadline is not queued.
 */

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/admission/hedge_timing.h"
#include "gateway/gateway.h"
#include "gateway/gateway_state.h"

namespace corianderrail::gateway {

namespace {

/** No request is sent with less remaining time, because no leaf answers that
 *  fast. */
constexpr duration kMinCallTime = std::chrono::milliseconds(2);

/** No part is hedged earlier after a start: the usual latencies are unknown,
 * and after a power loss all hosts would ask all leafs at the same time. */
constexpr duration kFirstHedge = std::chrono::seconds(1);

std::string_view ReasonName(repeat_reason reason) {
  return reason == repeat_reason::hedge ? "late" : "failed";
}

/** A call is canceled this long after its deadline, because an answer that the
 *  leaf sends at its own time limit still shows that the leaf is alive. */
constexpr duration kCallGrace = std::chrono::milliseconds(60);

/** A part that is more urgent than the waiting ones may exceed the limit of a
 *  leaf by this many open requests. */
constexpr std::uint32_t kUrgentReserve = 1;

/** Maximum number of waiting parts that are tried in order each time a leaf
 *  becomes free. */
constexpr std::size_t kMaxDispatches = 8;

/** Tolerance for the rounding error of shard ratios. */
constexpr double kRatioTolerance = 1e-9;

}  // namespace

bool gateway::MayKeepIdle(const service_state& service) const {
  return fleet_.is_entry ||
         LeafHoldsIdle(service.max_connections, fleet_.hosts);
}

leaf_query gateway::QueryFor(const exchange& pending, const part& piece) {
  leaf_query query;
  query.service = piece.service->name;
  query.matched = pending.matched;
  query.homes = &pending.homes;
  query.stats = pending.stats.get();
  query.asked = piece.asked;
  query.objective_at = pending.objective_at;
  query.max_connections = piece.service->max_connections;
  const bool urgent =
      piece.service->queue.HoldsOnlyLessUrgent(pending.matched->rank);
  query.reserve = urgent ? kUrgentReserve : 0;
  return query;
}

/** Collects the leafs that may get a part. */
void gateway::CollectCandidates(const exchange& pending, const part& piece,
                                time_point now) {
  selector_.Collect(QueryFor(pending, piece), now);
  counters_.permit_skips += selector_.PermitSkips();
}

void gateway::Place(exchange& pending, std::size_t index, send_cause cause,
                    time_point now) {
  part& piece = pending.parts[index];
  if (pending.deadline - now < kMinCallTime) {
    piece.state = part::phase::failed;
    return;
  }
  CollectCandidates(pending, piece, now);
  leaf_choice choice = selector_.Choose(pending.objective_at - now);
  // A late part only uses room that no other part needs.
  const bool yields =
      now >= pending.objective_at && !piece.service->queue.HasSpareRoom(now);
  if (yields && choice.outcome == choice_outcome::chosen) {
    choice.outcome = choice_outcome::full;
    ++counters_.late_parts_held;
  }
  if (choice.outcome == choice_outcome::chosen) {
    Send(pending, index, choice.index, cause, now);
    return;
  }
  const bool waits =
      choice.outcome == choice_outcome::full && QueuePart(pending, index, now);
  if (!waits) piece.state = part::phase::failed;
}

void gateway::Send(exchange& pending, std::size_t index, std::size_t candidate,
                   send_cause cause, time_point now) {
  part& piece = pending.parts[index];
  leaf_state& leaf = selector_.Leaf(candidate);
  const leaf_candidate& chosen = selector_.Candidates()[candidate];
  const leaf_call call{next_call_++};
  const bool first = piece.asked.empty();
  if (first) piece.service->budget.OnFirst(now);
  piece.asked.push_back(leaf.handle);
  piece.state = part::phase::open;
  ++piece.open;
  ++counters_.leaf_requests;
  if (chosen.permits) ++counters_.cold_requests;
  counters_.shared_choices += chosen.shared ? 1 : 0;
  ++counters_.sends[static_cast<std::size_t>(cause)]
                   [static_cast<std::size_t>(selector_.DistanceOf(leaf))];

  hedge_inputs inputs;
  inputs.sent = now;
  inputs.predicted = PredictLatency(chosen);
  inputs.expected = chosen.expected;
  inputs.tail = pending.stats->TailLatency(leaf.record.zone, settings_.here,
                                           pending.matched->objective, now);
  inputs.alternative = selector_.NextBestLatency(candidate);
  inputs.objective_at = pending.objective_at;
  const time_point late_at = HedgeAt(inputs);
  const bool may_hedge =
      pending.Idempotent() && piece.asked.size() < pending.matched->attempts;
  piece.hedge_at = may_hedge ? late_at : kNever;
  const duration unloaded = chosen.unloaded;
  const duration work = pending.stats->WorkTime();
  leaf.monitor.OnSent(
      {call, now, inputs.expected, unloaded, work, late_at - now});

  pending.calls.push_back(call);
  const auto id = static_cast<std::uint64_t>(call);
  calls_.emplace(id,
                 open_request{static_cast<std::uint64_t>(pending.id), index,
                              leaf.handle, now, pending.stats, piece.service});
  timers_.push({pending.deadline + kCallGrace, true, id});
  Schedule(pending, piece.hedge_at);
  effects_->push_back(send_leaf_effect{
      call, leaf.handle, leaf.record.address, leaf.record.instance,
      pending.request, pending.deadline - now, pending.Idempotent(),
      selector_.Limit(leaf, piece.service->max_connections, now),
      MayKeepIdle(*piece.service), SendBefore(leaf)});
}

/** Sends a late part to a second leaf that can answer before the deadline. */
void gateway::Hedge(exchange& pending, std::size_t index, time_point now) {
  part& piece = pending.parts[index];
  piece.hedge_at = kNever;
  if (now < started_ + kFirstHedge) return;
  CollectCandidates(pending, piece, now);
  const leaf_choice choice = selector_.Choose(pending.objective_at - now);
  if (choice.outcome != choice_outcome::chosen) return;
  if (now + PredictLatency(selector_.Candidates()[choice.index]) >
      pending.deadline)
    return;
  // A stalled or leaving leaf is unlikely to help; save the repeat budget.
  if (selector_.Candidates()[choice.index].eligibility !=
      leaf_eligibility::healthy)
    return;
  if (!SpendRepeat(pending, piece, repeat_reason::hedge, now)) return;
  ++counters_.hedges;
  Send(pending, index, choice.index, send_cause::hedge, now);
  LogRepeat(pending, piece, repeat_reason::hedge, now);
}

/** Takes a repeat from the budget of the service and logs a denial.
 *  @return Whether the budget allows the repeat. */
bool gateway::SpendRepeat(const exchange& pending, part& piece,
                          repeat_reason reason, time_point now) {
  if (piece.service->budget.TrySpend(reason, now)) return true;
  ++counters_.repeats_denied;
  effects_->push_back(log_effect{
      decision::repeat_denied,
      pending.request->attempt,
      {{"service", piece.service->name},
       {"reason", std::string(ReasonName(reason))},
       {"elapsed_us", std::to_string((now - pending.arrived).count())}}});
  return false;
}

/** Logs a repeat with the leafs that were asked, the latest last. */
void gateway::LogRepeat(const exchange& pending, const part& piece,
                        repeat_reason reason, time_point now) {
  std::string asked;
  std::string open_counts;
  for (const leaf_handle handle : piece.asked) {
    const leaf_state* leaf = directory_.Find(handle);
    if (leaf == nullptr) continue;
    if (!asked.empty()) asked += ',';
    asked += leaf->record.instance;
    if (!open_counts.empty()) open_counts += ',';
    open_counts += std::to_string(leaf->monitor.Open());
  }
  effects_->push_back(log_effect{
      decision::repeated,
      pending.request->attempt,
      {{"service", piece.service->name},
       {"reason", std::string(ReasonName(reason))},
       {"leafs", asked},
       {"open", open_counts},
       {"elapsed_us", std::to_string((now - pending.arrived).count())},
       {"version",
        std::to_string(static_cast<std::uint64_t>(pending.config->version))}}});
}

waiting_part gateway::QueuePosition(const exchange& pending,
                                    std::size_t index) const {
  return {pending.parts[index].queued_late, pending.matched->rank,
          !(settings_.returned_first && pending.returned), pending.arrival,
          index};
}

/**
 * Queues a part until a leaf of its service has capacity.
 * @return False when the part is not expected to be answered before the
 * deadline.
 */
bool gateway::QueuePart(exchange& pending, std::size_t index, time_point now) {
  part& piece = pending.parts[index];
  piece.queued_late = now >= pending.objective_at;
  const waiting_part position = QueuePosition(pending, index);
  duration usual = duration::max();
  for (const leaf_candidate& candidate : selector_.Candidates()) {
    if (candidate.eligibility == leaf_eligibility::unusable) continue;
    usual = std::min(usual, candidate.expected);
  }
  if (FirstPermit(selector_.Candidates()) + usual > pending.deadline)
    return false;
  const double parallel = ParallelRequests(selector_.Candidates());
  part_queue& queue = piece.service->queue;
  if (now + queue.ExpectedWait(position, now) + usual > pending.deadline)
    return false;
  const double interval = static_cast<double>(usual.count()) / parallel;
  queue.Add(position, duration(static_cast<duration::rep>(interval)), now);
  piece.state = part::phase::waiting;
  ++counters_.queued;
  return true;
}

/** Estimate of one part, from the leafs that may get it and the waiting parts.
 */
queue_estimate gateway::EstimatePart(const exchange& pending, std::size_t index,
                                     time_point now) const {
  const part& piece = pending.parts[index];
  queue_estimate estimate =
      piece.service->queue.Estimate(QueuePosition(pending, index), now);
  estimate.part = index;
  const leaf_estimate leaf = selector_.Estimate(
      QueryFor(pending, piece), pending.objective_at - now, now);
  if (leaf.has_capacity) estimate.wait = {};
  estimate.answer = leaf.latency;
  return estimate;
}

/** Estimate of a request that arrives now. Nothing is estimated while no part
 *  waits or waited recently: leafs have room then. */
request_estimate gateway::EstimateWait(const exchange& pending,
                                       time_point now) const {
  const bool contended = std::any_of(
      pending.parts.begin(), pending.parts.end(), [&](const part& piece) {
        return !piece.service->queue.HasSpareRoom(now);
      });
  if (!contended) return {};
  queue_estimates_.clear();
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    queue_estimates_.push_back(EstimatePart(pending, i, now));
  }
  const auto shards = static_cast<double>(pending.parts.size());
  const double spare = pending.matched->Gathers()
                           ? shards * (1 - pending.matched->min_shard_ratio)
                           : 0;
  return EstimateRequest(queue_estimates_,
                         static_cast<std::size_t>(spare + kRatioTolerance));
}

void gateway::Dequeue(exchange& pending, std::size_t index) {
  part& piece = pending.parts[index];
  if (piece.state != part::phase::waiting) return;
  piece.service->queue.Remove(QueuePosition(pending, index));
  piece.state = part::phase::unsent;
}

/** Moves the parts of a late request behind those that can be on time. */
void gateway::MarkWaitingLate(exchange& pending) {
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    part& piece = pending.parts[i];
    if (piece.state != part::phase::waiting || piece.queued_late) continue;
    piece.service->queue.MarkLate(QueuePosition(pending, i));
    piece.queued_late = true;
  }
}

/** Places waiting parts after a leaf became free, most urgent first. */
void gateway::DispatchWaiting(service_state& service, time_point now) {
  part_queue& queue = service.queue;
  if (const auto floor = queue.NextFloorPart()) DispatchPart(*floor, now);
  auto next = queue.First();
  for (std::size_t dispatched = 0; next && dispatched < kMaxDispatches;
       ++dispatched) {
    DispatchPart(*next, now);
    next = queue.After(*next);
  }
}

/** Places a waiting part; it is queued again if no leaf has capacity. */
void gateway::DispatchPart(const waiting_part& position, time_point now) {
  const auto found = exchanges_.find(position.exchange);
  if (found == exchanges_.end()) return;
  exchange& pending = *found->second;
  Dequeue(pending, position.part);
  const bool asked = !pending.parts[position.part].asked.empty();
  Place(pending, position.part, asked ? send_cause::retry : send_cause::first,
        now);
  const bool waits = pending.parts[position.part].state == part::phase::waiting;
  // Advance() may answer the query and remove its other parts from the queue.
  if (!waits) Advance(position.exchange, now);
}

void gateway::CancelCalls(exchange& pending, time_point now) {
  for (const leaf_call call : pending.calls) {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    if (found == calls_.end()) continue;
    if (leaf_state* leaf = directory_.Find(found->second.leaf)) {
      leaf->monitor.DropCall(call);
      selector_.Cold().OnEnded(*leaf, now);
    }
    calls_.erase(found);
    effects_->push_back(cancel_leaf_effect{call});
  }
  pending.calls.clear();
}

}  // namespace corianderrail::gateway
