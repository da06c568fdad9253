/** @file contract_sync.h Which contract set and topology are in force. */

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
  std::string reason;                           ///< Same text on every host.
  std::shared_ptr<const topology> value;        ///< Null when refused.
};

/** Parses a topology document; a pure function of the bytes. */
using topology_validator = std::function<topology_verdict(const std::string&)>;

/**
 * Learns revisions from the configuration service (when this host reads it)
 * and from peers. The revision in force only rises.
 */
class contract_sync {
 public:
  contract_sync(contract_validator contracts, topology_validator topologies,
                head_parser heads);

  /** A value read by config_reader, or a document asked for here. */
  void OnConfigValue(const config_value_event& value, time_point now,
                     effect_list& effects);

  /** Called for every peer message, before its body is handled. */
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

  /** Set in force; null before the first. */
  const std::shared_ptr<const contract_set>& InForce() const {
    return in_force_;
  }
  const std::shared_ptr<const topology>& Topology() const { return topology_; }

  /** True while a peer showed a higher revision that is not in force here. */
  bool Behind() const;

  /** True when a peer needs a document format that this version lacks. */
  bool FormatTooOld() const;

  /** Rises whenever InForce() or Topology() changes. */
  std::uint64_t Generation() const { return generation_; }

 private:
  using document_list = std::vector<contract_document>;

  /** Something refused that other hosts are told of. */
  struct refusal_notice {
    std::uint64_t digest = 0;    ///< Hash of the refused bytes.
    peer_body body;              ///< Message that carries the bytes.
    std::set<host_id> notified;  ///< Hosts that know it.
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
  contract_fetch fetch_;           ///< Candidate from the service.
  peer_revisions contract_peers_;  ///< Peers with a higher revision.
  peer_revisions topology_peers_;  ///< Peers with a higher topology version.
  /** Revision and digest of refused sets. */
  std::set<std::pair<revision_id, std::uint64_t>> refused_sets_;
  std::set<revision_id> refused_from_service_;   ///< Refused from the service.
  std::set<std::uint64_t> refused_bytes_;        ///< Heads and topologies.
  std::set<std::uint64_t> refused_topologies_;   ///< Versions from peers.
  std::vector<refusal_notice> refusal_notices_;  ///< Still being told.
  std::set<std::pair<revision_id, std::uint64_t>>
      audited_conflicts_;              ///< Audited.
  revision_id unreadable_revision_{};  ///< Revision in a format not known here.
  bool head_unreadable_ = false;   ///< The head has a format not known here.
  bool request_full_set_ = false;  ///< A delta did not apply; ask without base.
  std::uint64_t generation_ = 0;
};

}  // namespace corianderrail
