/** @file owner_fixture.h service_owner with simulated leafs in virtual time.
 */

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/service_owner.h"

namespace corianderrail {

using std::chrono::milliseconds;

inline constexpr host_ref kOwner{host_id{1}, incarnation_id{10}};
inline constexpr host_ref kEntry{host_id{2}, incarnation_id{20}};
inline constexpr snapshot_id kSnapshot{7};

/** Behavior of a simulated leaf for one request. */
struct leaf_script {
  duration latency = milliseconds(10);   ///< Time until the reply.
  leaf_status status = leaf_status::ok;  ///< Outcome.
  bool draining = false;                 ///< In-band drain signal.
  bool silent = false;   ///< The request is lost before it runs.
  bool broken = false;   ///< The connection breaks instead of a reply.
  snapshot_id newest{};  ///< Newest snapshot reported.
};

/** Simulated leaf with its counters. */
struct simulated_leaf {
  std::function<leaf_script(const leaf_request&)> behave;
  std::uint32_t running = 0;      ///< Requests that are running.
  std::uint32_t max_running = 0;  ///< Highest value of `running`.
  std::uint64_t requests = 0;     ///< Requests received.
  std::uint32_t target = 0;       ///< Connections requested by the owner.
};

/** Runs one owner and records what its leafs, entry and home receive. */
class owner_fixture {
 public:
  explicit owner_fixture(std::uint32_t services = 1, std::uint32_t leafs = 3,
                         owner_settings settings = {}, std::uint64_t seed = 1)
      : random(seed), owner(kOwner, settings, seed) {
    map = MakeTopology(services, leafs);
    for (const service_info& service : map->services) {
      for (const leaf_info& leaf : service.leafs) {
        leafs_[leaf.id].behave = [](const leaf_request&) {
          return leaf_script{};
        };
      }
    }
    owner.SetTopology(map, now, effects);
    std::vector<service_id> all;
    for (std::uint32_t i = 0; i < services; ++i) all.push_back(service_id{i});
    owner.SetOwned(all, now, effects);
    ApplyEffects();
  }

  static leaf_id Leaf(std::uint32_t service, std::uint32_t replica) {
    return leaf_id{100 * (service + 1) + replica};
  }

  static std::shared_ptr<topology> MakeTopology(std::uint32_t services,
                                                std::uint32_t leafs) {
    auto map = std::make_shared<topology>();
    map->version = 1;
    collection_info collection;
    collection.name = "theke";
    partition_map parts;
    parts.snapshot = kSnapshot;
    for (std::uint32_t s = 0; s < services; ++s) {
      service_info service;
      service.name = "theke-" + std::to_string(s);
      partition part;
      const std::uint64_t begin = std::uint64_t{s} * 1000;
      part.range = {begin, begin + 1000};
      part.service = service_id{s};
      for (std::uint32_t i = 0; i < leafs; ++i) {
        leaf_info leaf;
        leaf.id = Leaf(s, i);
        leaf.address = "10.0." + std::to_string(s) + "." + std::to_string(i);
        leaf.slots = 2;
        leaf.connections = 25;
        service.leafs.push_back(leaf);
        part.replicas.push_back(leaf.id);
      }
      map->services.push_back(service);
      parts.partitions.push_back(part);
    }
    collection.maps.push_back(parts);
    map->collections.push_back(collection);
    return map;
  }

  simulated_leaf& At(std::uint32_t service, std::uint32_t replica) {
    return leafs_.at(Leaf(service, replica));
  }

  /** Sets the latency of all leafs, plus a random part of up to `spread`. */
  void SetLatency(duration fixed, duration spread = duration{}) {
    for (auto& [id, leaf] : leafs_) {
      leaf.behave = [this, fixed, spread](const leaf_request&) {
        leaf_script script;
        const auto extra = random.Below(1 + spread.count());
        script.latency = fixed + duration(static_cast<duration::rep>(extra));
        return script;
      };
    }
  }

  peer_message FromEntry(incarnation_id to = kOwner.incarnation) const {
    peer_message message;
    message.from = kEntry;
    message.from_address = "10.9.0.2:1";
    message.to_incarnation = to;
    return message;
  }

  /** Sends one query with a part for each service. */
  query_id Query(duration remaining = milliseconds(500),
                 rank urgency = rank::normal) {
    subquery_batch batch;
    batch.query = query_id{++last_query};
    batch.snapshot = kSnapshot;
    batch.urgency = urgency;
    batch.remaining = remaining;
    for (std::uint32_t i = 0; i < map->services.size(); ++i) {
      batch.parts.push_back({partition_id{i}, service_id{i}});
    }
    sent[batch.query] = now;
    rank_of[batch.query] = urgency;
    owner.OnSubqueryBatch(FromEntry(), batch, now, effects);
    ApplyEffects();
    return batch.query;
  }

  order_attempt MakeOrder(std::uint64_t sequence, std::uint32_t attempt = 0) {
    order_attempt body;
    body.id = {kEntry, sequence};
    body.attempt = attempt;
    body.collection = "theke";
    body.key = 5;
    body.remaining = milliseconds(500);
    return body;
  }

  void Order(const order_attempt& body,
             incarnation_id to = kOwner.incarnation) {
    owner.OnOrderAttempt(FromEntry(to), body, now, effects);
    ApplyEffects();
  }

  /** Runs all events until `end`. */
  void RunUntil(time_point end) {
    while (true) {
      const time_point wake = owner.NextWake();
      const time_point reply = replies_.empty() ? kNever : replies_.top().when;
      if (std::min(wake, reply) > end) break;
      ++events;
      if (reply <= wake) {
        Deliver();
      } else {
        now = std::max(now, wake);
        owner.OnTick(now, effects);
      }
      ApplyEffects();
    }
    now = std::max(now, end);
  }

  void RunFor(duration span) { RunUntil(now + span); }

  /** Sends `count` queries at a fixed interval. */
  void Load(std::uint32_t count, duration interval,
            duration remaining = milliseconds(500),
            rank urgency = rank::normal) {
    for (std::uint32_t i = 0; i < count; ++i) {
      Query(remaining, urgency);
      RunFor(interval);
    }
  }

  /** Latencies of answered parts, sorted. */
  std::vector<duration> Latencies() const {
    std::vector<duration> sorted = latencies;
    std::sort(sorted.begin(), sorted.end());
    return sorted;
  }

  duration Percentile(double share) const {
    const auto sorted = Latencies();
    const auto index =
        static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted.at(std::min(index, sorted.size() - 1));
  }

  std::size_t Count(part_status status) const {
    return static_cast<std::size_t>(std::count_if(
        results.begin(), results.end(),
        [&](const auto& result) { return result.second.status == status; }));
  }

  std::uint64_t LeafRequests() const {
    std::uint64_t total = 0;
    for (const auto& [id, leaf] : leafs_) total += leaf.requests;
    return total;
  }

  /** Applies the effects of the owner, until there are no more. */
  void ApplyEffects() {
    while (!effects.empty()) {
      effect_list list;
      list.swap(effects);
      for (const effect& each : list) ApplyEffects(each);
    }
  }

  void SetOpen(leaf_id id, std::uint32_t open) {
    owner.OnLeafConnections({id, open}, now, effects);
    ApplyEffects();
  }

  time_point now{};
  random_source random;
  std::shared_ptr<topology> map;
  service_owner owner;
  effect_list effects;
  std::uint64_t last_query = 0;
  std::uint64_t events = 0;
  std::map<query_id, time_point> sent;
  std::map<query_id, rank> rank_of;
  std::vector<std::pair<query_id, part_result>> results;
  std::vector<duration> latencies;
  std::vector<order_result> orders;
  std::map<order_id, std::uint32_t> order_requests;
  std::vector<leaf_observation> observations;
  std::vector<leaf_call_id> calls;
  std::vector<leaf_call_id> cancelled;
  bool auto_connect = true;  ///< Opens connections as soon as requested.

 private:
  struct pending_reply {
    time_point when{};
    leaf_call_id call{};
    leaf_id leaf{};
    leaf_script script;
    bool order = false;
    bool operator>(const pending_reply& other) const {
      return std::pair(when, call) > std::pair(other.when, other.call);
    }
  };

  void Deliver() {
    const pending_reply due = replies_.top();
    replies_.pop();
    now = std::max(now, due.when);
    if (running_.erase(due.call) == 0) return;
    --leafs_.at(due.leaf).running;
    if (due.script.broken) {
      owner.OnLeafFailure({due.call, leaf_failure::broken}, now, effects);
      return;
    }
    leaf_reply reply;
    reply.status = due.script.status;
    reply.snapshot = due.order ? snapshot_id{} : kSnapshot;
    reply.newest = due.script.newest;
    reply.draining = due.script.draining;
    owner.OnLeafReply({due.call, reply}, now, effects);
  }

  void ApplyEffects(const effect& each) {
    if (const auto* send = std::get_if<send_leaf_effect>(&each)) {
      simulated_leaf& leaf = leafs_.at(send->leaf);
      ++leaf.requests;
      calls.push_back(send->call);
      if (send->request.order) ++order_requests[*send->request.order];
      const leaf_script script = leaf.behave(send->request);
      if (script.silent) return;
      running_.insert(send->call);
      ++leaf.running;
      leaf.max_running = std::max(leaf.max_running, leaf.running);
      replies_.push({now + script.latency, send->call, send->leaf, script,
                     send->request.order.has_value()});
    } else if (const auto* stop = std::get_if<cancel_leaf_effect>(&each)) {
      cancelled.push_back(stop->call);
      if (running_.erase(stop->call) > 0) --leafs_.at(stop->leaf).running;
    } else if (const auto* open = std::get_if<set_connections_effect>(&each)) {
      const auto found = leafs_.find(open->leaf);
      if (found == leafs_.end()) return;
      found->second.target = open->target;
      if (auto_connect) SetOpen(open->leaf, open->target);
    } else if (const auto* peer = std::get_if<send_peer_effect>(&each)) {
      RecordMessage(peer->body);
    }
  }

  void RecordMessage(const peer_body& body) {
    if (const auto* parts = std::get_if<subquery_result>(&body)) {
      for (const part_result& part : parts->parts) {
        results.emplace_back(parts->query, part);
        if (part.status != part_status::ok) continue;
        latencies.push_back(now - sent.at(parts->query));
      }
    } else if (const auto* order = std::get_if<order_result>(&body)) {
      orders.push_back(*order);
    } else if (const auto* seen = std::get_if<leaf_observation>(&body)) {
      observations.push_back(*seen);
    }
  }

  std::map<leaf_id, simulated_leaf> leafs_;
  std::priority_queue<pending_reply, std::vector<pending_reply>,
                      std::greater<pending_reply>>
      replies_;
  std::set<leaf_call_id> running_;
};

}  // namespace corianderrail
