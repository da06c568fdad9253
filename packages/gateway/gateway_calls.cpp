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

#include "gateway/gateway.h"
#include "gateway/gateway_state.h"
#include "gateway/hedge_timing.h"

namespace corianderrail::gateway {

namespace {

/** No request is sent with less remaining time, because no leaf answers that
 *  fast. */
constexpr duration kMinCallTime = std::chrono::milliseconds(2);

/** In its startup period, a host uses this fraction of its share of the
 *  connections of a leaf. */
constexpr std::uint32_t kStartupDivisor = 4;

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

std::uint32_t gateway::Limit(const leaf_state& leaf, time_point now) const {
  const auto service = services_.find(leaf.record.service);
  const std::uint32_t max_connections =
      service == services_.end() ? 0 : service->second->max_connections;
  const bool near = settings_.here.SameRegion(leaf.record.zone);
  std::uint32_t share = ConnectionShare(
      max_connections, near ? fleet_.own_region : fleet_.other_regions, near);
  // The startup period, the window and a stall never limit a host in the region
  // of a leaf to less than an equal share of the slots, so these hosts can keep
  // the leaf busy.
  const std::uint32_t hosts = std::max(fleet_.own_region.near_hosts, 1u);
  const std::uint32_t min_limit =
      near ? (leaf.record.slots + hosts - 1) / hosts : 1;
  // The leaf may still count connections of the previous process.
  if (now < started_ + kStartupPeriod) {
    share = std::max(share / kStartupDivisor, std::min(share, min_limit));
  }
  const double window =
      std::max<double>(leaf.monitor.Window().Limit(now), min_limit);
  if (window < share) share = static_cast<std::uint32_t>(window);
  // Open requests at a stalled leaf are late already; more would only queue.
  if (leaf.monitor.Stalled(now)) {
    share = std::min(share, std::max(leaf.monitor.Open(), min_limit));
  }
  return share;
}

bool gateway::MayKeepIdle(const service_state& service) const {
  return fleet_.is_entry ||
         LeafHoldsIdle(service.max_connections, fleet_.hosts);
}

/** Fills candidates_ and candidate_leafs_ with the leafs of the service. */
void gateway::CollectCandidates(const exchange& pending, const part& piece,
                                time_point now) {
  candidates_.clear();
  candidate_leafs_.clear();
  const std::uint32_t reserve =
      piece.service->queue.HoldsOnlyLessUrgent(pending.matched->rank)
          ? kUrgentReserve
          : 0;
  for (leaf_state* leaf : directory_.LeafsOf(piece.service->name)) {
    leaf_candidate candidate;
    candidate.expected = pending.stats->ExpectedLatency(
        leaf->record.zone, settings_.here, pending.matched->objective, now);
    candidate.eligibility =
        directory_.Eligibility(*leaf, now, candidate.expected);
    const bool asked = std::find(piece.asked.begin(), piece.asked.end(),
                                 leaf->handle) != piece.asked.end();
    if (asked) candidate.eligibility = leaf_eligibility::unusable;
    candidate.unloaded = pending.stats->UnloadedLatency(leaf->record.zone);
    candidate.slowness = leaf->monitor.Slowness(now);
    candidate.failure_rate = leaf->monitor.FailureRate(now);
    // Few repeats are allowed, so a failure usually loses the part.
    candidate.failure_cost = pending.matched->objective;
    candidate.open = leaf->monitor.Open();
    candidate.limit = Limit(*leaf, now) + reserve;
    candidate.slots = leaf->record.slots;
    candidate.cold = now < leaf->cold_until;
    candidate.near = settings_.here.SameRegion(leaf->record.zone);
    // A leaf gets no more requests than it can answer on time. Further parts
    // wait in this host by rank, and a gathered query may be answered without
    // the parts that wait.
    const bool overloaded =
        candidate.open > 0 &&
        now + PredictLatency(candidate) > pending.objective_at;
    if (overloaded || leaf->monitor.AtConnectionLimit(now)) {
      candidate.limit = std::min(candidate.limit, candidate.open);
    }
    candidates_.push_back(candidate);
    candidate_leafs_.push_back(leaf);
  }
}

leaf_distance gateway::DistanceOf(const leaf_state& leaf) const {
  if (leaf.record.zone == settings_.here.zone) return leaf_distance::zone;
  return settings_.here.SameRegion(leaf.record.zone) ? leaf_distance::region
                                                     : leaf_distance::other;
}

void gateway::Place(exchange& pending, std::size_t index, send_cause cause,
                    time_point now) {
  part& piece = pending.parts[index];
  if (pending.deadline - now < kMinCallTime) {
    piece.state = part::phase::failed;
    return;
  }
  CollectCandidates(pending, piece, now);
  const leaf_choice choice =
      ChooseLeaf(candidates_, pending.objective_at - now);
  if (choice.outcome == choice_outcome::chosen) {
    Send(pending, index, choice.index, cause, now);
    return;
  }
  const bool waits =
      choice.outcome == choice_outcome::full && QueuePart(pending, index, now);
  if (!waits) piece.state = part::phase::failed;
}

/** Predicted latency of the best other leaf; 0 without one. */
duration gateway::NextBestLatency(std::size_t chosen) const {
  duration best = duration::max();
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    if (i == chosen) continue;
    if (candidates_[i].eligibility > leaf_eligibility::stalled) continue;
    best = std::min(best, PredictLatency(candidates_[i]));
  }
  return best == duration::max() ? duration{} : best;
}

void gateway::Send(exchange& pending, std::size_t index, std::size_t candidate,
                   send_cause cause, time_point now) {
  part& piece = pending.parts[index];
  leaf_state& leaf = *candidate_leafs_[candidate];
  const leaf_call call{next_call_++};
  const bool first = piece.asked.empty();
  if (first) piece.service->budget.OnFirst(now);
  piece.asked.push_back(leaf.handle);
  piece.state = part::phase::open;
  ++piece.open;
  ++counters_.leaf_requests;
  ++counters_.sends[static_cast<std::size_t>(cause)]
                   [static_cast<std::size_t>(DistanceOf(leaf))];

  hedge_inputs inputs;
  inputs.sent = now;
  inputs.predicted = PredictLatency(candidates_[candidate]);
  inputs.expected = candidates_[candidate].expected;
  inputs.tail = pending.stats->TailLatency(leaf.record.zone, settings_.here,
                                           pending.matched->objective, now);
  inputs.alternative = NextBestLatency(candidate);
  inputs.objective_at = pending.objective_at;
  const time_point late_at = HedgeAt(inputs);
  const bool may_hedge =
      pending.Idempotent() && piece.asked.size() < pending.matched->attempts;
  piece.hedge_at = may_hedge ? late_at : kNever;
  const duration unloaded = candidates_[candidate].unloaded;
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
      Limit(leaf, now), MayKeepIdle(*piece.service),
      directory_.SendBefore(leaf)});
}

/** Sends a late part to a second leaf that can answer before the deadline. */
void gateway::Hedge(exchange& pending, std::size_t index, time_point now) {
  part& piece = pending.parts[index];
  piece.hedge_at = kNever;
  if (now < started_ + kFirstHedge) return;
  CollectCandidates(pending, piece, now);
  const leaf_choice choice =
      ChooseLeaf(candidates_, pending.objective_at - now);
  if (choice.outcome != choice_outcome::chosen) return;
  if (now + PredictLatency(candidates_[choice.index]) > pending.deadline)
    return;
  // A stalled or leaving leaf is unlikely to help; save the repeat budget.
  if (candidates_[choice.index].eligibility != leaf_eligibility::healthy)
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
                                    std::size_t index) {
  return {pending.parts[index].queued_late, pending.matched->rank,
          pending.arrival, index};
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
  double parallel = 0;
  duration usual = duration::max();
  for (const leaf_candidate& candidate : candidates_) {
    if (candidate.eligibility == leaf_eligibility::unusable) continue;
    parallel += std::min(candidate.limit, candidate.slots);
    usual = std::min(usual, candidate.expected);
  }
  part_queue& queue = piece.service->queue;
  if (now + queue.ExpectedWait(position, now) + usual > pending.deadline)
    return false;
  const double interval =
      static_cast<double>(usual.count()) / std::max(parallel, 1.0);
  queue.Add(position, duration(static_cast<duration::rep>(interval)), now);
  piece.state = part::phase::waiting;
  ++counters_.queued;
  return true;
}

/** Expected wait of a request that arrives now. */
request_estimate gateway::EstimateWait(const exchange& pending,
                                       time_point now) {
  queue_estimates_.clear();
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    queue_estimates_.push_back(pending.parts[i].service->queue.Estimate(
        QueuePosition(pending, i), now));
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

void gateway::CancelCalls(exchange& pending) {
  for (const leaf_call call : pending.calls) {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    if (found == calls_.end()) continue;
    if (leaf_state* leaf = directory_.Find(found->second.leaf)) {
      leaf->monitor.DropCall(call);
    }
    calls_.erase(found);
    effects_->push_back(cancel_leaf_effect{call});
  }
  pending.calls.clear();
}

}  // namespace corianderrail::gateway
