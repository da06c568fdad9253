/** @file query_gather.h Scatter-gather of queries at the entry. */

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"
#include "core/member_type.h"
#include "core/ownership.h"
#include "core/snapshot_choice.h"

namespace corianderrail {

/** Monotonic counters of queries. */
struct query_counters {
  std::uint64_t admitted = 0;  ///< Queries started.
  std::uint64_t complete = 0;  ///< Answers with all parts.
  std::uint64_t partial = 0;   ///< Answers with at least the minimum coverage.
  std::uint64_t incomplete = 0;  ///< Answers below the minimum coverage.
  std::uint64_t replanned = 0;   ///< Queries planned again on another snapshot.
  std::uint64_t resent = 0;  ///< Parts sent again after the loss of an owner.
  std::uint64_t stray = 0;   ///< Results without a matching open part.
};

/** Plans queries on a snapshot, sends their parts to the owners and gathers the
 *  results until the answer policy ends the wait. */
class query_gather {
 public:
  query_gather(host_ref self, std::uint64_t seed);

  void SetTopology(std::shared_ptr<const topology> value, time_point now);

  /** Replaces the members, which supply the peer addresses and show which
   *  owners are lost. */
  void SetMembers(std::span<const member_record> members);

  /** Sends the open parts of lost owners again, to the new owners. */
  void OnOwnersChanged(const ownership& owners, admission& admission_control,
                       time_point now, effect_list& effects);

  /** Starts an admitted query, which always ends with an answer or a refusal
   *  unless the caller leaves. */
  void Start(call_id call, const query_request& request,
             const admission_ticket& ticket, const ownership& owners,
             admission& admission_control, time_point now,
             effect_list& effects);

  void OnSubqueryResult(const peer_message& from, const subquery_result& body,
                        admission& admission_control, const ownership& owners,
                        time_point now, effect_list& effects);
  void OnCallerGone(call_id call, admission& admission_control, time_point now,
                    effect_list& effects);
  void OnTick(const ownership& owners, admission& admission_control,
              time_point now, effect_list& effects);
  time_point NextWake() const;

  /** Answers queries whose time ran out while the process was paused. */
  void OnClockGap(admission& admission_control, time_point now,
                  effect_list& effects);

  bool Idle() const { return queries_.empty(); }
  const query_counters& Counters() const { return counters_; }

 private:
  /** Outcome of one part of a query. */
  enum class part_state : std::uint8_t { open, answered, failed };

  /// No position in open_query::contacted_owners.
  static constexpr std::uint32_t kNoOwner = 0xFFFF'FFFF;

  /** Part of a query and where it was sent. */
  struct part_slot {
    part_state state = part_state::open;    ///< Outcome so far.
    std::uint32_t first_owner = kNoOwner;   ///< First owner it was sent to.
    std::uint32_t resend_owner = kNoOwner;  ///< Owner after a resend.
  };

  /** Parts of a plan that are sent to one owner. */
  struct planned_batch {
    host_ref owner;                    ///< Owner at planning.
    std::vector<subquery_part> parts;  ///< At least one.
  };

  /** Distribution of the partitions of a map to the present owners. */
  struct plan {
    const partition_map* map = nullptr;  ///< Map of the snapshot.
    std::uint64_t keys = 0;              ///< Number of keys in the map.
    std::vector<planned_batch> batches;  ///< One for each owner.
  };

  /** Results gathered from one snapshot. */
  struct gathered_parts {
    std::shared_ptr<const topology> pinned_topology;  ///< Owns `*map`.
    const partition_map* map = nullptr;  ///< Map of the pinned snapshot.
    std::uint64_t keys = 0;              ///< Number of keys in the map.
    std::uint64_t answered_keys = 0;     ///< Keys of answered parts.
    std::uint32_t open = 0;              ///< Parts still open.
    std::vector<part_slot> parts;        ///< Indexed by partition_id.
    std::vector<std::string> payloads;   ///< Indexed by partition_id.
  };

  /** Query that is not answered yet. */
  struct open_query {
    call_id call{};              ///< Call of the caller.
    std::string request_id;      ///< Identifier given by the caller.
    std::string payload;         ///< Query text, for later batches.
    admission_ticket ticket;     ///< Terms of the admission.
    collection_id collection{};  ///< Collection queried.
    time_point started{};        ///< Time of arrival.
    time_point planned{};        ///< Time when the present plan was sent.
    gathered_parts pinned;       ///< Results from the present snapshot.
    std::optional<gathered_parts> previous;  ///< Results of the first plan.
    std::vector<host_ref> contacted_owners;  ///< Owners that were sent a batch.
    std::uint32_t lacking = 0;  ///< Parts whose service lacks the snapshot.
    snapshot_id newest{};       ///< Newest snapshot that a leaf reported.
    time_point wake{};          ///< Time of its entry in wakes_.
  };

  using query_table = std::unordered_map<query_id, open_query>;

  std::optional<collection_id> FindCollection(std::string_view name) const;
  const plan* PlanFor(const partition_map* map, const ownership& owners);
  plan MakePlan(const partition_map& map, const ownership& owners) const;
  void SendPlan(query_id id, open_query& query, const plan& plan,
                time_point now, effect_list& effects);
  void SendBatch(query_id id, const open_query& query, host_ref owner,
                 std::vector<subquery_part> parts, time_point now,
                 effect_list& effects);
  void RecordPart(open_query& query, host_ref from, const part_result& part,
                  snapshot_id snapshot);
  const partition_map* AlternativeMap(const open_query& query,
                                      time_point now) const;
  bool AwaitsTopology(const open_query& query, time_point now) const;
  query_table::iterator Replan(query_table::iterator it,
                               const partition_map& map,
                               const ownership& owners, time_point now,
                               effect_list& effects);
  bool IsLost(host_ref owner) const;
  bool NeedsSend(const part_slot& slot,
                 std::span<const std::uint8_t> lost) const;
  void Resend(query_id id, open_query& query, const ownership& owners,
              time_point now, effect_list& effects);
  void Evaluate(query_table::iterator it, const ownership* owners,
                admission& admission_control, time_point now,
                effect_list& effects);
  time_point AnswerTime(const open_query& query) const;
  void SetWake(query_id id, open_query& query, time_point wake);
  void Answer(query_table::iterator it, bool in_flight,
              admission& admission_control, time_point now,
              effect_list& effects);
  void Cancel(query_id id, const open_query& query, effect_list& effects) const;
  void EraseQuery(query_table::iterator it);
  std::string AddressOf(host_id host) const;
  void UpdatePartLatency(duration elapsed);

  host_ref self_;
  std::shared_ptr<const topology> topology_;
  std::unordered_map<host_id, member_record> members_;
  snapshot_choice choice_;
  /// Cache; cleared when the topology, members or owners change.
  std::unordered_map<const partition_map*, plan> plans_;
  query_table queries_;
  std::unordered_map<call_id, query_id> calls_;
  std::set<std::pair<time_point, query_id>> wakes_;
  std::uint64_t next_query_ = 1;
  double resend_tokens_ = 0;        ///< Budget of parts to send again.
  double part_latency_p95_us_ = 0;  ///< Estimate; 0 if none.
  query_counters counters_;
};

}  // namespace corianderrail
