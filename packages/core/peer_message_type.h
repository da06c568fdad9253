/** @file peer_message_type.h Messages between hosts. */

#pragma once

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

/** One part of a query for an owner. */
struct subquery_part {
  partition_id partition{};  ///< Partition of the pinned snapshot.
  service_id service{};      ///< Service that the receiver should own.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(partition, service);
  }
};

/** Entry to owner: all parts of one query that the owner serves. */
struct subquery_batch {
  query_id query{};                  ///< Unique within the entry incarnation.
  collection_id collection{};        ///< Collection queried.
  snapshot_id snapshot{};            ///< Pinned snapshot.
  rank urgency{};                    ///< Rank in the owner's queues.
  duration remaining{};              ///< Time left at sending.
  std::vector<subquery_part> parts;  ///< Not empty.
  std::string payload;               ///< Query text.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(query, collection, snapshot, urgency, remaining, parts, payload);
  }
};

/** Outcome of one part. */
enum class part_status : std::uint8_t {
  ok,              ///< Payload holds the answer.
  overloaded,      ///< Dropped before a leaf saw it.
  expired,         ///< Its time ran out.
  wrong_snapshot,  ///< No replica holds the snapshot.
  failed,          ///< All permitted attempts failed.
  unknown_part,    ///< The receiver's topology does not know the part.
};

/** Expected wait of new work in a service, by rank, in microseconds. */
using rank_wait = per_rank<std::uint32_t>;

/** Result of one part. */
struct part_result {
  partition_id partition{};  ///< Partition answered.
  service_id service{};      ///< Service that served it.
  part_status status{};      ///< Outcome.
  snapshot_id newest{};      ///< Newest snapshot seen at the service.
  rank_wait wait{};          ///< Load signal of the service.
  std::string payload;       ///< Answer when ok.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(partition, service, status, newest, wait, payload);
  }
};

/** Owner to entry: results of one or more parts of one query. */
struct subquery_result {
  query_id query{};                ///< Query of the receiver.
  snapshot_id snapshot{};          ///< Snapshot that answered.
  std::vector<part_result> parts;  ///< Not empty.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(query, snapshot, parts);
  }
};

/** Entry to owner: nobody waits for this query any more. */
struct subquery_cancel {
  query_id query{};  ///< Query of the sender.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(query);
  }
};

/** Home to owner: run this order once. */
struct order_attempt {
  order_id id;                ///< The order.
  std::uint32_t attempt = 0;  ///< Rises when a former owner said not run.
  service_id service{};       ///< Service that takes it.
  std::string collection;     ///< Name of the collection.
  rank urgency{};             ///< Rank in the owner's queues.
  std::uint64_t key = 0;      ///< Key ordered for.
  duration remaining{};       ///< Time left at sending.
  std::string payload;        ///< Order text.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, attempt, service, collection, urgency, key, remaining, payload);
  }
};

/** Owner to home: outcome of an attempt. */
struct order_result {
  order_id id;                ///< The order.
  std::uint32_t attempt = 0;  ///< Attempt answered.
  service_id service{};       ///< Service that the attempt was for.
  run_state outcome{};        ///< Whether it ran.
  refusal_reason reason{};    ///< Why not, or why unknown.
  rank_wait wait{};           ///< Load signal of the service.
  std::string payload;        ///< Upstream's answer when it ran.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, attempt, service, outcome, reason, wait, payload);
  }
};

/** Entry to home: a copy of an order, or a question about one. */
struct order_forward {
  std::uint64_t forward = 0;  ///< Unique within the sender incarnation.
  bool status_only = false;   ///< True asks without running.
  duration remaining{};       ///< Time the sender waits.
  order_request request;      ///< Only the id is set when status_only.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(forward, status_only, remaining, request);
  }
};

/** Home to entry: answer to an order_forward. */
struct order_reply {
  std::uint64_t forward = 0;  ///< Echo.
  order_status status;        ///< What is known.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(forward, status);
  }
};

/** Member to member: are you there? Carries member updates. */
struct probe {
  std::uint64_t sequence = 0;          ///< Echoed in the acknowledgement.
  host_id on_behalf_of{};              ///< Prober that asked; 0 if the sender.
  std::vector<member_record> updates;  ///< Piggybacked.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, on_behalf_of, updates);
  }
};

/** Member to member: probe this one for me. */
struct probe_request {
  std::uint64_t sequence = 0;          ///< Sequence of the requester's probe.
  host_id target{};                    ///< Member to probe.
  std::vector<member_record> updates;  ///< Piggybacked.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, target, updates);
  }
};

/** Acknowledges a probe. */
struct probe_ack {
  std::uint64_t sequence = 0;          ///< Echo.
  host_id target{};                    ///< Member that answered the probe.
  std::vector<member_record> updates;  ///< Piggybacked.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, target, updates);
  }
};

/** Member to member: whole member table. */
struct member_sync {
  bool want_reply = false;             ///< The receiver answers with its own.
  std::vector<member_record> members;  ///< All known, the sender included.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(want_reply, members);
  }
};

/** Member to member: send what I lack. */
struct contract_request {
  revision_id known{};       ///< Revision that the sender has in force.
  std::uint64_t digest = 0;  ///< Its digest.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(known, digest);
  }
};

/** Member to member: documents that changed since `base`. */
struct contract_delta {
  revision_id base{};        ///< Revision that the delta builds on; 0 for all.
  revision_id revision{};    ///< Revision that results.
  std::uint64_t digest = 0;  ///< Digest that results.
  std::vector<contract_document> documents;  ///< Set document first.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(base, revision, digest, documents);
  }
};

/** Member to member: topology bytes newer than the receiver's. */
struct topology_update {
  std::uint64_t version = 0;  ///< Version of the bytes; 0 asks for them.
  std::string bytes;          ///< TOML text; empty in a request.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(version, bytes);
  }
};

/** Member to member: lend me some of your share. */
struct share_request {
  std::uint64_t sequence = 0;  ///< Echoed in the grant.
  std::string customer;        ///< Customer whose rate is short.
  std::string kind;            ///< Kind of work.
  double rate_per_s = 0;       ///< Rate wanted.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, customer, kind, rate_per_s);
  }
};

/** Member to member: a lease of rate. */
struct share_grant {
  std::uint64_t sequence = 0;  ///< Echo of the request.
  std::string customer;        ///< Customer.
  std::string kind;            ///< Kind of work.
  double rate_per_s = 0;       ///< Rate lent; 0 refuses.
  duration lease{};            ///< Counted from when the request was sent.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(sequence, customer, kind, rate_per_s, lease);
  }
};

/** Host to other hosts: what was seen of a leaf. */
struct leaf_observation {
  leaf_id leaf{};         ///< The leaf.
  bool draining = false;  ///< It said that it is leaving.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(leaf, draining);
  }
};

/** All bodies; the position is the number on the wire, so append only. */
using peer_body =
    std::variant<subquery_batch, subquery_result, subquery_cancel,
                 order_attempt, order_result, order_forward, order_reply, probe,
                 probe_request, probe_ack, member_sync, contract_request,
                 contract_delta, topology_update, share_request, share_grant,
                 leaf_observation>;

/** A message with what every message carries. */
struct peer_message {
  host_ref from;                       ///< Sender and its life.
  incarnation_id to_incarnation{};     ///< Life addressed; 0 for any.
  revision_id revision{};              ///< Revision in force at the sender.
  std::uint64_t contract_digest = 0;   ///< Digest of that set.
  std::uint64_t topology_version = 0;  ///< Topology version at the sender.
  std::uint32_t contract_format = kContractFormat;  ///< Newest format it reads.
  std::string from_address;  ///< Peer address of the sender.
  peer_body body;            ///< Content.
};

}  // namespace corianderrail
