/** @file owner_state.h Records and steps inside the leaf scheduler. */

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

/** One service as its owner schedules it. */
struct service_state {
  explicit service_state(const owner_settings& settings)
      : budget(settings.extra_load) {
    digest.SetTailQuantile(settings.hedge_quantile);
  }

  service_id id{};                     ///< Index in the topology in force.
  bool published = false;              ///< Part of the topology in force.
  bool owned = false;                  ///< This host is its owner.
  std::vector<leaf_health*> leafs;     ///< Replicas.
  leaf_queue queue;                    ///< Work that waits for a slot.
  latency_digest digest;               ///< Latency of its healthy leafs.
  double mean = 0;                     ///< Smoothed latency, microseconds.
  per_rank<double> cost{};             ///< Smoothed latency by rank.
  per_rank<double> busy{};             ///< Recent slot time by rank.
  time_point busy_at{};                ///< Time of the last decay of `busy`.
  hedge_budget budget;                 ///< Tokens for hedges and retries.
  std::deque<slot_handle> token_wait;  ///< Retries that lack a token.
  std::size_t tasks = 0;               ///< Queued and in flight.
  std::size_t refs = 0;                ///< Timers and calls that point here.
  time_point timer_at = kNever;        ///< Next service timer.
  snapshot_id newest{};                ///< Newest snapshot that a leaf named.

  /** Adds slot time to the recent use of a rank. */
  void AddBusyTime(rank urgency, double micros, time_point now);

  /** Recent share of `slots` that a rank used. */
  double BusyShare(rank urgency, std::uint32_t slots, time_point now) const;
};

/** One subquery_batch with open parts. */
struct batch_record {
  host_ref from;           ///< Entry that waits.
  std::string address;     ///< Its peer address.
  query_id query{};        ///< Query of the entry.
  snapshot_id snapshot{};  ///< Pinned snapshot.
  std::string collection;  ///< Name of the collection.
  std::string payload;     ///< Query text.
  std::shared_ptr<const topology>
      pinned_topology;             ///< Keeps the partitions alive.
  std::vector<slot_handle> tasks;  ///< Parts; finished ones included.
  std::size_t open = 0;            ///< Unfinished parts.
};

/** What an order needs beyond a part of a query. */
struct order_work {
  host_ref from;        ///< Home that waits.
  std::string address;  ///< Its peer address.
  order_attempt body;   ///< The attempt.
  std::shared_ptr<const topology>
      pinned_topology;  ///< Keeps the partition alive.
};

/** Where a piece of work stands. */
enum class task_state : std::uint8_t { queued, in_flight, token_wait };

/** One part of a query, or one order. */
struct task_record {
  service_state* service = nullptr;  ///< Where it runs.
  service_id requested_service{};    ///< The service as the sender named it.
  rank urgency{};                    ///< Rank.
  time_point arrived{};              ///< Arrival at this host.
  time_point deadline{};             ///< Latest useful answer.
  slot_handle batch = 0;             ///< Set for parts of queries.
  partition_id partition{};          ///< Set for parts of queries.
  const corianderrail::partition* part =
      nullptr;                         ///< Range and replicas; or null.
  std::unique_ptr<order_work> order;   ///< Set for orders.
  task_state state{};                  ///< Where it stands.
  std::uint64_t sequence = 0;          ///< Its entry in the queue.
  std::array<slot_handle, 3> calls{};  ///< First request, hedge, probe.
  std::array<leaf_id, 4> tried{};      ///< Leafs that did not answer it.
  std::uint8_t tried_count = 0;        ///< Used entries of `tried`.
  std::uint8_t unsent = 0;             ///< Requests that never went out.
  bool is_retry = false;               ///< The next request is a retry.
  bool hedged = false;                 ///< A hedge was sent.
  part_status last_status =
      part_status::failed;  ///< Reported when none is left.
};

/** Why a request goes to a leaf. */
enum class call_purpose : std::uint8_t { first, retry, hedge, probe };

/** One request at a leaf; it holds a slot until its end is known. */
struct call_record {
  slot_handle task = 0;              ///< Who waits; 0 when nobody does.
  service_state* service = nullptr;  ///< Service of the task.
  leaf_health* leaf = nullptr;       ///< Receiver.
  time_point sent{};                 ///< Time of sending.
  call_purpose purpose{};            ///< Why it was sent.
  rank urgency{};                    ///< Rank of the task.
  bool cancelled = false;            ///< The leaf was told to stop.
  bool counted_slow = false;         ///< Counted against the leaf already.
  bool spans_gap = false;            ///< Its latency includes a pause.
  time_point release_at{};           ///< When a cancelled call frees its slot.
};

/** What a timer is for. */
enum class timer_kind : std::uint8_t { service, call, task, leaf };

/** One timer; it may outlive its subject. */
struct timer_entry {
  time_point when{};                 ///< Due time.
  timer_kind kind{};                 ///< Subject.
  slot_handle handle = 0;            ///< Call, task, or leaf identifier.
  service_state* service = nullptr;  ///< Set for service timers.

  bool operator>(const timer_entry& other) const { return when > other.when; }
};

/** Names a query of an entry. */
struct query_key {
  host_ref from;     ///< Entry.
  query_id query{};  ///< Its query.

  bool operator==(const query_key&) const = default;
};

struct query_key_hash {
  std::size_t operator()(const query_key& key) const noexcept {
    return order_id_hash{}(order_id{key.from, Raw(key.query)});
  }
};

/** A host that sent work or news to this one. */
struct peer_contact {
  incarnation_id incarnation{};  ///< Life that was heard of last.
  std::string address;           ///< Peer address.
  time_point last_message_at{};  ///< Time of the last message.
};

/** Result of looking for a leaf. */
enum class placement : std::uint8_t {
  placed,            ///< A leaf was found.
  busy,              ///< Every suitable leaf is busy, unreachable or leaving.
  exhausted,         ///< Every replica was tried.
  missing_snapshot,  ///< Every replica lacks the snapshot.
};

struct leaf_choice {
  placement verdict{};          ///< Result.
  leaf_health* leaf = nullptr;  ///< Set when placed.
  bool any_free = false;        ///< Some leaf of the service has a free slot.
};

struct service_owner::state {
  state(host_ref self_ref, owner_settings given, std::uint64_t seed)
      : self(self_ref),
        settings(given),
        random(seed),
        attempts(given.attempt_window) {}

  // service_owner.cpp: intake and outcomes.
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

  // leaf_dispatch.cpp: from the queue to a leaf.
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

  // replica_choice.cpp: which leaf.
  leaf_choice Choose(const task_record& task, time_point now);
  leaf_health* ChooseHedge(const task_record& task, const call_record& call,
                           time_point now);
  bool ServesPart(const task_record& task, const leaf_health& leaf) const;
  bool IsStalled(const service_state& service, const leaf_health& leaf,
                 time_point now);
  duration OldestAge(const leaf_health& leaf, time_point now);
  double Score(const service_state& service, const leaf_health& leaf,
               time_point now);

  // leaf_call.cpp: replies, timers, stragglers.
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

  // leaf_lifecycle.cpp: topology, connections, drain.
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
