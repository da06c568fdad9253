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

/** Waiting parts that are looked at when room becomes free. */
constexpr std::size_t kMostLooks = 8;

}  // namespace

std::uint32_t gateway::Limit(const leaf_state& leaf, time_point now) const {
  const auto service = services_.find(leaf.record.service);
  const std::uint32_t most =
      service == services_.end() ? 0 : service->second->max_connections;
  const bool near = settings_.here.SameRegion(leaf.record.zone);
  std::uint32_t share =
      ConnectionShare(most, near ? near_fleet_ : far_fleet_, near);
  // The leaf may still count the connections of the process before this one.
  if (now < started_ + kYoungTime) {
    share = std::max(share / kYoungDivisor, 1u);
  }
  const double shed = leaf.evidence.ShedLimit(now);
  return shed < share ? static_cast<std::uint32_t>(shed) : share;
}

/** Fills candidates_ with the leafs of the part's service. */
void gateway::CollectCandidates(const exchange& one, const part& piece,
                                time_point now) {
  candidates_.clear();
  candidate_leafs_.clear();
  for (leaf_state* leaf : directory_.Of(piece.service->name)) {
    leaf_candidate candidate;
    candidate.standing = directory_.Standing(*leaf, now);
    const bool asked = std::find(piece.asked.begin(), piece.asked.end(),
                                 leaf->handle) != piece.asked.end();
    if (asked) candidate.standing = leaf_standing::unusable;
    candidate.expected = one.stats->Expected(leaf->record.zone, settings_.here,
                                             one.matched->goal, now);
    candidate.slowness = leaf->evidence.Slowness(now);
    candidate.failure_rate = leaf->evidence.FailureRate(now);
    // The budget allows few repeats, so most failures cost the whole part.
    candidate.failure_cost = one.matched->goal;
    candidate.open = leaf->evidence.Open();
    candidate.limit = Limit(*leaf, now);
    candidate.slots = leaf->record.slots;
    candidate.cold = now < leaf->cold_until;
    // More work than a leaf answers on time would only queue there; here it
    // waits by rank, and a gathered query may be answered without it.
    const bool overloaded =
        candidate.open > 0 && now + PredictLatency(candidate) > one.goal_at;
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
  inputs.late =
      one.stats->Late(leaf.record.zone, settings_.here, one.matched->goal, now);
  inputs.alternative = Alternative(candidate);
  inputs.goal_at = one.goal_at;
  const time_point late_at = HedgeAt(inputs);
  const bool may_hedge =
      one.Idempotent() && piece.asked.size() < one.matched->attempts;
  piece.hedge_at = may_hedge ? late_at : kNever;
  leaf.evidence.OnSent({call, now, inputs.expected, late_at - now});

  one.calls.push_back(call);
  const auto id = static_cast<std::uint64_t>(call);
  calls_.emplace(
      id, open_request{static_cast<std::uint64_t>(one.id), index, leaf.handle,
                       now, one.deadline, one.stats, piece.service});
  timers_.push({one.deadline, true, id});
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

/**
 * Queues a part for a leaf with room.
 * @return False when its turn would come too late.
 */
bool gateway::WaitForRoom(exchange& one, std::size_t index, time_point now) {
  part& piece = one.parts[index];
  piece.waits_late = now >= one.goal_at;
  const waiting_key key{piece.waits_late, one.matched->rank, one.arrival,
                        index};
  double parallel = 0;
  duration usual = duration::max();
  for (const leaf_candidate& candidate : candidates_) {
    if (candidate.standing == leaf_standing::unusable) continue;
    parallel += std::min(candidate.limit, candidate.slots);
    usual = std::min(usual, candidate.expected);
  }
  const auto ahead = static_cast<double>(std::distance(
      piece.service->waiting.begin(), piece.service->waiting.lower_bound(key)));
  const double rounds = 1 + (ahead + 1) / std::max(parallel, 1.0);
  const duration wait(
      static_cast<duration::rep>(static_cast<double>(usual.count()) * rounds));
  if (now + wait > one.deadline) return false;
  piece.service->waiting.insert(key);
  piece.state = part::phase::waiting;
  ++counters_.queued;
  return true;
}

void gateway::StopWaiting(exchange& one, std::size_t index) {
  part& piece = one.parts[index];
  if (piece.state != part::phase::waiting) return;
  piece.service->waiting.erase(
      {piece.waits_late, one.matched->rank, one.arrival, index});
  piece.state = part::phase::unsent;
}

/** After the objective, parts wait behind those that can still be on time. */
void gateway::MoveWaitingBack(exchange& one) {
  for (std::size_t i = 0; i < one.parts.size(); ++i) {
    part& piece = one.parts[i];
    if (piece.state != part::phase::waiting || piece.waits_late) continue;
    auto entry = piece.service->waiting.extract(
        {false, one.matched->rank, one.arrival, i});
    std::get<0>(entry.value()) = true;
    piece.service->waiting.insert(std::move(entry));
    piece.waits_late = true;
  }
}

/** Gives room that became free to the most urgent parts that wait. */
void gateway::ServeWaiting(service_state& service, time_point now) {
  std::size_t looked_at = 0;
  auto next = service.waiting.begin();
  while (next != service.waiting.end() && looked_at < kMostLooks) {
    const waiting_key key = *next;
    const auto [late, rank, arrival, index] = key;
    const auto found = exchanges_.find(arrival);
    if (found == exchanges_.end()) {
      next = service.waiting.erase(next);
      continue;
    }
    ++looked_at;
    exchange& one = *found->second;
    StopWaiting(one, index);
    Place(one, index, now);
    const bool waits = one.parts[index].state == part::phase::waiting;
    // An answer may take other parts of the query off this queue.
    if (!waits) Advance(arrival, now);
    next = service.waiting.upper_bound(key);
  }
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
