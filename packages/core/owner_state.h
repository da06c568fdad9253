/** @file owner_state.h State and operations of the leaf scheduler. */

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/attempt_log.h"
#include "core/hedge_budget.h"
#include "core/latency_digest.h"
#include "core/leaf_health.h"
#include "core/leaf_queue.h"
#include "core/random.h"
#include "core/service_owner.h"
#include "core/slot_table.h"

namespace corianderrail {

/** Scheduling state of one service. */
struct service_state {
  explicit service_state(const owner_settings& settings)
      : budget(settings.extra_load) {
    digest.SetTailQuantile(settings.hedge_quantile);
  }

  service_id id{};                  ///< Index in the current topology.
  bool published = false;           ///< In the current topology.
  bool owned = false;               ///< This host is its owner.
  std::vector<leaf_health*> leafs;  ///< Replicas in the current topology.
  leaf_queue queue;                 ///< Tasks that wait for a slot.
  latency_digest digest;    ///< Latencies of leafs that are not ejected.
  double mean = 0;          ///< Smoothed latency, microseconds.
  per_rank<double> cost{};  ///< Smoothed latency by rank, us.
  per_rank<double> busy{};  ///< Decaying slot time by rank, us.
  time_point busy_at{};     ///< Time of the last decay of `busy`.
  hedge_budget budget;      ///< Tokens for hedges, retries and probes.
  std::deque<slot_handle> token_wait;  ///< Tasks whose retry waits for a token.
  std::size_t tasks = 0;               ///< Unfinished tasks.
  std::size_t refs = 0;                ///< Timers and calls that point to it.
  time_point timer_at = kNever;        ///< Due time of the next service timer.
  snapshot_id newest{};  ///< Newest snapshot that a leaf reported.

  /** Adds slot time of a rank to its recent use. */
  void AddBusyTime(rank urgency, double micros, time_point now);

  /** Share of `slots` that a rank used recently. */
  double BusyShare(rank urgency, std::uint32_t slots, time_point now) const;
};

/** State of a subquery_batch with open parts. */
struct batch_record {
  host_ref from;           ///< Entry that gets the results.
  std::string address;     ///< Peer address of the entry.
  query_id query{};        ///< Identifier given by the entry.
  snapshot_id snapshot{};  ///< Snapshot that the parts must be read from.
  std::string collection;  ///< Name of the collection.
  std::string payload;     ///< Query text.
  std::shared_ptr<const topology> pinned_topology;  ///< Owns the partitions.
  std::vector<slot_handle> tasks;  ///< Tasks of the parts; may be finished.
  std::size_t open = 0;            ///< Unfinished parts.
};

/** State of a task that is an order. */
struct order_work {
  host_ref from;        ///< Home that gets the result.
  std::string address;  ///< Peer address of the home.
  order_attempt body;   ///< Attempt as received.
  std::shared_ptr<const topology> pinned_topology;  ///< Owns the partition.
};

/** State of a task: in a queue, at a leaf, or waiting for a retry token. */
enum class task_state : std::uint8_t { queued, in_flight, token_wait };

/** Task: one part of a query, or one order. */
struct task_record {
  service_state* service = nullptr;  ///< Service that runs it.
  service_id requested_service{};    ///< Service number at the sender.
  rank urgency{};                    ///< Rank of its kind of work.
  time_point arrived{};              ///< Time of arrival at this host.
  time_point deadline{};             ///< No answer is useful after it.
  slot_handle batch = 0;             ///< Batch of a part; 0 for an order.
  partition_id partition{};          ///< Number of a part; unused for an order.
  const corianderrail::partition* part = nullptr;  ///< Range and replicas.
  std::unique_ptr<order_work> order;               ///< Set for an order.
  task_state state{};                              ///< Stage of the task.
  std::uint64_t sequence = 0;          ///< Sequence number of its queue entry.
  std::array<slot_handle, 3> calls{};  ///< Open requests; 0 if unused.
  std::array<leaf_id, 4> tried{};      ///< Leafs that are not chosen again.
  std::uint8_t tried_count = 0;        ///< Used entries of `tried`.
  std::uint8_t unsent = 0;             ///< Requests that could not be sent.
  bool is_retry = false;               ///< The next request is a retry.
  bool hedged = false;                 ///< A hedge was sent; there is only one.
  part_status last_status =
      part_status::failed;  ///< Reported when no replica is left.
};

/** Reason why a request is sent to a leaf. */
enum class call_purpose : std::uint8_t { first, retry, hedge, probe };

/** Request at a leaf. It occupies a slot of the leaf until it ends, or until
 *  `release_at` if it was cancelled. */
struct call_record {
  slot_handle task = 0;              ///< Task that waits for it; 0 if none.
  service_state* service = nullptr;  ///< Service of the task.
  leaf_health* leaf = nullptr;       ///< Leaf that it was sent to.
  time_point sent{};                 ///< Time of sending.
  call_purpose purpose{};            ///< Reason for the request.
  rank urgency{};                    ///< Rank of the task.
  bool cancelled = false;            ///< A cancellation was sent.
  bool counted_slow = false;         ///< Already counted as slow.
  bool spans_gap = false;            ///< The process paused while it was open.
  time_point release_at{};           ///< If cancelled: when its slot is free.
};

/** Subject of a timer. */
enum class timer_kind : std::uint8_t { service, call, task, leaf };

/** One timer; it may outlive its subject. */
struct timer_entry {
  time_point when{};                 ///< Due time.
  timer_kind kind{};                 ///< Subject.
  slot_handle handle = 0;            ///< Call, task or leaf identifier.
  service_state* service = nullptr;  ///< Set for service timers.

  bool operator>(const timer_entry& other) const { return when > other.when; }
};

/** Identifies a query of an entry. */
struct query_key {
  host_ref from;     ///< Entry of the query.
  query_id query{};  ///< Identifier within the entry.

  bool operator==(const query_key&) const = default;
};

struct query_key_hash {
  std::size_t operator()(const query_key& key) const noexcept {
    return order_id_hash{}(order_id{key.from, Raw(key.query)});
  }
};

/** Host that sent work to this one and is notified of drains. */
struct peer_contact {
  incarnation_id incarnation{};  ///< Its latest known process.
  std::string address;           ///< Peer address.
  time_point last_message_at{};  ///< Time of the last message.
};

/** Result of the choice of a leaf. */
enum class placement : std::uint8_t {
  placed,     ///< A leaf was chosen.
  busy,       ///< Every remaining replica is busy, unreachable or leaving.
  exhausted,  ///< Every replica was tried or lacks the snapshot.
  missing_snapshot,  ///< Every replica lacks the snapshot.
};

struct leaf_choice {
  placement verdict{};          ///< Whether there is a leaf, or why not.
  leaf_health* leaf = nullptr;  ///< Chosen leaf; null unless placed.
  bool any_free = false;        ///< Some leaf of the service has a free slot.
};

struct service_owner::state {
  state(host_ref self_ref, owner_settings given, std::uint64_t seed)
      : self(self_ref),
        settings(given),
        random(seed),
        attempts(given.attempt_window) {}

  // service_owner.cpp: accepts work and reports outcomes.
  void AcceptBatch(const peer_message& from, const subquery_batch& body,
                   time_point now, effect_list& effects);
  bool HasOpenPart(const batch_record& batch, partition_id id);
  void AcceptPart(const subquery_batch& body, const subquery_part& part,
                  slot_handle batch, const partition_map* partitions,
                  time_point now, effect_list& effects);
  void AcceptOrder(const peer_message& from, const order_attempt& body,
                   time_point now, effect_list& effects);
  void QueueOrder(const peer_message& from, const order_attempt& body,
                  time_point now, effect_list& effects);
  void CancelQuery(const query_key& key, time_point now, effect_list& effects);
  void FinishPart(slot_handle id, part_status status, std::string payload,
                  time_point now, effect_list& effects);
  void FinishOrder(slot_handle id, run_state outcome, refusal_reason reason,
                   std::string payload, time_point now, effect_list& effects);
  void Drop(slot_handle id, time_point now, effect_list& effects);
  void EraseTask(slot_handle id);
  void SendPartResult(const batch_record& batch, part_result result,
                      effect_list& effects) const;
  void SendOrderResult(const peer_message& from, const order_attempt& body,
                       run_state outcome, refusal_reason reason,
                       const std::string& payload, effect_list& effects) const;
  void RecordContact(const peer_message& from, time_point now,
                     effect_list& effects);
  service_state* FindService(service_id id);
  rank_wait ExpectedWait(service_state& service, time_point now) const;

  // leaf_dispatch.cpp: sends queued work to leafs.
  void Enqueue(slot_handle id);
  void RemoveFromQueue(task_record& task);
  void Dispatch(service_state& service, time_point now, effect_list& effects);
  bool DispatchRank(service_state& service, rank urgency, time_point now,
                    effect_list& effects);
  bool CannotFinish(const task_record& task, time_point now) const;
  void FinishUnplaced(slot_handle id, placement verdict, time_point now,
                      effect_list& effects);
  void Send(slot_handle id, leaf_health& leaf, call_purpose purpose,
            time_point now, effect_list& effects);
  leaf_request MakeRequest(const task_record& task, time_point now);
  void SendProbes(slot_handle id, time_point now, effect_list& effects);
  bool HasPendingAttempt(const task_record& task);
  void Retry(slot_handle id, const leaf_health& leaf, time_point now,
             effect_list& effects);
  void GrantTokens(service_state& service, time_point now);
  void ArmTokenWait(slot_handle id, time_point now);
  void OnTokenWaitTimer(slot_handle id, time_point now, effect_list& effects);
  void CancelCall(slot_handle id, time_point now, effect_list& effects);
  void StopCall(slot_handle id, time_point now, effect_list& effects);
  void DropExpired(service_state& service, time_point now,
                   effect_list& effects);
  void ArmService(service_state& service, time_point now);

  // replica_choice.cpp: chooses the leaf of a request.
  leaf_choice Choose(const task_record& task, time_point now);
  leaf_health* ChooseHedge(const task_record& task, const call_record& call,
                           time_point now);
  bool ServesPart(const task_record& task, const leaf_health& leaf) const;
  bool IsStalled(const service_state& service, const leaf_health& leaf,
                 time_point now);
  duration OldestAge(const leaf_health& leaf, time_point now);
  double Score(const service_state& service, const leaf_health& leaf,
               time_point now);

  // leaf_call.cpp: replies, timers, hedges and outlier detection.
  void OnReply(const leaf_reply_event& event, time_point now,
               effect_list& effects);
  void OnFailure(slot_handle id, leaf_failure failure, time_point now,
                 effect_list& effects);
  void HandleReply(const call_record& call, const leaf_reply& reply,
                   time_point now, effect_list& effects);
  void OnCallTimeout(slot_handle id, time_point now, effect_list& effects);
  void RecordLatency(const call_record& call, time_point now);
  void RecordCancelledCall(call_record& call, time_point now);
  void RecordProbeResult(const call_record& call, bool good, time_point now);
  void RecordFailure(service_state& service, leaf_health& leaf, time_point now,
                     effect_list& effects);
  void ReleaseCall(slot_handle id);
  void DetachCall(task_record& task, slot_handle call);
  void OnCallTimer(slot_handle id, time_point now, effect_list& effects);
  void OnTimer(const timer_entry& timer, time_point now, effect_list& effects);
  void ArmCall(slot_handle id, time_point now);
  void RecordSlowCall(slot_handle id, time_point now, effect_list& effects);
  void Hedge(slot_handle id, time_point now, effect_list& effects);
  void MaybeEject(service_state& service, leaf_health& leaf, time_point now,
                  effect_list& effects);
  bool IsOutlier(const service_state& service, const leaf_health& leaf,
                 time_point now);
  void PruneTimers();

  // leaf_lifecycle.cpp: topology, connections and drain of leafs.
  void SetTopology(std::shared_ptr<const topology> value, time_point now,
                   effect_list& effects);
  void PublishService(const service_info& info, std::size_t index);
  void RetireServices(time_point now, effect_list& effects);
  leaf_health& PublishLeaf(const leaf_info& info);
  void UpdateConnections(leaf_health& leaf, effect_list& effects) const;
  void UpdateAllConnections(effect_list& effects);
  void OnConnections(const leaf_connections_event& event, time_point now,
                     effect_list& effects);
  void OnDrainSignal(leaf_health& leaf, bool observed_locally, time_point now,
                     effect_list& effects);
  void OnLeafReturned(leaf_health& leaf, time_point now, effect_list& effects);
  void NotifyHosts(const leaf_health& leaf, bool draining,
                   effect_list& effects);
  void OnLeafTimer(leaf_health& leaf, time_point now, effect_list& effects);
  void DispatchLeaf(const leaf_health& leaf, time_point now,
                    effect_list& effects);

  void AddTimer(time_point when, timer_kind kind, slot_handle handle,
                service_state* service = nullptr) {
    timers.push({when, kind, handle, service});
  }

  host_ref self;
  owner_settings settings;
  random_source random;
  per_rank<ppm> floors{};
  owner_counters counters;
  std::shared_ptr<const topology> current_topology;
  std::map<std::string, std::unique_ptr<service_state>> services;
  std::vector<service_state*> by_id;  ///< Indexed by service_id.
  std::unordered_map<leaf_id, std::unique_ptr<leaf_health>> leafs;
  std::unordered_map<std::string, leaf_health*> by_address;
  slot_table<task_record> tasks;
  slot_table<batch_record> batches;
  slot_table<call_record> calls;
  std::unordered_map<query_key, slot_handle, query_key_hash> queries;
  attempt_log attempts;
  std::map<host_id, peer_contact> contacts;
  std::uint64_t next_sequence = 1;
  std::priority_queue<timer_entry, std::vector<timer_entry>,
                      std::greater<timer_entry>>
      timers;
  std::vector<queue_entry> deferred;  ///< Reused by DispatchRank.
};

}  // namespace corianderrail
