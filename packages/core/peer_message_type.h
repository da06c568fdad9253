/** @file peer_message_type.h Messages between hosts. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/contract_type.h"
#include "core/id_type.h"
#include "core/member_type.h"
#include "core/order_type.h"
#include "core/rank_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** One part of a query, addressed to the owner of its service. */
struct subquery_part {
  partition_id partition{};  ///< Partition of the pinned snapshot.
  service_id service{};      ///< Service that the receiver is expected to own.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(partition, service);
  }
};

/** Entry to owner: all parts of one query that the same owner schedules. */
struct subquery_batch {
  query_id query{};                  ///< Unique within the entry incarnation.
  collection_id collection{};        ///< Collection to query.
  snapshot_id snapshot{};            ///< Snapshot that all parts must use.
  rank urgency{};                    ///< Rank in the owner's queues.
  duration remaining{};              ///< Remaining time when sent.
  std::vector<subquery_part> parts;  ///< Not empty.
  std::string payload;               ///< Query text.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(query, collection, snapshot, urgency, remaining, parts, payload);
  }
};

/** Outcome of one part of a query. */
enum class part_status : std::uint8_t {
  ok,              ///< Payload holds the answer.
  overloaded,      ///< Dropped before it was sent to a leaf.
  expired,         ///< Its deadline passed.
  wrong_snapshot,  ///< No replica holds the snapshot.
  failed,          ///< All permitted attempts failed.
  unknown_part,    ///< Not in the receiver's topology.
};

/** Expected queueing delay of new work in a service per rank, in microseconds.
 */
using rank_wait = per_rank<std::uint32_t>;

/** Result of one part of a query. */
struct part_result {
  partition_id partition{};  ///< Partition answered.
  service_id service{};      ///< Service that served it.
  part_status status{};
  snapshot_id newest{};  ///< Newest snapshot seen at the service.
  rank_wait wait{};      ///< Expected queueing delay at the service.
  std::string payload;   ///< Answer; set when `status` is ok.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(partition, service, status, newest, wait, payload);
  }
};

/** Owner to entry: results of one or more parts of one query. */
struct subquery_result {
  query_id query{};                ///< Identifier issued by the receiver.
  snapshot_id snapshot{};          ///< Copied from the subquery_batch.
  std::vector<part_result> parts;  ///< Not empty.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(query, snapshot, parts);
  }
};

/** Entry to owner: the results of this query are no longer needed. */
struct subquery_cancel {
  query_id query{};  ///< Identifier issued by the sender.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(query);
  }
};

/** Home to owner: run this order at most once. */
struct order_attempt {
  order_id id;
  std::uint32_t attempt = 0;  ///< Incremented after an owner answers not_run.
  service_id service{};       ///< Service that must run it.
  std::string collection;     ///< Name of the collection.
  rank urgency{};             ///< Rank in the owner's queues.
  std::uint64_t key = 0;      ///< Key from the caller's request.
  duration remaining{};       ///< Remaining time when sent.
  std::string payload;        ///< Order text.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, attempt, service, collection, urgency, key, remaining, payload);
  }
};

/** Owner to home: outcome of an attempt. */
struct order_result {
  order_id id;
  std::uint32_t attempt = 0;  ///< Copied from the order_attempt.
  service_id service{};       ///< Copied from the order_attempt.
  run_state outcome{};        ///< Whether the order ran.
  refusal_reason reason{};    ///< Set unless the order ran.
  rank_wait wait{};           ///< Expected queueing delay at the service.
  std::string payload;        ///< Upstream's answer; set when it ran.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, attempt, service, outcome, reason, wait, payload);
  }
};

/** Entry to home: a copy of an order, or a request for its status. */
struct order_forward {
  std::uint64_t forward = 0;  ///< Unique within the sender incarnation.
  bool status_only = false;  ///< Requests the status without running the order.
  duration remaining{};      ///< Time for which the sender waits.
  order_request request;     ///< Only the id is set when status_only.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(forward, status_only, remaining, request);
  }
};

/** Home to entry: answer to an order_forward. */
struct order_reply {
  std::uint64_t forward = 0;  ///< Copied from the order_forward.
  order_status status;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(forward, status);
  }
};

/** Member to member: liveness check; expects a probe_ack. */
struct probe {
  std::uint64_t sequence = 0;          ///< Copied into the acknowledgement.
  host_id on_behalf_of{};              ///< Host that requested it; 0: sender.
  std::vector<member_record> updates;  ///< Piggybacked member updates.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, on_behalf_of, updates);
  }
};

/** Member to member: request for an indirect probe of a third member. */
struct probe_request {
  std::uint64_t sequence = 0;          ///< Sequence of the requester's probe.
  host_id target{};                    ///< Member to probe.
  std::vector<member_record> updates;  ///< Piggybacked member updates.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, target, updates);
  }
};

/** Acknowledges a probe. */
struct probe_ack {
  std::uint64_t sequence = 0;          ///< Copied from the probe.
  host_id target{};                    ///< Member that answered the probe.
  std::vector<member_record> updates;  ///< Piggybacked member updates.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, target, updates);
  }
};

/** Member to member: exchange of member tables. */
struct member_sync {
  bool want_reply = false;             ///< Requests the receiver's table.
  std::vector<member_record> members;  ///< Sender's record first, or only it.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(want_reply, members);
  }
};

/** Member to member: request for a newer contract set. */
struct contract_request {
  revision_id known{};       ///< Revision in force; 0 requests a full set.
  std::uint64_t digest = 0;  ///< Digest of that revision.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(known, digest);
  }
};

/** Member to member: the documents of a set except those that `base` contains.
 *  Also sends rejected documents for the audit trail of the receiver. */
struct contract_delta {
  revision_id base{};        ///< Revision held by the receiver; 0: full set.
  revision_id revision{};    ///< Revision of the complete set.
  std::uint64_t digest = 0;  ///< Digest of the complete set.
  std::vector<contract_document> documents;  ///< Set document first.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(base, revision, digest, documents);
  }
};

/** Member to member: a topology document, or a request for one. */
struct topology_update {
  std::uint64_t version = 0;  ///< Version of the document; 0 requests it.
  std::string bytes;          ///< TOML text; empty in a request.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(version, bytes);
  }
};

/** Member to member: request for a lease of rate. */
struct share_request {
  std::uint64_t sequence = 0;  ///< Copied into the grant.
  std::string customer;        ///< Customer whose demand exceeds the share.
  std::string kind;            ///< Kind of work.
  double rate_per_s = 0;       ///< Rate requested.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, customer, kind, rate_per_s);
  }
};

/** Member to member: answer to a share_request. */
struct share_grant {
  std::uint64_t sequence = 0;  ///< Copied from the request.
  std::string customer;        ///< Copied from the request.
  std::string kind;            ///< Copied from the request.
  double rate_per_s = 0;       ///< Rate lent; 0 when refused.
  duration lease{};            ///< Starts when the request was sent.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, customer, kind, rate_per_s, lease);
  }
};

/** Host to other hosts: report about a leaf. */
struct leaf_observation {
  leaf_id leaf{};
  bool draining = false;  ///< The leaf announced that it is about to stop.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(leaf, draining);
  }
};

/** Member to member: compares member tables without sending them. */
struct member_digest {
  std::vector<std::uint64_t> buckets;  ///< Digest of each group of members.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(buckets);
  }
};

/** Maximum number of figures in a message. With the longest addresses it has
 *  less than 1,400 bytes, so it fits in one datagram of an Ethernet. */
inline constexpr std::size_t kMaxLeafFigures = 64;

/** Performance of one leaf as its sender learned it from answers. */
struct leaf_figure {
  leaf_boot boot{};  ///< Hash of the leaf's instance and start time.
  std::uint32_t slowness_permille = 1000;  ///< Latency over the expected one.
  std::uint32_t samples = 0;               ///< Answers it was learned from.
  std::uint32_t age_ms = 0;                ///< Time since the latest of them.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(boot, slowness_permille, samples, age_ms);
  }
};

/** Member to member: leafs that differ from the usual, or have returned. */
struct leaf_figures {
  std::vector<leaf_figure> figures;  ///< At most kMaxLeafFigures.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(figures);
  }
};

/** All message bodies. The position of a type is its number on the wire, so new
 *  types are appended and existing ones keep their place. */
using peer_body =
    std::variant<subquery_batch, subquery_result, subquery_cancel,
                 order_attempt, order_result, order_forward, order_reply, probe,
                 probe_request, probe_ack, member_sync, contract_request,
                 contract_delta, topology_update, share_request, share_grant,
                 leaf_observation, member_digest, leaf_figures>;

/** A message between hosts with its envelope. */
struct peer_message {
  host_ref from;                       ///< Sender and its incarnation.
  incarnation_id to_incarnation{};     ///< Receiver's incarnation; 0: any.
  revision_id revision{};              ///< Revision in force at the sender.
  std::uint64_t contract_digest = 0;   ///< Digest of that revision.
  std::uint64_t topology_version = 0;  ///< Topology version at the sender.
  std::uint32_t contract_format =
      kContractFormat;       ///< Newest format that the sender reads.
  std::string from_address;  ///< Peer address of the sender.
  peer_body body;
};

}  // namespace corianderrail
