/** @file query_gather.cpp Scatter-gather of queries at the entry. */

#include "core/query_gather.h"

#include <algorithm>
#include <limits>

#include "core/answer_policy.h"
#include "core/coverage.h"

namespace corianderrail {

namespace {

/// Parts that may be sent again per planned part: 5%.
constexpr double kResendShare = 0.05;

/// Largest budget of parts to send again. A larger one would allow the loss of
/// one owner to double the load of the others for a moment.
constexpr double kResendBurst = 1'000;

/// Estimated quantile of the latency of a part.
constexpr double kPartLatencyQuantile = 0.95;

/// Relative step of the quantile estimate. It follows a tenfold increase within
/// about 50 results above the estimate.
constexpr double kQuantileStep = 0.05;

/// Smallest sample of the quantile estimate.
constexpr double kMinPartLatencyUs = 100;

}  // namespace

query_gather::query_gather(host_ref self, std::uint64_t /*seed*/)
    : self_(self) {}

void query_gather::SetTopology(std::shared_ptr<const topology> value,
                               time_point /*now*/) {
  plans_.clear();
  choice_.SetTopology(value);
  topology_ = std::move(value);
}

void query_gather::SetMembers(std::span<const member_record> members) {
  plans_.clear();
  members_.clear();
  for (const member_record& member : members) {
    members_[member.ref.host] = member;
  }
}

std::string query_gather::AddressOf(host_id host) const {
  const auto member = members_.find(host);
  return member == members_.end() ? std::string{} : member->second.peer_address;
}

bool query_gather::IsLost(host_ref owner) const {
  const auto member = members_.find(owner.host);
  return member == members_.end() ||
         member->second.state == member_state::gone ||
         member->second.ref.incarnation != owner.incarnation;
}

std::optional<collection_id> query_gather::FindCollection(
    std::string_view name) const {
  if (!topology_) return std::nullopt;
  for (std::size_t i = 0; i < topology_->collections.size(); ++i) {
    if (topology_->collections[i].name == name) {
      return static_cast<collection_id>(i);
    }
  }
  return std::nullopt;
}

query_gather::plan query_gather::MakePlan(const partition_map& map,
                                          const ownership& owners) const {
  plan result;
  result.map = &map;
  result.keys = KeysIn(map);
  std::unordered_map<host_id, std::size_t> batch_of;
  for (std::size_t i = 0; i < map.partitions.size(); ++i) {
    const service_id service = map.partitions[i].service;
    const subquery_part part{static_cast<partition_id>(i), service};
    const auto owner = owners.OwnerOf(service);
    if (!owner) continue;
    const auto [slot, inserted] =
        batch_of.try_emplace(owner->host, result.batches.size());
    if (inserted) result.batches.push_back({*owner, {}});
    result.batches[slot->second].parts.push_back(part);
  }
  return result;
}

/** Cached plan for a map of the present topology. */
const query_gather::plan* query_gather::PlanFor(const partition_map* map,
                                                const ownership& owners) {
  if (map == nullptr) return nullptr;
  const auto known = plans_.find(map);
  if (known != plans_.end()) return &known->second;
  return &plans_.emplace(map, MakePlan(*map, owners)).first->second;
}

void query_gather::Start(call_id call, const query_request& request,
                         const admission_ticket& ticket,
                         const ownership& owners, admission& admission_control,
                         time_point now, effect_list& effects) {
  const auto collection = FindCollection(ticket.work->collection);
  const plan* plan =
      collection ? PlanFor(choice_.Best(*collection, now), owners) : nullptr;
  if (plan == nullptr) {
    effects.push_back(refuse_effect{
        call,
        {request.request_id, run_state::not_run, refusal_reason::no_topology,
         "collection '" + ticket.work->collection +
             "' has no complete partition map; publish one",
         std::chrono::milliseconds(200), ticket.revision}});
    admission_control.OnFinished(ticket, false, now);
    return;
  }
  ++counters_.admitted;
  const auto id = static_cast<query_id>(next_query_++);
  const auto it = queries_.emplace(id, open_query{}).first;
  open_query& query = it->second;
  query.call = call;
  query.request_id = request.request_id;
  query.payload = request.payload;
  query.ticket = ticket;
  query.collection = *collection;
  query.started = now;
  calls_[call] = id;
  SendPlan(id, query, *plan, now, effects);
  Evaluate(it, nullptr, admission_control, now, effects);
}

/** Sends one batch per owner of the plan. */
void query_gather::SendPlan(query_id id, open_query& query, const plan& plan,
                            time_point now, effect_list& effects) {
  const std::size_t count = plan.map->partitions.size();
  gathered_parts& pinned = query.pinned;
  pinned.pinned_topology = topology_;
  pinned.map = plan.map;
  pinned.keys = plan.keys;
  pinned.open = static_cast<std::uint32_t>(count);
  pinned.parts.assign(count, {});
  pinned.payloads.resize(count);
  query.planned = now;
  query.contacted_owners.reserve(plan.batches.size());
  for (const planned_batch& batch : plan.batches) {
    const auto position =
        static_cast<std::uint32_t>(query.contacted_owners.size());
    query.contacted_owners.push_back(batch.owner);
    for (const subquery_part& part : batch.parts) {
      pinned.parts[Raw(part.partition)].first_owner = position;
    }
    SendBatch(id, query, batch.owner, batch.parts, now, effects);
  }
  resend_tokens_ = std::min(
      kResendBurst, resend_tokens_ + kResendShare * static_cast<double>(count));
}

void query_gather::SendBatch(query_id id, const open_query& query,
                             host_ref owner, std::vector<subquery_part> parts,
                             time_point now, effect_list& effects) {
  subquery_batch batch;
  batch.query = id;
  batch.collection = query.collection;
  batch.snapshot = query.pinned.map->snapshot;
  batch.urgency = query.ticket.work->urgency;
  batch.remaining = query.ticket.deadline - now;
  batch.parts = std::move(parts);
  batch.payload = query.payload;
  effects.push_back(send_peer_effect{owner.host, AddressOf(owner.host),
                                     owner.incarnation, std::move(batch)});
}

void query_gather::OnSubqueryResult(const peer_message& from,
                                    const subquery_result& body,
                                    admission& admission_control,
                                    const ownership& owners, time_point now,
                                    effect_list& effects) {
  // Waits and snapshots of a service are useful even if the query has already
  // been answered.
  for (const part_result& part : body.parts) {
    admission_control.OnServiceWait(part.service, part.wait, now);
    choice_.OnResult(part, body.snapshot, now);
  }
  const auto it = queries_.find(body.query);
  if (it == queries_.end()) {
    counters_.stray += body.parts.size();
    return;
  }
  open_query& query = it->second;
  for (const part_result& part : body.parts) {
    RecordPart(query, from.from, part, body.snapshot);
  }
  UpdatePartLatency(now - query.planned);
  Evaluate(it, &owners, admission_control, now, effects);
}

/** Records one result, or counts it as stray when it matches no open part. */
void query_gather::RecordPart(open_query& query, host_ref from,
                              const part_result& part, snapshot_id snapshot) {
  gathered_parts& pinned = query.pinned;
  const std::size_t index = Raw(part.partition);
  if (index >= pinned.parts.size()) {
    ++counters_.stray;
    return;
  }
  part_slot& slot = pinned.parts[index];
  const auto is_sender = [&](std::uint32_t position) {
    return position != kNoOwner && query.contacted_owners[position] == from;
  };
  const bool matches =
      slot.state == part_state::open &&
      (is_sender(slot.first_owner) || is_sender(slot.resend_owner)) &&
      pinned.map->partitions[index].service == part.service &&
      (part.status != part_status::ok || snapshot == pinned.map->snapshot);
  if (!matches) {
    ++counters_.stray;
    return;
  }
  --pinned.open;
  if (part.status == part_status::ok) {
    slot.state = part_state::answered;
    pinned.payloads[index] = part.payload;
    pinned.answered_keys += KeysIn(pinned.map->partitions[index].range);
    return;
  }
  slot.state = part_state::failed;
  if (part.status == part_status::wrong_snapshot ||
      part.status == part_status::unknown_part) {
    ++query.lacking;
    query.newest = std::max(query.newest, part.newest);
  }
}

/** Stochastic approximation of a quantile, which needs constant memory: each
 *  result message moves the estimate by one step. */
void query_gather::UpdatePartLatency(duration elapsed) {
  const double sample =
      std::max(kMinPartLatencyUs, static_cast<double>(elapsed.count()));
  if (part_latency_p95_us_ == 0) {
    part_latency_p95_us_ = sample;
  } else if (sample > part_latency_p95_us_) {
    part_latency_p95_us_ *= 1 + kQuantileStep * kPartLatencyQuantile;
  } else {
    part_latency_p95_us_ *= 1 - kQuantileStep * (1 - kPartLatencyQuantile);
  }
}

/**
 * Map to plan the query on again; null if it stays on its snapshot. A query is
 * planned again at most once. Otherwise it could alternate until its deadline
 * between two snapshots that each are missing somewhere.
 */
const partition_map* query_gather::AlternativeMap(const open_query& query,
                                                  time_point now) const {
  if (query.lacking == 0 || query.previous) return nullptr;
  const auto needed =
      duration(static_cast<duration::rep>(part_latency_p95_us_));
  if (query.ticket.deadline - now < needed) return nullptr;
  return choice_.Better(query.collection, query.pinned.map->snapshot, now);
}

/**
 * Whether to wait for another snapshot, because a leaf reported a newer one.
 * Either this host has no map of it yet, or more services lack it; both usually
 * change soon. The wait ends after half of the time limit, so that a new plan
 * has the other half.
 */
bool query_gather::AwaitsTopology(const open_query& query,
                                  time_point now) const {
  return query.lacking > 0 && !query.previous &&
         query.newest > query.pinned.map->snapshot &&
         now - query.started < query.ticket.deadline - now;
}

/** Plans a query again under a new identifier, so that no old result matches.
 */
query_gather::query_table::iterator query_gather::Replan(
    query_table::iterator it, const partition_map& map, const ownership& owners,
    time_point now, effect_list& effects) {
  Cancel(it->first, it->second, effects);
  ++counters_.replanned;
  wakes_.erase({it->second.wake, it->first});
  auto node = queries_.extract(it);
  const auto id = static_cast<query_id>(next_query_++);
  node.key() = id;
  const auto moved = queries_.insert(std::move(node)).position;
  open_query& query = moved->second;
  calls_[query.call] = id;
  query.previous = std::exchange(query.pinned, {});
  query.contacted_owners.clear();
  query.lacking = 0;
  query.wake = {};
  SendPlan(id, query, *PlanFor(&map, owners), now, effects);
  return moved;
}

void query_gather::Evaluate(query_table::iterator it, const ownership* owners,
                            admission& admission_control, time_point now,
                            effect_list& effects) {
  const partition_map* other =
      owners == nullptr ? nullptr : AlternativeMap(it->second, now);
  if (other != nullptr) it = Replan(it, *other, *owners, now, effects);
  open_query& query = it->second;
  if (query.pinned.open == 0 && !AwaitsTopology(query, now)) {
    Answer(it, false, admission_control, now, effects);
    return;
  }
  const time_point wake = AnswerTime(query);
  if (now >= wake) {
    Answer(it, true, admission_control, now, effects);
    return;
  }
  SetWake(it->first, query, wake);
}

time_point query_gather::AnswerTime(const open_query& query) const {
  answer_progress progress;
  progress.deadline = query.ticket.deadline - query.started;
  progress.target = query.ticket.work->latency_target;
  progress.part_latency_p95 =
      duration(static_cast<duration::rep>(part_latency_p95_us_));
  progress.coverage = ShareOf(query.pinned.answered_keys, query.pinned.keys);
  progress.min_coverage = query.ticket.work->min_coverage;
  time_point result =
      query.started + PolicyFor(query.ticket.preference).AnswerAfter(progress);
  if (query.pinned.open == 0) {
    const duration half =
        (query.ticket.deadline - query.started + duration(1)) / 2;
    result = std::min(result, query.started + half);
  }
  return result;
}

void query_gather::SetWake(query_id id, open_query& query, time_point wake) {
  if (query.wake == wake) return;
  wakes_.erase({query.wake, id});
  query.wake = wake;
  wakes_.insert({wake, id});
}

void query_gather::Answer(query_table::iterator it, bool in_flight,
                          admission& admission_control, time_point now,
                          effect_list& effects) {
  open_query& query = it->second;
  if (in_flight && now < query.ticket.deadline) {
    Cancel(it->first, query, effects);
  }
  // An answer holds one snapshot only: the one with more coverage.
  gathered_parts* best = &query.pinned;
  if (query.previous &&
      ShareOf(query.previous->answered_keys, query.previous->keys) >
          ShareOf(query.pinned.answered_keys, query.pinned.keys)) {
    best = &*query.previous;
  }
  std::vector<std::uint8_t> answered(best->parts.size());
  query_answer answer;
  answer.parts.reserve(best->parts.size());
  for (std::size_t i = 0; i < best->parts.size(); ++i) {
    if (best->parts[i].state != part_state::answered) continue;
    answered[i] = 1;
    answer.parts.push_back(
        {best->map->partitions[i].range, std::move(best->payloads[i])});
  }
  coverage_result coverage = MeasureCoverage(*best->map, answered);
  answer.request_id = std::move(query.request_id);
  answer.snapshot = best->map->snapshot;
  answer.coverage = coverage.share;
  answer.missing = std::move(coverage.missing);
  answer.revision = query.ticket.revision;
  answer.elapsed = now - query.started;
  if (answer.missing.empty()) {
    answer.status = answer_status::complete;
    ++counters_.complete;
  } else if (answer.coverage >= query.ticket.work->min_coverage) {
    answer.status = answer_status::partial;
    ++counters_.partial;
  } else {
    answer.status = answer_status::incomplete;
    ++counters_.incomplete;
  }
  const bool in_time = answer.status != answer_status::incomplete &&
                       answer.elapsed <= query.ticket.work->latency_target;
  admission_control.OnFinished(query.ticket, in_time, now);
  effects.push_back(answer_query_effect{query.call, std::move(answer)});
  EraseQuery(it);
}

/** Cancels the query at the owners of its open parts. */
void query_gather::Cancel(query_id id, const open_query& query,
                          effect_list& effects) const {
  std::vector<std::uint8_t> needs_cancel(query.contacted_owners.size());
  for (const part_slot& slot : query.pinned.parts) {
    if (slot.state != part_state::open) continue;
    if (slot.first_owner != kNoOwner) needs_cancel[slot.first_owner] = 1;
    if (slot.resend_owner != kNoOwner) needs_cancel[slot.resend_owner] = 1;
  }
  for (std::size_t i = 0; i < needs_cancel.size(); ++i) {
    if (needs_cancel[i] == 0) continue;
    const host_ref owner = query.contacted_owners[i];
    effects.push_back(send_peer_effect{owner.host, AddressOf(owner.host),
                                       owner.incarnation, subquery_cancel{id}});
  }
}

void query_gather::EraseQuery(query_table::iterator it) {
  wakes_.erase({it->second.wake, it->first});
  calls_.erase(it->second.call);
  queries_.erase(it);
}

void query_gather::OnOwnersChanged(const ownership& owners,
                                   admission& admission_control, time_point now,
                                   effect_list& effects) {
  plans_.clear();
  std::vector<query_id> open;
  open.reserve(queries_.size());
  for (const auto& [id, query] : queries_) open.push_back(id);
  // Older queries first; the order does not depend on the hash table.
  std::sort(open.begin(), open.end());
  for (const query_id id : open) {
    const auto it = queries_.find(id);
    Resend(id, it->second, owners, now, effects);
    Evaluate(it, &owners, admission_control, now, effects);
  }
}

/** Whether an open part must be sent to the present owner of its service. */
bool query_gather::NeedsSend(const part_slot& slot,
                             std::span<const std::uint8_t> lost) const {
  if (slot.state != part_state::open) return false;
  if (slot.first_owner == kNoOwner) return true;
  if (slot.resend_owner != kNoOwner || lost[slot.first_owner] == 0)
    return false;
  return resend_tokens_ >= 1;
}

/**
 * Sends parts that had no owner so far. Sends the open parts of lost owners
 * again, once and within the budget.
 */
void query_gather::Resend(query_id id, open_query& query,
                          const ownership& owners, time_point now,
                          effect_list& effects) {
  std::vector<std::uint8_t> lost(query.contacted_owners.size());
  for (std::size_t i = 0; i < lost.size(); ++i)
    lost[i] = IsLost(query.contacted_owners[i]);
  std::unordered_map<host_id, std::size_t> batch_of;
  std::vector<planned_batch> batches;
  gathered_parts& pinned = query.pinned;
  for (std::size_t i = 0; i < pinned.parts.size(); ++i) {
    part_slot& slot = pinned.parts[i];
    if (!NeedsSend(slot, lost)) continue;
    const service_id service = pinned.map->partitions[i].service;
    const auto owner = owners.OwnerOf(service);
    if (!owner || IsLost(*owner)) continue;
    const auto [batch, inserted] =
        batch_of.try_emplace(owner->host, batches.size());
    if (inserted) batches.push_back({*owner, {}});
    batches[batch->second].parts.push_back(
        {static_cast<partition_id>(i), service});
    const auto position = static_cast<std::uint32_t>(
        query.contacted_owners.size() + batch->second);
    if (slot.first_owner == kNoOwner) {
      slot.first_owner = position;
      continue;
    }
    slot.resend_owner = position;
    resend_tokens_ -= 1;
    ++counters_.resent;
  }
  for (planned_batch& batch : batches) {
    query.contacted_owners.push_back(batch.owner);
    SendBatch(id, query, batch.owner, std::move(batch.parts), now, effects);
  }
}

void query_gather::OnCallerGone(call_id call, admission& admission_control,
                                time_point now, effect_list& effects) {
  const auto known = calls_.find(call);
  if (known == calls_.end()) return;
  const auto it = queries_.find(known->second);
  const open_query& query = it->second;
  Cancel(it->first, query, effects);
  // A caller that leaves within the latency target is no sign of overload.
  const bool early = now - query.started <= query.ticket.work->latency_target;
  admission_control.OnFinished(query.ticket, early, now);
  EraseQuery(it);
}

void query_gather::OnTick(const ownership& owners, admission& admission_control,
                          time_point now, effect_list& effects) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    Evaluate(queries_.find(wakes_.begin()->second), &owners, admission_control,
             now, effects);
  }
}

time_point query_gather::NextWake() const {
  return wakes_.empty() ? kNever : wakes_.begin()->first;
}

void query_gather::OnClockGap(admission& admission_control, time_point now,
                              effect_list& effects) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    Evaluate(queries_.find(wakes_.begin()->second), nullptr, admission_control,
             now, effects);
  }
}

}  // namespace corianderrail
