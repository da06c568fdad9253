/** @file contract_spread.cpp Revisions from the service and from peers. */

#include "core/contract_spread.h"

#include <algorithm>
#include <limits>

#include "core/stable_hash.h"

namespace corianderrail {

namespace {

constexpr std::string_view kHeadKey = "contracts/head";
constexpr std::string_view kTopologyKey = "topology";

// Sets kept for deltas. At one change per 29 s a peer this far behind was out
// of contact for minutes and takes the whole set.
constexpr std::size_t kHistory = 8;

// Hosts that each host tells of a refusal. Flooding with this fan-out reaches
// all of a fleet but a share of e^-12.
constexpr std::size_t kTellLimit = 12;

// Refusals being told at the same time.
constexpr std::size_t kNewsLimit = 4;

// Entries remembered in each set of refusals and conflicts.
constexpr std::size_t kMemoryLimit = 256;

template <typename Set, typename Value>
bool Remember(Set& set, const Value& value) {
  if (set.size() >= kMemoryLimit) set.erase(set.begin());
  return set.insert(value).second;
}

const contract_document* FindDocument(const contract_set& set,
                                      std::string_view key) {
  const auto found = std::find_if(
      set.documents.begin(), set.documents.end(),
      [&](const contract_document& one) { return one.key == key; });
  return found == set.documents.end() ? nullptr : &*found;
}

/** Hash that does not depend on the order in which documents arrived. */
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

contract_spread::contract_spread(contract_validator contracts,
                                 topology_validator topologies,
                                 head_parser heads)
    : contracts_(std::move(contracts)),
      topologies_(std::move(topologies)),
      heads_(std::move(heads)) {}

revision_id contract_spread::Revision() const {
  return in_force_ ? in_force_->revision : revision_id{};
}

std::uint64_t contract_spread::Digest() const {
  return in_force_ ? in_force_->digest : 0;
}

void contract_spread::OnConfigValue(const config_value_event& value,
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
  if (complete || fetch_.IsMissing()) TryCandidate(now, effects);
}

void contract_spread::OnHead(const std::string& bytes,
                             const std::string& source, time_point now,
                             effect_list& effects) {
  const head_verdict verdict = heads_(bytes);
  const bool from_service = source == "service";
  if (verdict.fault != contract_fault::none) {
    if (verdict.fault == contract_fault::newer_format) head_too_new_ = true;
    // The key is part of the hash; two keys may hold the same bad bytes.
    const std::uint64_t digest = HashBytes(bytes, HashBytes(kHeadKey));
    if (!Remember(refused_bytes_, digest)) return;
    Audit("contracts", verdict.revision, digest, verdict.fault, verdict.reason,
          source, now, effects);
    contract_delta news;
    news.digest = digest;
    news.documents.push_back({std::string(kHeadKey), bytes});
    Announce(digest, news);
    return;
  }
  if (!from_service) return;
  head_too_new_ = false;
  if (verdict.revision <= Revision()) return;
  if (verdict.revision <= fetch_.Revision()) return;
  if (refused_here_.contains(verdict.revision)) return;
  fetch_.Begin(verdict.revision, now, effects);
}

/** Validates what was fetched; asks for what the set lists in addition. */
void contract_spread::TryCandidate(time_point now, effect_list& effects) {
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
  if (missing) fetch_.Want(verdict.missing_keys, now, effects);
  if (missing && !fetch_.IsMissing()) return;
  Refuse(verdict, revision, documents, "service", now, effects);
  // Documents that are merely absent may still be published.
  if (missing || documents.empty()) return;
  Remember(refused_here_, revision);
  fetch_.Stop();
}

/** Adds documents that the set lists and this host already holds. */
contract_verdict contract_spread::Validate(
    document_list& documents,
    std::span<const std::shared_ptr<const contract_set>> held) const {
  while (true) {
    contract_verdict verdict = contracts_(documents);
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

void contract_spread::Audit(std::string_view subject, revision_id revision,
                            std::uint64_t digest, contract_fault fault,
                            const std::string& reason,
                            const std::string& source, time_point now,
                            effect_list& effects) const {
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

void contract_spread::Accept(const contract_verdict& verdict,
                             const std::string& source, time_point now,
                             effect_list& effects) {
  in_force_ = verdict.set;
  history_.push_back(in_force_);
  if (history_.size() > kHistory) history_.erase(history_.begin());
  ++generation_;
  ask_in_full_ = false;
  if (fetch_.Revision() <= Revision()) fetch_.Stop();
  contract_peers_.OnReached(Raw(Revision()));
  Audit("contracts", Revision(), Digest(), contract_fault::none, "", source,
        now, effects);
}

void contract_spread::Refuse(const contract_verdict& verdict,
                             revision_id revision, document_list documents,
                             const std::string& source, time_point now,
                             effect_list& effects) {
  if (verdict.fault == contract_fault::newer_format) {
    too_new_ = std::max(too_new_, revision);
  }
  const std::uint64_t digest = HashDocuments(documents);
  if (!Remember(refused_, std::pair(revision, digest))) return;
  Audit("contracts", revision, digest, verdict.fault, verdict.reason, source,
        now, effects);
  contract_delta news;
  news.revision = revision;
  news.digest = digest;
  news.base = Revision();
  // Documents of the set in force are left out; the receiver holds them.
  std::erase_if(documents, [&](const contract_document& one) {
    if (!in_force_) return false;
    const contract_document* held = FindDocument(*in_force_, one.key);
    return held != nullptr && *held == one;
  });
  news.documents = std::move(documents);
  Announce(digest, news);
}

/** Other hosts audit the refusal too; only readers see it by themselves. */
void contract_spread::Announce(std::uint64_t digest, peer_body body) {
  if (news_.size() >= kNewsLimit) news_.erase(news_.begin());
  news_.push_back({digest, std::move(body), {}});
}

void contract_spread::MarkTold(std::uint64_t digest, host_id host) {
  for (refusal_news& one : news_) {
    if (one.digest == digest) one.told.insert(host);
  }
}

void contract_spread::TellRefusals(const peer_message& from,
                                   effect_list& effects) {
  for (refusal_news& one : news_) {
    if (one.told.size() >= kTellLimit) continue;
    if (!one.told.insert(from.from.host).second) continue;
    effects.push_back(
        send_peer_effect{from.from.host, from.from_address, {}, one.body});
  }
}

void contract_spread::NoteConflict(const peer_message& from, time_point now,
                                   effect_list& effects) {
  if (!in_force_ || from.revision != Revision()) return;
  if (from.contract_digest == Digest()) return;
  const std::pair conflict(from.revision, from.contract_digest);
  if (!Remember(conflicts_, conflict)) return;
  Audit("contracts", from.revision, from.contract_digest,
        contract_fault::digest_mismatch,
        "a peer holds other documents under the same revision; publish a "
        "higher revision",
        from.from_address, now, effects);
}

void contract_spread::OnPeerRevision(const peer_message& from, time_point now,
                                     effect_list& effects) {
  TellRefusals(from, effects);
  NoteConflict(from, now, effects);
  const std::pair advertised(from.revision, from.contract_digest);
  if (!refused_.contains(advertised)) {
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

void contract_spread::AskPeers(time_point now, effect_list& effects) {
  if (const auto peer = contract_peers_.NextToAsk(now)) {
    contract_request request;
    if (!ask_in_full_) request = {Revision(), Digest()};
    effects.push_back(send_peer_effect{peer->host, peer->address, {}, request});
  }
  if (const auto peer = topology_peers_.NextToAsk(now)) {
    effects.push_back(
        send_peer_effect{peer->host, peer->address, {}, topology_update{}});
  }
}

contract_delta contract_spread::DeltaFrom(const contract_set* base) const {
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

void contract_spread::OnContractRequest(const peer_message& from,
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

void contract_spread::OnContractDelta(const peer_message& from,
                                      const contract_delta& body,
                                      time_point now, effect_list& effects) {
  const host_id sender = from.from.host;
  if (body.documents.size() == 1 && body.documents[0].key == kHeadKey) {
    OnHead(body.documents[0].bytes, from.from_address, now, effects);
    MarkTold(body.digest, sender);
    return;
  }
  contract_peers_.OnAnswer(sender);
  if (body.revision <= Revision()) return;
  if (refused_.contains({body.revision, body.digest})) {
    MarkTold(body.digest, sender);
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
  // A delta against a base that is not held proves nothing about the set.
  const bool partial = body.base != revision_id{} &&
                       verdict.fault == contract_fault::missing_document;
  if (partial && from.revision >= body.revision) {
    ask_in_full_ = true;
    AskPeers(now, effects);
    return;
  }
  if (verdict.set || (partial && held.empty())) return;
  Refuse(verdict, body.revision, documents, from.from_address, now, effects);
  MarkTold(HashDocuments(documents), sender);
  if (verdict.fault == contract_fault::missing_document) return;
  Remember(refused_, std::pair(body.revision, body.digest));
  contract_peers_.OnRefused(Raw(body.revision), body.digest);
}

void contract_spread::OnTopologyValue(const std::string& bytes,
                                      const std::string& source, time_point now,
                                      effect_list& effects) {
  if (topology_ && bytes == topology_bytes_) return;
  const topology_verdict verdict = topologies_(bytes);
  const std::uint64_t digest = HashBytes(bytes, HashBytes(kTopologyKey));
  if (!verdict.value) {
    if (!Remember(refused_bytes_, digest)) return;
    Audit("topology", {}, digest, verdict.fault, verdict.reason, source, now,
          effects);
    topology_update news;
    // The version is not readable, and 0 would ask for the topology.
    news.version = std::numeric_limits<std::uint64_t>::max();
    news.bytes = bytes;
    Announce(digest, news);
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

void contract_spread::OnTopologyUpdate(const peer_message& from,
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
  MarkTold(digest, from.from.host);
  if (!refused_bytes_.contains(digest)) return;
  if (body.version != from.topology_version) return;
  Remember(refused_topologies_, body.version);
  topology_peers_.OnRefused(body.version, 0);
}

void contract_spread::OnTick(time_point now, effect_list& effects) {
  fetch_.OnTick(now, effects);
  AskPeers(now, effects);
}

time_point contract_spread::NextWake() const {
  return std::min({fetch_.NextWake(), contract_peers_.NextWake(),
                   topology_peers_.NextWake()});
}

/** Requests sent before the gap are not waited for; peers advertise anew. */
void contract_spread::OnClockGap(time_point /*now*/, effect_list& /*effects*/) {
  contract_peers_.Clear();
  topology_peers_.Clear();
}

bool contract_spread::Behind() const { return contract_peers_.Behind(); }

bool contract_spread::FormatTooOld() const {
  return head_too_new_ || too_new_ > Revision();
}

}  // namespace corianderrail
