/** @file baseline_host.cpp Common part of the baseline hosts. */

#include "baseline_host.h"

#include <algorithm>
#include <utility>

namespace corianderrail::bench {

baseline_host::baseline_host(const driver::document_store& store,
                             std::uint32_t hosts, std::uint64_t seed)
    : random_(seed), store_(store), hosts_(hosts) {}

void baseline_host::Start(time_point, effect_list& effects) {
  const auto map = store_.Topology();
  for (const service_info& service : map->services) {
    for (const leaf_info& leaf : service.leafs) {
      effects.push_back(set_connections_effect{leaf.id, leaf.address,
                                               leaf.connections / hosts_});
    }
  }
}

peer_message baseline_host::Envelope(const send_peer_effect&) const {
  return {};
}

bool baseline_host::Admit(collection_id, rank, duration) { return true; }

time_point baseline_host::NextWake() const {
  return deadlines_.empty() ? kNever : deadlines_.top().first;
}

const service_info& baseline_host::Service(service_id service) const {
  return store_.Topology()->services[Raw(service)];
}

void baseline_host::Reduce(const event& event, time_point now,
                           effect_list& effects) {
  if (const auto* query = std::get_if<caller_query_event>(&event)) {
    OnQuery(*query, now, effects);
  } else if (const auto* reply = std::get_if<leaf_reply_event>(&event)) {
    OnReply(reply->call, reply->reply, now, effects);
  } else if (const auto* failure = std::get_if<leaf_failure_event>(&event)) {
    OnFailure(failure->call, now, effects);
  } else if (const auto* links = std::get_if<leaf_connections_event>(&event)) {
    OnConnections(links->leaf, links->open, now, effects);
  }
  while (!deadlines_.empty() && deadlines_.top().first <= now) {
    const std::uint64_t query = deadlines_.top().second;
    deadlines_.pop();
    if (queries_.contains(query)) Close(query, now, effects);
  }
  OnTick(now, effects);
}

void baseline_host::OnQuery(const caller_query_event& query, time_point now,
                            effect_list& effects) {
  const query_request& request = query.request;
  const customer_contract& contract =
      store_.Contracts()->customers.at(request.customer);
  const auto work = std::find_if(
      contract.work.begin(), contract.work.end(),
      [&](const work_contract& each) { return each.kind == request.kind; });
  open_query open;
  open.map_owner = store_.Topology();
  const auto& collections = open.map_owner->collections;
  std::uint32_t collection = 0;
  while (collections[collection].name != work->collection) ++collection;
  if (!Admit(collection_id{collection}, work->urgency, request.deadline)) {
    effects.push_back(refuse_effect{
        query.call,
        {request.request_id, run_state::not_run, refusal_reason::overloaded,
         "the services are overloaded; try again later", request.deadline,
         revision_id{1}}});
    return;
  }
  open.call = query.call;
  open.request_id = request.request_id;
  open.started = now;
  open.deadline = now + request.deadline;
  open.map = &collections[collection].maps.back();
  open.left = static_cast<std::uint32_t>(open.map->partitions.size());
  open.states.resize(open.left);
  open.payloads.resize(open.left);
  const std::uint64_t id = ++last_query_;
  deadlines_.emplace(open.deadline, id);
  const partition_map* map = open.map;
  const time_point deadline = open.deadline;
  const auto keep = open.map_owner;
  queries_.emplace(id, std::move(open));
  for (std::uint32_t i = 0; i < map->partitions.size(); ++i) {
    auto sent_request = std::make_shared<leaf_request>();
    sent_request->collection = work->collection;
    sent_request->snapshot = map->snapshot;
    sent_request->range = map->partitions[i].range;
    sent_request->urgency = work->urgency;
    sent_request->payload = request.payload;
    Begin({id, i, map->partitions[i].service, work->urgency, deadline, 0,
           std::move(sent_request)},
          now, effects);
  }
}

bool baseline_host::IsPartOpen(const baseline_part& part) const {
  const auto found = queries_.find(part.query);
  return found != queries_.end() &&
         found->second.states[part.index] == part_state::open;
}

leaf_call_id baseline_host::SendPart(const baseline_part& part, leaf_id leaf,
                                     time_point now, effect_list& effects) {
  const leaf_call_id call{++last_call_};
  send_leaf_effect send;
  send.call = call;
  send.leaf = leaf;
  send.request = *part.request;
  send.request.remaining = std::max(part.deadline - now, duration(0));
  effects.push_back(std::move(send));
  return call;
}

void baseline_host::PartDone(const baseline_part& part,
                             const std::string& payload, time_point now,
                             effect_list& effects) {
  if (!IsPartOpen(part)) return;
  open_query& query = queries_.at(part.query);
  query.states[part.index] = part_state::done;
  query.payloads[part.index] = payload;
  if (--query.left == 0) Close(part.query, now, effects);
}

void baseline_host::PartFailed(const baseline_part& part, time_point now,
                               effect_list& effects) {
  if (!IsPartOpen(part)) return;
  open_query& query = queries_.at(part.query);
  query.states[part.index] = part_state::failed;
  if (--query.left == 0) Close(part.query, now, effects);
}

void baseline_host::Close(std::uint64_t id, time_point now,
                          effect_list& effects) {
  const auto found = queries_.find(id);
  open_query& query = found->second;
  query_answer answer;
  answer.request_id = query.request_id;
  answer.snapshot = query.map->snapshot;
  std::uint64_t covered = 0;
  for (std::size_t i = 0; i < query.states.size(); ++i) {
    const key_range range = query.map->partitions[i].range;
    if (query.states[i] != part_state::done) {
      answer.missing.push_back(range);
      continue;
    }
    covered += range.end - range.begin;
    answer.parts.push_back({range, std::move(query.payloads[i])});
  }
  const std::uint64_t keys = query.map->partitions.back().range.end;
  answer.coverage = static_cast<ppm>(covered * kWholePpm / keys);
  answer.status = answer.missing.empty()       ? answer_status::complete
                  : answer.coverage >= 900'000 ? answer_status::partial
                                               : answer_status::incomplete;
  answer.elapsed = now - query.started;
  effects.push_back(answer_query_effect{query.call, std::move(answer)});
  queries_.erase(found);
}

}  // namespace corianderrail::bench
