/** @file contract_sync.cpp Updates from the configuration service and peers. */

#include "core/contract_sync.h"

#include <algorithm>
#include <limits>

#include "core/stable_hash.h"

namespace corianderrail {

namespace {

constexpr std::string_view kHeadKey = "contracts/head";
constexpr std::string_view kTopologyKey = "topology";

// Number of sets kept as bases of deltas. At one change per 29 s, a peer with
// an older set was out of contact for minutes; it gets the full set.
constexpr std::size_t kMaxHistory = 8;

// Number of hosts to which each host sends a refusal notice. Flooding with this
// fan-out misses a fraction of about e^-12 of the fleet.
constexpr std::size_t kMaxNotifiedHosts = 12;

// Refusal notices sent at the same time; a further one replaces the oldest.
constexpr std::size_t kMaxRefusalNotices = 4;

// Size limit of each set that records rejected documents or conflicts.
constexpr std::size_t kMaxRemembered = 256;

/** Inserts a value into a set of bounded size. @return True when it is new. */
template <typename Set, typename Value>
bool InsertBounded(Set& set, const Value& value) {
  if (set.size() >= kMaxRemembered) set.erase(set.begin());
  return set.insert(value).second;
}

const contract_document* FindDocument(const contract_set& set,
                                      std::string_view key) {
  const auto found = std::find_if(
      set.documents.begin(), set.documents.end(),
      [&](const contract_document& one) { return one.key == key; });
  return found == set.documents.end() ? nullptr : &*found;
}

/** Hashes documents independently of the order in which they arrived. */
std::uint64_t HashDocuments(std::vector<contract_document> documents) {
  std::sort(documents.begin(), documents.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  std::uint64_t hash = HashBytes({});
  for (const contract_document& one : documents) {
    hash = HashBytes(one.key, hash);
    hash = HashBytes(one.bytes, MixHash(hash));
  }
  return hash;
}

}  // namespace

contract_sync::contract_sync(contract_validator contracts,
                             topology_validator topologies, head_parser heads)
    : contract_validator_(std::move(contracts)),
      topology_validator_(std::move(topologies)),
      head_parser_(std::move(heads)) {}

revision_id contract_sync::Revision() const {
  return in_force_ ? in_force_->revision : revision_id{};
}

std::uint64_t contract_sync::Digest() const {
  return in_force_ ? in_force_->digest : 0;
}

void contract_sync::OnConfigValue(const config_value_event& value,
                                  time_point now, effect_list& effects) {
  const bool present = value.reachable && value.found;
  if (value.key == kHeadKey) {
    if (present) OnHead(value.bytes, "service", now, effects);
    return;
  }
  if (value.key == kTopologyKey) {
    if (present) OnTopologyValue(value.bytes, "service", now, effects);
    return;
  }
  const bool complete = fetch_.OnValue(value, now);
  if (complete || fetch_.HasMissingDocument()) ValidateCandidate(now, effects);
}

void contract_sync::OnHead(const std::string& bytes, const std::string& source,
                           time_point now, effect_list& effects) {
  const head_verdict verdict = head_parser_(bytes);
  const bool from_service = source == "service";
  if (verdict.fault != contract_fault::none) {
    if (verdict.fault == contract_fault::newer_format) head_unreadable_ = true;
    // The hash includes the key, because two keys may hold the same bytes.
    const std::uint64_t digest = HashBytes(bytes, HashBytes(kHeadKey));
    if (!InsertBounded(refused_bytes_, digest)) return;
    Audit("contracts", verdict.revision, digest, verdict.fault, verdict.reason,
          source, now, effects);
    contract_delta notice;
    notice.digest = digest;
    notice.documents.push_back({std::string(kHeadKey), bytes});
    QueueRefusalNotice(digest, notice);
    return;
  }
  if (!from_service) return;
  head_unreadable_ = false;
  if (verdict.revision <= Revision()) return;
  if (verdict.revision <= fetch_.Revision()) return;
  if (refused_from_service_.contains(verdict.revision)) return;
  fetch_.Begin(verdict.revision, now, effects);
}

/** Validates the fetched documents and requests those that are still missing.
 */
void contract_sync::ValidateCandidate(time_point now, effect_list& effects) {
  document_list documents = fetch_.Documents();
  const revision_id revision = fetch_.Revision();
  contract_verdict verdict = Validate(documents, history_);
  if (verdict.set && verdict.set->revision != revision) {
    verdict.set.reset();
    verdict.fault = contract_fault::revision_mismatch;
    verdict.reason = "the set document states another revision than its key";
  }
  if (verdict.set) {
    Accept(verdict, "service", now, effects);
    return;
  }
  const bool missing = verdict.fault == contract_fault::missing_document &&
                       !verdict.missing_keys.empty();
  if (missing) fetch_.Request(verdict.missing_keys, now, effects);
  if (missing && !fetch_.HasMissingDocument()) return;
  Refuse(verdict, revision, documents, "service", now, effects);
  // A missing document may still be published, so the fetch goes on.
  if (missing || documents.empty()) return;
  InsertBounded(refused_from_service_, revision);
  fetch_.Stop();
}

/**
 * Validates documents after adding those that the set document lists and that
 * one of the given sets already contains.
 */
contract_verdict contract_sync::Validate(
    document_list& documents,
    std::span<const std::shared_ptr<const contract_set>> held) const {
  while (true) {
    contract_verdict verdict = contract_validator_(documents);
    if (verdict.fault != contract_fault::missing_document) return verdict;
    const std::size_t before = documents.size();
    for (const std::string& key : verdict.missing_keys) {
      for (const auto& set : held) {
        const contract_document* found = FindDocument(*set, key);
        if (found == nullptr) continue;
        documents.push_back(*found);
        break;
      }
    }
    if (documents.size() == before) return verdict;
  }
}

void contract_sync::Audit(std::string_view subject, revision_id revision,
                          std::uint64_t digest, contract_fault fault,
                          const std::string& reason, const std::string& source,
                          time_point now, effect_list& effects) const {
  audit_entry entry;
  entry.when = now;
  entry.subject = std::string(subject);
  entry.revision = revision;
  entry.digest = digest;
  entry.accepted = fault == contract_fault::none;
  entry.fault = fault;
  entry.reason = reason;
  entry.source = source;
  effects.push_back(audit_effect{std::move(entry)});
}

void contract_sync::Accept(const contract_verdict& verdict,
                           const std::string& source, time_point now,
                           effect_list& effects) {
  in_force_ = verdict.set;
  history_.push_back(in_force_);
  if (history_.size() > kMaxHistory) history_.erase(history_.begin());
  ++generation_;
  request_full_set_ = false;
  if (fetch_.Revision() <= Revision()) fetch_.Stop();
  contract_peers_.OnReached(Raw(Revision()));
  Audit("contracts", Revision(), Digest(), contract_fault::none, "", source,
        now, effects);
}

void contract_sync::Refuse(const contract_verdict& verdict,
                           revision_id revision, document_list documents,
                           const std::string& source, time_point now,
                           effect_list& effects) {
  if (verdict.fault == contract_fault::newer_format) {
    unreadable_revision_ = std::max(unreadable_revision_, revision);
  }
  const std::uint64_t digest = HashDocuments(documents);
  if (!InsertBounded(refused_sets_, std::pair(revision, digest))) return;
  Audit("contracts", revision, digest, verdict.fault, verdict.reason, source,
        now, effects);
  contract_delta notice;
  notice.revision = revision;
  notice.digest = digest;
  notice.base = Revision();
  // The receiver has the documents of the set in force, so they are omitted.
  std::erase_if(documents, [&](const contract_document& one) {
    if (!in_force_) return false;
    const contract_document* held = FindDocument(*in_force_, one.key);
    return held != nullptr && *held == one;
  });
  notice.documents = std::move(documents);
  QueueRefusalNotice(digest, notice);
}

/** Queues rejected documents for other hosts, which audit them too. Only hosts
 *  that read the service would learn of them otherwise. */
void contract_sync::QueueRefusalNotice(std::uint64_t digest, peer_body body) {
  if (refusal_notices_.size() >= kMaxRefusalNotices)
    refusal_notices_.erase(refusal_notices_.begin());
  refusal_notices_.push_back({digest, std::move(body), {}});
}

void contract_sync::MarkNotified(std::uint64_t digest, host_id host) {
  for (refusal_notice& one : refusal_notices_) {
    if (one.digest == digest) one.notified.insert(host);
  }
}

void contract_sync::SendRefusalNotices(const peer_message& from,
                                       effect_list& effects) {
  for (refusal_notice& one : refusal_notices_) {
    if (one.notified.size() >= kMaxNotifiedHosts) continue;
    if (!one.notified.insert(from.from.host).second) continue;
    effects.push_back(
        send_peer_effect{from.from.host, from.from_address, {}, one.body});
  }
}

void contract_sync::AuditConflict(const peer_message& from, time_point now,
                                  effect_list& effects) {
  if (!in_force_ || from.revision != Revision()) return;
  if (from.contract_digest == Digest()) return;
  const std::pair conflict(from.revision, from.contract_digest);
  if (!InsertBounded(audited_conflicts_, conflict)) return;
  Audit("contracts", from.revision, from.contract_digest,
        contract_fault::digest_mismatch,
        "a peer holds other documents under the same revision; publish a "
        "higher revision",
        from.from_address, now, effects);
}

void contract_sync::OnPeerRevision(const peer_message& from, time_point now,
                                   effect_list& effects) {
  SendRefusalNotices(from, effects);
  AuditConflict(from, now, effects);
  const std::pair advertised(from.revision, from.contract_digest);
  if (!refused_sets_.contains(advertised)) {
    newer_peer peer;
    peer.host = from.from.host;
    peer.address = from.from_address;
    peer.version = Raw(from.revision);
    peer.digest = from.contract_digest;
    contract_peers_.OnAdvertised(peer, Raw(Revision()), now);
  }
  if (!refused_topologies_.contains(from.topology_version)) {
    newer_peer peer;
    peer.host = from.from.host;
    peer.address = from.from_address;
    peer.version = from.topology_version;
    topology_peers_.OnAdvertised(peer, topology_ ? topology_->version : 0, now);
  }
  AskPeers(now, effects);
}

void contract_sync::AskPeers(time_point now, effect_list& effects) {
  if (const auto peer = contract_peers_.NextToAsk(now)) {
    contract_request request;
    if (!request_full_set_) request = {Revision(), Digest()};
    effects.push_back(send_peer_effect{peer->host, peer->address, {}, request});
  }
  if (const auto peer = topology_peers_.NextToAsk(now)) {
    effects.push_back(
        send_peer_effect{peer->host, peer->address, {}, topology_update{}});
  }
}

contract_delta contract_sync::DeltaFrom(const contract_set* base) const {
  contract_delta delta;
  delta.base = base != nullptr ? base->revision : revision_id{};
  delta.revision = Revision();
  delta.digest = Digest();
  for (const contract_document& one : in_force_->documents) {
    const contract_document* held =
        base != nullptr ? FindDocument(*base, one.key) : nullptr;
    if (held == nullptr || *held != one) delta.documents.push_back(one);
  }
  return delta;
}

void contract_sync::OnContractRequest(const peer_message& from,
                                      const contract_request& body,
                                      time_point /*now*/,
                                      effect_list& effects) {
  if (body.known >= Revision()) return;
  const auto base =
      std::find_if(history_.begin(), history_.end(), [&](const auto& set) {
        return set->revision == body.known && set->digest == body.digest;
      });
  effects.push_back(send_peer_effect{
      from.from.host,
      from.from_address,
      {},
      DeltaFrom(base == history_.end() ? nullptr : base->get())});
}

void contract_sync::OnContractDelta(const peer_message& from,
                                    const contract_delta& body, time_point now,
                                    effect_list& effects) {
  const host_id sender = from.from.host;
  if (body.documents.size() == 1 && body.documents[0].key == kHeadKey) {
    OnHead(body.documents[0].bytes, from.from_address, now, effects);
    MarkNotified(body.digest, sender);
    return;
  }
  contract_peers_.OnAnswer(sender);
  if (body.revision <= Revision()) return;
  if (refused_sets_.contains({body.revision, body.digest})) {
    MarkNotified(body.digest, sender);
    return;
  }
  std::vector<std::shared_ptr<const contract_set>> held;
  for (const auto& set : history_) {
    if (set->revision == body.base) held.push_back(set);
  }
  document_list documents = body.documents;
  const contract_verdict verdict = Validate(documents, held);
  if (verdict.set && verdict.set->revision == body.revision) {
    Accept(verdict, from.from_address, now, effects);
    return;
  }
  // If this host lacks documents of the base, a missing document says nothing
  // about the validity of the set.
  const bool partial = body.base != revision_id{} &&
                       verdict.fault == contract_fault::missing_document;
  if (partial && from.revision >= body.revision) {
    request_full_set_ = true;
    AskPeers(now, effects);
    return;
  }
  if (verdict.set || (partial && held.empty())) return;
  Refuse(verdict, body.revision, documents, from.from_address, now, effects);
  MarkNotified(HashDocuments(documents), sender);
  if (verdict.fault == contract_fault::missing_document) return;
  InsertBounded(refused_sets_, std::pair(body.revision, body.digest));
  contract_peers_.OnRefused(Raw(body.revision), body.digest);
}

void contract_sync::OnTopologyValue(const std::string& bytes,
                                    const std::string& source, time_point now,
                                    effect_list& effects) {
  if (topology_ && bytes == topology_bytes_) return;
  const topology_verdict verdict = topology_validator_(bytes);
  const std::uint64_t digest = HashBytes(bytes, HashBytes(kTopologyKey));
  if (!verdict.value) {
    if (!InsertBounded(refused_bytes_, digest)) return;
    Audit("topology", {}, digest, verdict.fault, verdict.reason, source, now,
          effects);
    topology_update notice;
    // The version cannot be parsed, and version 0 would request the topology.
    notice.version = std::numeric_limits<std::uint64_t>::max();
    notice.bytes = bytes;
    QueueRefusalNotice(digest, notice);
    return;
  }
  if (topology_ && verdict.value->version <= topology_->version) return;
  topology_ = verdict.value;
  topology_bytes_ = bytes;
  ++generation_;
  topology_peers_.OnReached(topology_->version);
  Audit("topology", revision_id{topology_->version}, digest,
        contract_fault::none, "", source, now, effects);
}

void contract_sync::OnTopologyUpdate(const peer_message& from,
                                     const topology_update& body,
                                     time_point now, effect_list& effects) {
  if (body.version == 0) {
    if (!topology_) return;
    effects.push_back(
        send_peer_effect{from.from.host,
                         from.from_address,
                         {},
                         topology_update{topology_->version, topology_bytes_}});
    return;
  }
  topology_peers_.OnAnswer(from.from.host);
  OnTopologyValue(body.bytes, from.from_address, now, effects);
  const std::uint64_t digest = HashBytes(body.bytes, HashBytes(kTopologyKey));
  MarkNotified(digest, from.from.host);
  if (!refused_bytes_.contains(digest)) return;
  if (body.version != from.topology_version) return;
  InsertBounded(refused_topologies_, body.version);
  topology_peers_.OnRefused(body.version, 0);
}

void contract_sync::OnTick(time_point now, effect_list& effects) {
  fetch_.OnTick(now, effects);
  AskPeers(now, effects);
}

time_point contract_sync::NextWake() const {
  return std::min({fetch_.NextWake(), contract_peers_.NextWake(),
                   topology_peers_.NextWake()});
}

/** Discards open requests and advertised versions from before the gap. Peers
 *  advertise theirs again with each message. */
void contract_sync::OnClockGap(time_point /*now*/, effect_list& /*effects*/) {
  contract_peers_.Clear();
  topology_peers_.Clear();
}

bool contract_sync::Behind() const { return contract_peers_.Behind(); }

bool contract_sync::FormatTooOld() const {
  return head_unreadable_ || unreadable_revision_ > Revision();
}

}  // namespace corianderrail
