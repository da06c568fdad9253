/** @file contract_sync.h Contract set and topology in force at a host. */

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/contract_fetch.h"
#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"
#include "core/peer_revisions.h"

namespace corianderrail {

/** Result of parsing a topology document. */
struct topology_verdict {
  contract_fault fault = contract_fault::none;  ///< `none` when accepted.
  std::string reason;                           ///< Equal on every host.
  std::shared_ptr<const topology> value;        ///< Null when rejected.
};

/** Parses a topology document. A pure function of the bytes. */
using topology_validator = std::function<topology_verdict(const std::string&)>;

/**
 * Keeps the contract set and the topology up to date from the configuration
 * service, if this host reads it, and from peers. The revision in force never
 * decreases.
 */
class contract_sync {
 public:
  contract_sync(contract_validator contracts, topology_validator topologies,
                head_parser heads);

  /** Handles a value read for config_reader or for a candidate set. */
  void OnConfigValue(const config_value_event& value, time_point now,
                     effect_list& effects);

  /** Compares the versions in the envelope with those in force, and sends
   * queued refusal notices to the sender. Called for every peer message before
   * its body is handled. */
  void OnPeerRevision(const peer_message& from, time_point now,
                      effect_list& effects);
  void OnContractRequest(const peer_message& from, const contract_request& body,
                         time_point now, effect_list& effects);
  void OnContractDelta(const peer_message& from, const contract_delta& body,
                       time_point now, effect_list& effects);
  void OnTopologyUpdate(const peer_message& from, const topology_update& body,
                        time_point now, effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now, effect_list& effects);

  /** Contract set in force; null until the first is accepted. */
  const std::shared_ptr<const contract_set>& InForce() const {
    return in_force_;
  }
  const std::shared_ptr<const topology>& Topology() const { return topology_; }

  /** True while a peer advertises a higher revision than the one in force and
   *  may still deliver it. */
  bool Behind() const;

  /** True when the head, or a set newer than the one in force, has a format
   * that this version of the software cannot read. */
  bool FormatTooOld() const;

  /** Incremented when InForce() or Topology() changes. */
  std::uint64_t Generation() const { return generation_; }

 private:
  using document_list = std::vector<contract_document>;

  /** Rejected documents that are sent to other hosts for their audit trails. */
  struct refusal_notice {
    std::uint64_t digest = 0;    ///< Hash of the rejected bytes.
    peer_body body;              ///< Message with the rejected bytes.
    std::set<host_id> notified;  ///< Hosts that have the notice.
  };

  revision_id Revision() const;
  std::uint64_t Digest() const;
  void OnHead(const std::string& bytes, const std::string& source,
              time_point now, effect_list& effects);
  void OnTopologyValue(const std::string& bytes, const std::string& source,
                       time_point now, effect_list& effects);
  void ValidateCandidate(time_point now, effect_list& effects);
  contract_verdict Validate(
      document_list& documents,
      std::span<const std::shared_ptr<const contract_set>> held) const;
  void Accept(const contract_verdict& verdict, const std::string& source,
              time_point now, effect_list& effects);
  void Refuse(const contract_verdict& verdict, revision_id revision,
              document_list documents, const std::string& source,
              time_point now, effect_list& effects);
  void Audit(std::string_view subject, revision_id revision,
             std::uint64_t digest, contract_fault fault,
             const std::string& reason, const std::string& source,
             time_point now, effect_list& effects) const;
  void QueueRefusalNotice(std::uint64_t digest, peer_body body);
  void SendRefusalNotices(const peer_message& from, effect_list& effects);
  void MarkNotified(std::uint64_t digest, host_id host);
  void AuditConflict(const peer_message& from, time_point now,
                     effect_list& effects);
  contract_delta DeltaFrom(const contract_set* base) const;
  void AskPeers(time_point now, effect_list& effects);

  contract_validator contract_validator_;
  topology_validator topology_validator_;
  head_parser head_parser_;
  std::shared_ptr<const contract_set> in_force_;
  std::shared_ptr<const topology> topology_;
  std::string topology_bytes_;
  std::vector<std::shared_ptr<const contract_set>> history_;  ///< Newest last.
  contract_fetch fetch_;           ///< Reads a candidate set.
  peer_revisions contract_peers_;  ///< Peers with a higher revision.
  peer_revisions topology_peers_;  ///< Peers with a higher topology version.
  /** Revision and digest of rejected sets. */
  std::set<std::pair<revision_id, std::uint64_t>> refused_sets_;
  std::set<revision_id> refused_from_service_;  ///< Not fetched again.
  std::set<std::uint64_t> refused_bytes_;  ///< Hashes of heads, topologies.
  std::set<std::uint64_t> refused_topologies_;   ///< Not requested again.
  std::vector<refusal_notice> refusal_notices_;  ///< Oldest first.
  std::set<std::pair<revision_id, std::uint64_t>>
      audited_conflicts_;              ///< In the audit trail.
  revision_id unreadable_revision_{};  ///< Highest with an unknown format.
  bool head_unreadable_ = false;       ///< The head has an unknown format.
  bool request_full_set_ = false;      ///< A delta did not apply; request all.
  std::uint64_t generation_ = 0;
};

}  // namespace corianderrail
