/**
 * @file gateway_calls.cpp Placing, hedging, and waiting for room.
 *
 * Answers the loads in which leafs are full: parts wait by rank and arrival in
 * this host, not at the leaf where ranks are unknown, and what cannot be run
 * within its time is not queued at all.
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

/** Least time in which a leaf can answer; less is not worth sending. */
constexpr duration kLeastWork = std::chrono::milliseconds(2);

/** A leaf that missed the end of a host closes its connections by then. */
constexpr duration kYoungTime = std::chrono::seconds(5);
constexpr std::uint32_t kYoungDivisor = 4;

std::string_view ReasonName(repeat_reason reason) {
  return reason == repeat_reason::hedge ? "late" : "failed";
}

/** After its deadline a call is given this time before the connection is
 *  closed, because the leaf's own answer at its limit is evidence. */
constexpr duration kCallGrace = std::chrono::milliseconds(60);

/** Requests beyond the window of a leaf while only less urgent ones wait. */
constexpr std::uint32_t kUrgentReserve = 1;

/** Waiting parts that are looked at when room becomes free. */
constexpr std::size_t kMostLooks = 8;

/** Errors of ratios of small numbers stay below this. */
constexpr double kRounding = 1e-9;

}  // namespace

std::uint32_t gateway::Limit(const leaf_state& leaf, time_point now) const {
  const auto service = services_.find(leaf.record.service);
  const std::uint32_t most =
      service == services_.end() ? 0 : service->second->max_connections;
  const bool near = settings_.here.SameRegion(leaf.record.zone);
  std::uint32_t share = ConnectionShare(
      most, near ? fleet_.own_region : fleet_.other_regions, near);
  // The leaf may still count the connections of the process before this one.
  if (now < started_ + kYoungTime) {
    share = std::max(share / kYoungDivisor, 1u);
  }
  // The hosts near a leaf together keep its slots busy.
  const std::uint32_t hosts = std::max(fleet_.own_region.near_hosts, 1u);
  const std::uint32_t least =
      near ? (leaf.record.slots + hosts - 1) / hosts : 1;
  const double window =
      std::max<double>(leaf.evidence.Window().Limit(now), least);
  if (window < share) share = static_cast<std::uint32_t>(window);
  // What it has is late already; more would only queue there, unseen.
  if (leaf.evidence.Stalled(now)) {
    share = std::min(share, std::max(leaf.evidence.Open(), least));
  }
  return share;
}

/** Fills candidates_ with the leafs of the part's service. */
void gateway::CollectCandidates(const exchange& one, const part& piece,
                                time_point now) {
  candidates_.clear();
  candidate_leafs_.clear();
  const std::uint32_t reserve =
      piece.service->queue.IsBefore(one.matched->rank) ? kUrgentReserve : 0;
  for (leaf_state* leaf : directory_.Of(piece.service->name)) {
    leaf_candidate candidate;
    candidate.standing = directory_.Standing(*leaf, now);
    const bool asked = std::find(piece.asked.begin(), piece.asked.end(),
                                 leaf->handle) != piece.asked.end();
    if (asked) candidate.standing = leaf_standing::unusable;
    candidate.expected = one.stats->Expected(leaf->record.zone, settings_.here,
                                             one.matched->objective, now);
    candidate.unloaded = one.stats->Unloaded(leaf->record.zone);
    candidate.slowness = leaf->evidence.Slowness(now);
    candidate.failure_rate = leaf->evidence.FailureRate(now);
    // The budget allows few repeats, so most failures cost the whole part.
    candidate.failure_cost = one.matched->objective;
    candidate.open = leaf->evidence.Open();
    candidate.limit = Limit(*leaf, now) + reserve;
    candidate.slots = leaf->record.slots;
    candidate.cold = now < leaf->cold_until;
    // More work than a leaf answers on time would only queue there; here it
    // waits by rank, and a gathered query may be answered without it.
    const bool overloaded = candidate.open > 0 &&
                            now + PredictLatency(candidate) > one.objective_at;
    if (overloaded) candidate.limit = std::min(candidate.limit, candidate.open);
    candidates_.push_back(candidate);
    candidate_leafs_.push_back(leaf);
  }
}

void gateway::Place(exchange& one, std::size_t index, time_point now) {
  part& piece = one.parts[index];
  if (one.deadline - now < kLeastWork) {
    piece.state = part::phase::failed;
    return;
  }
  CollectCandidates(one, piece, now);
  const leaf_choice choice = ChooseLeaf(candidates_);
  if (choice.outcome == choice_outcome::chosen) {
    Send(one, index, choice.index, now);
    return;
  }
  const bool waits =
      choice.outcome == choice_outcome::full && WaitForRoom(one, index, now);
  if (!waits) piece.state = part::phase::failed;
}

/** Latency of the best leaf beside the chosen one. */
duration gateway::Alternative(std::size_t chosen) const {
  duration best = duration::max();
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    if (i == chosen) continue;
    if (candidates_[i].standing > leaf_standing::doubtful) continue;
    best = std::min(best, PredictLatency(candidates_[i]));
  }
  return best == duration::max() ? duration{} : best;
}

void gateway::Send(exchange& one, std::size_t index, std::size_t candidate,
                   time_point now) {
  part& piece = one.parts[index];
  leaf_state& leaf = *candidate_leafs_[candidate];
  const leaf_call call{next_call_++};
  const bool first = piece.asked.empty();
  if (first) piece.service->budget.OnFirst(now);
  piece.asked.push_back(leaf.handle);
  piece.state = part::phase::open;
  ++piece.open;
  ++counters_.leaf_requests;

  hedge_inputs inputs;
  inputs.sent = now;
  inputs.predicted = PredictLatency(candidates_[candidate]);
  inputs.expected = candidates_[candidate].expected;
  inputs.late = one.stats->Late(leaf.record.zone, settings_.here,
                                one.matched->objective, now);
  inputs.alternative = Alternative(candidate);
  inputs.objective_at = one.objective_at;
  const time_point late_at = HedgeAt(inputs);
  const bool may_hedge =
      one.Idempotent() && piece.asked.size() < one.matched->attempts;
  piece.hedge_at = may_hedge ? late_at : kNever;
  const duration unloaded = candidates_[candidate].unloaded;
  const duration work = one.stats->Work();
  leaf.evidence.OnSent(
      {call, now, inputs.expected, unloaded, work, late_at - now});

  one.calls.push_back(call);
  const auto id = static_cast<std::uint64_t>(call);
  calls_.emplace(id, open_request{static_cast<std::uint64_t>(one.id), index,
                                  leaf.handle, now, one.stats, piece.service});
  timers_.push({one.deadline + kCallGrace, true, id});
  Schedule(one, piece.hedge_at);
  effects_->push_back(send_leaf_effect{
      call, leaf.handle, leaf.record.address, leaf.record.instance, one.request,
      one.deadline - now, one.Idempotent(), Limit(leaf, now)});
}

/** Asks a second leaf for a late part, if one could answer it earlier. */
void gateway::Hedge(exchange& one, std::size_t index, time_point now) {
  part& piece = one.parts[index];
  piece.hedge_at = kNever;
  CollectCandidates(one, piece, now);
  const leaf_choice choice = ChooseLeaf(candidates_);
  if (choice.outcome != choice_outcome::chosen) return;
  if (now + PredictLatency(candidates_[choice.index]) > one.deadline) return;
  // A doubtful leaf is unlikely to help; what is left of the budget may.
  if (candidates_[choice.index].standing != leaf_standing::sound) return;
  if (!TakeRepeat(one, piece, repeat_reason::hedge, now)) return;
  ++counters_.hedges;
  Send(one, index, choice.index, now);
  LogRepeat(one, piece, repeat_reason::hedge, now);
}

/** Takes a repeat from the budget of the service, and logs a refusal. */
bool gateway::TakeRepeat(const exchange& one, part& piece, repeat_reason reason,
                         time_point now) {
  if (piece.service->budget.Take(reason, now)) return true;
  ++counters_.repeats_denied;
  effects_->push_back(log_effect{
      decision::repeat_denied,
      one.request->attempt,
      {{"service", piece.service->name},
       {"reason", std::string(ReasonName(reason))},
       {"elapsed_us", std::to_string((now - one.arrived).count())}}});
  return false;
}

/** Logs the leafs that were asked for a part, the newest last. */
void gateway::LogRepeat(const exchange& one, const part& piece,
                        repeat_reason reason, time_point now) {
  std::string asked;
  std::string evidence;
  for (const leaf_handle handle : piece.asked) {
    const leaf_state* leaf = directory_.Find(handle);
    if (leaf == nullptr) continue;
    if (!asked.empty()) asked += ',';
    asked += leaf->record.instance;
    if (!evidence.empty()) evidence += ',';
    evidence += std::to_string(leaf->evidence.Open());
  }
  effects_->push_back(log_effect{
      decision::repeated,
      one.request->attempt,
      {{"service", piece.service->name},
       {"reason", std::string(ReasonName(reason))},
       {"leafs", asked},
       {"open", evidence},
       {"elapsed_us", std::to_string((now - one.arrived).count())},
       {"version",
        std::to_string(static_cast<std::uint64_t>(one.config->version))}}});
}

waiting_part gateway::PlaceInQueue(const exchange& one, std::size_t index) {
  return {one.parts[index].waits_late, one.matched->rank, one.arrival, index};
}

/**
 * Queues a part for a leaf with room.
 * @return False when its turn would come too late.
 */
bool gateway::WaitForRoom(exchange& one, std::size_t index, time_point now) {
  part& piece = one.parts[index];
  piece.waits_late = now >= one.objective_at;
  const waiting_part place = PlaceInQueue(one, index);
  double parallel = 0;
  duration usual = duration::max();
  for (const leaf_candidate& candidate : candidates_) {
    if (candidate.standing == leaf_standing::unusable) continue;
    parallel += std::min(candidate.limit, candidate.slots);
    usual = std::min(usual, candidate.expected);
  }
  part_queue& queue = piece.service->queue;
  if (now + queue.WaitOf(place, now) + usual > one.deadline) return false;
  const double interval =
      static_cast<double>(usual.count()) / std::max(parallel, 1.0);
  queue.Add(place, duration(static_cast<duration::rep>(interval)), now);
  piece.state = part::phase::waiting;
  ++counters_.queued;
  return true;
}

/** Room for a request that arrives now. */
request_room gateway::RoomOf(const exchange& one, time_point now) {
  rooms_.clear();
  for (std::size_t i = 0; i < one.parts.size(); ++i) {
    rooms_.push_back(
        one.parts[i].service->queue.RoomOf(PlaceInQueue(one, i), now));
  }
  const auto shards = static_cast<double>(one.parts.size());
  const double spare =
      one.matched->Gathers() ? shards * (1 - one.matched->min_shard_ratio) : 0;
  return RoomFor(rooms_, static_cast<std::size_t>(spare + kRounding));
}

void gateway::StopWaiting(exchange& one, std::size_t index) {
  part& piece = one.parts[index];
  if (piece.state != part::phase::waiting) return;
  piece.service->queue.Remove(PlaceInQueue(one, index));
  piece.state = part::phase::unsent;
}

/** After the objective, parts wait behind those that can still be on time. */
void gateway::MoveWaitingBack(exchange& one) {
  for (std::size_t i = 0; i < one.parts.size(); ++i) {
    part& piece = one.parts[i];
    if (piece.state != part::phase::waiting || piece.waits_late) continue;
    piece.service->queue.MoveBack(PlaceInQueue(one, i));
    piece.waits_late = true;
  }
}

/** Gives room that became free to the most urgent parts that wait. */
void gateway::ServeWaiting(service_state& service, time_point now) {
  part_queue& queue = service.queue;
  if (const auto floor = queue.FloorTurn()) ServeOne(*floor, now);
  auto next = queue.First();
  for (std::size_t looks = 0; next && looks < kMostLooks; ++looks) {
    ServeOne(*next, now);
    next = queue.After(*next);
  }
}

/** Gives a waiting part room, if there is any. */
void gateway::ServeOne(const waiting_part& place, time_point now) {
  const auto found = exchanges_.find(place.exchange);
  if (found == exchanges_.end()) return;
  exchange& one = *found->second;
  StopWaiting(one, place.part);
  Place(one, place.part, now);
  const bool waits = one.parts[place.part].state == part::phase::waiting;
  // An answer may take other parts of the query off this queue.
  if (!waits) Advance(place.exchange, now);
}

void gateway::CancelCalls(exchange& one) {
  for (const leaf_call call : one.calls) {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    if (found == calls_.end()) continue;
    if (leaf_state* leaf = directory_.Find(found->second.leaf)) {
      leaf->evidence.Forget(call);
    }
    calls_.erase(found);
    effects_->push_back(cancel_leaf_effect{call});
  }
  one.calls.clear();
}

}  // namespace corianderrail::gateway
