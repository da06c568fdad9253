/** @file membership.cpp Merging of records, refutation and message handling. */

#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "core/host_address.h"
#include "core/member_digest.h"

namespace corianderrail {

namespace {

// Minimum time between two probes that are sent to a member because this host
// holds a wrong record of it.
constexpr duration kClaimPeriod = std::chrono::milliseconds(200);

// Time until a host that has just started compares its table with others. By
// then the first changes have spread.
constexpr duration kFirstCompare = std::chrono::milliseconds(1500);

// Records in one message of a table; about 3 KB.
constexpr std::size_t kMaxRecordsPerMessage = 32;

// Number of members for which the suspicion time-out in the settings holds. The
// time-out grows with log2(members) and is not shortened for fewer members.
constexpr double kBaseMembers = 8;

// An update is sent this number times log2(members). At 5% message loss, that
// reaches all members.
constexpr std::uint32_t kResendFactor = 3;

// The same for a record that this host read in the table of another one.
constexpr std::uint32_t kSyncResends = 3;

}  // namespace

membership::membership(member_record self, membership_settings settings,
                       std::uint64_t seed)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      random_(seed),
      table_(self_.zone, self_.region) {
  SetSeeds(settings_.seeds);
}

void membership::SetSeeds(std::span<const std::string> seeds) {
  seeds_.clear();
  for (const std::string& seed : seeds) {
    if (!AddJoinTarget(seed)) continue;
    seeds_.push_back(seed);
  }
}

bool membership::AddJoinTarget(const std::string& address) {
  const host_id host = HostIdOf(address);
  if (host == self_.ref.host || address == self_.peer_address) return false;
  join_targets_[host] = address;
  return true;
}

void membership::Start(time_point now, effect_list& effects) {
  started_ = true;
  search_started_ = now;
  const auto period =
      static_cast<std::uint64_t>(settings_.probe_period.count());
  // A random phase spreads the probes of hosts that start at the same time.
  next_probe_ = now + duration(random_.Below(period));
  next_rejoin_ = now + settings_.rejoin_period;
  next_compare_ = now + kFirstCompare + duration(random_.Below(period));
  updates_.Put(self_.ref.host, Resends(record_source::own));
  Join(now, effects);
}

void membership::OnProbe(const peer_message& from, const probe& body,
                         time_point now, effect_list& effects) {
  Merge(body.updates, record_source::update, now);
  OnContact(from, true, now, effects);
  probe_ack ack;
  ack.sequence = body.sequence;
  ack.target = self_.ref.host;
  ack.updates = UpdatesFor(from.from.host);
  effects.push_back(
      send_peer_effect{from.from.host, from.from_address, {}, std::move(ack)});
}

void membership::OnProbeRequest(const peer_message& from,
                                const probe_request& body, time_point now,
                                effect_list& effects) {
  Merge(body.updates, record_source::update, now);
  OnContact(from, false, now, effects);
  const member_entry* target = table_.Find(body.target);
  if (target == nullptr) return;
  probe relayed;
  relayed.sequence = ++sequence_;
  relayed.on_behalf_of = from.from.host;
  relayed.updates = UpdatesFor(body.target);
  relayed_probes_[relayed.sequence] = {from.from.host, from.from_address,
                                       body.sequence,
                                       now + settings_.probe_period};
  effects.push_back(send_peer_effect{
      body.target, target->record.peer_address, {}, std::move(relayed)});
}

void membership::OnProbeAck(const peer_message& from, const probe_ack& body,
                            time_point now, effect_list& effects) {
  Merge(body.updates, record_source::update, now);
  OnContact(from, false, now, effects);
  const auto relayed = relayed_probes_.find(body.sequence);
  if (relayed != relayed_probes_.end()) {
    probe_ack forward;
    forward.sequence = relayed->second.sequence;
    forward.target = body.target;
    forward.updates = UpdatesFor(relayed->second.requester);
    // The requester needs the record by which the target refutes its suspicion.
    const member_entry* target = table_.Find(body.target);
    if (target != nullptr) forward.updates.push_back(target->record);
    effects.push_back(send_peer_effect{relayed->second.requester,
                                       relayed->second.address,
                                       {},
                                       std::move(forward)});
    relayed_probes_.erase(relayed);
    return;
  }
  const auto found = probes_.find(body.sequence);
  if (found == probes_.end() || found->second.target != body.target) return;
  probes_.erase(found);
  member_entry* target = table_.Find(body.target);
  if (target == nullptr) return;
  target->last_contact = now;
}

void membership::OnMemberSync(const peer_message& from, const member_sync& body,
                              time_point now, effect_list& effects) {
  const std::uint64_t before = generation_;
  Merge(body.members, record_source::sync, now);
  // A table with news probably lacks more of them: compares again soon.
  if (generation_ != before) {
    next_compare_ = std::min(next_compare_, now + QuickComparePeriod());
  }
  OnContact(from, body.want_reply, now, effects);
  if (!body.want_reply) return;
  std::vector<member_record> all{self_};
  table_.Visit([&](const member_entry& entry) { all.push_back(entry.record); });
  SendRecords(from.from.host, from.from_address, all, effects);
}

void membership::OnMemberDigest(const peer_message& from,
                                const member_digest& body, time_point now,
                                effect_list& effects) {
  OnContact(from, false, now, effects);
  const std::size_t buckets = body.buckets.size();
  if (buckets == 0 || buckets > kMaxDigestBuckets) return;
  const auto own = DigestMembers(table_, self_, buckets);
  std::vector<member_record> differing;
  const auto add = [&](const member_record& record) {
    const std::size_t bucket = DigestBucket(record.ref.host, buckets);
    if (own[bucket] != body.buckets[bucket]) differing.push_back(record);
  };
  add(self_);
  table_.Visit([&](const member_entry& entry) { add(entry.record); });
  if (differing.empty()) return;
  SendRecords(from.from.host, from.from_address, differing, effects);
}

void membership::OnHostList(const host_list_event& list, time_point now,
                            effect_list& effects) {
  host_list_seen_ = true;
  if (list.reachable) {
    join_targets_.clear();
    for (const std::string& seed : seeds_) AddJoinTarget(seed);
    for (const host_list_entry& entry : list.entries)
      AddJoinTarget(entry.address);
    if (!confirmed_) next_join_ = std::min(next_join_, now);
  }
  if (started_) OnTick(now, effects);
}

void membership::Merge(std::span<const member_record> records,
                       record_source source, time_point now) {
  for (const member_record& record : records) MergeOne(record, source, now);
}

void membership::MergeOne(const member_record& record, record_source source,
                          time_point now) {
  if (record.ref.host == self_.ref.host) {
    RefuteClaim(record);
    return;
  }
  member_entry* entry = table_.Find(record.ref.host);
  if (entry == nullptr) {
    if (record.state == member_state::gone) return;
    entry = &table_.Add(record, random_);
    entry->since = now;
    if (record.state == member_state::suspect) {
      table_.SetDeadline(*entry, now + Suspicion());
    }
    updates_.Put(record.ref.host, Resends(source));
    ++generation_;
    return;
  }
  member_record& held = entry->record;
  if (Supersedes(record, held)) {
    member_record fresh = record;
    // A full table may come from another part of the fleet and date from before
    // a network partition ended. A member that is gone in such a table becomes
    // suspect first, so that it has time to refute.
    const bool same_version = record.ref == held.ref &&
                              record.version == held.version &&
                              held.state != member_state::gone;
    if (source == record_source::sync && same_version &&
        record.state == member_state::gone) {
      fresh.state = member_state::suspect;
      if (!Supersedes(fresh, held)) return;
    }
    Apply(fresh, source, now);
    return;
  }
  if (record.ref != held.ref) return;
  const bool same =
      record.version == held.version && record.state == held.state;
  if (same) updates_.OnHeard(record.ref.host);
  if (record.revision > held.revision) held.revision = record.revision;
  const bool disputed = held.state == member_state::gone &&
                        record.state != member_state::gone &&
                        source == record_source::sync;
  if (disputed) disputed_.push_back(record.ref.host);
}

/** Issues a newer record of this host if this host did not issue the received
 *  one, unless its present record already takes precedence. */
void membership::RefuteClaim(const member_record& claim) {
  if (claim.ref.incarnation > self_.ref.incarnation) {
    // The clock from which incarnations are derived went back, or the record is
    // wrong. Only a higher incarnation takes precedence over it.
    self_.ref.incarnation = incarnation_id{Raw(claim.ref.incarnation) + 1};
    self_.version = 0;
    SelfChanged();
    return;
  }
  const bool claimed_down =
      claim.state == member_state::suspect || claim.state == member_state::gone;
  if (claim.ref.incarnation < self_.ref.incarnation ||
      claim.version < self_.version) {
    // The present record takes precedence but has not reached the sender.
    updates_.Put(self_.ref.host, Resends(record_source::own));
    return;
  }
  if (!claimed_down && claim.version == self_.version) {
    updates_.OnHeard(self_.ref.host);
    return;
  }
  self_.version = claim.version + 1;
  SelfChanged();
}

void membership::Apply(const member_record& record, record_source source,
                       time_point now) {
  member_entry& entry = *table_.Find(record.ref.host);
  const bool visible =
      entry.record.ref != record.ref || entry.record.state != record.state ||
      entry.record.ready != record.ready || entry.record.busy != record.busy ||
      entry.record.capacity != record.capacity;
  member_record fresh = record;
  if (fresh.ref == entry.record.ref) {
    fresh.revision = std::max(fresh.revision, entry.record.revision);
  }
  table_.SetRecord(entry, fresh);
  entry.since = now;
  if (record.state == member_state::suspect) {
    table_.SetDeadline(entry, now + Suspicion());
  }
  updates_.Put(record.ref.host, Resends(source));
  if (visible) ++generation_;
}

/**
 * Records contact with the sender of a message.
 * @param replies True when the calling function also sends a reply. The reply
 * contains this host's record of the sender if the sender is not alive in it.
 */
void membership::OnContact(const peer_message& from, bool replies,
                           time_point now, effect_list& effects) {
  if (from.from.host == self_.ref.host) return;
  if (!confirmed_) {
    ++generation_;
    self_changed_ = true;  // Others may hold a record of the old process.
  }
  confirmed_ = true;
  member_entry* entry = table_.Find(from.from.host);
  if (entry == nullptr ||
      entry->record.ref.incarnation < from.from.incarnation) {
    if (now < next_sync_request_) return;
    next_sync_request_ = now + std::chrono::seconds(1);
    SendDigest(from.from.host, from.from_address, effects);
    return;
  }
  member_record& record = entry->record;
  entry->last_contact = now;
  if (record.ref == from.from && from.revision > record.revision) {
    record.revision = from.revision;
  }
  if (record.state == member_state::leaving) {
    table_.SetDeadline(*entry, kNever);
  }
  // If this host's record of the sender is wrong, a probe is sent to the
  // sender. It contains that record if the state is not alive, so that the
  // sender refutes the record.
  const bool wrong = record.state == member_state::suspect ||
                     record.state == member_state::gone ||
                     record.ref.incarnation > from.from.incarnation;
  if (!wrong || replies || now < entry->claim_sent + kClaimPeriod) return;
  entry->claim_sent = now;
  SendProbe(*entry, false, now, effects);
}

const member_record* membership::RecordOf(host_id host) const {
  if (host == self_.ref.host) return &self_;
  const member_entry* entry = table_.Find(host);
  return entry == nullptr ? nullptr : &entry->record;
}

/** Chooses the records for a message: this host's record of the receiver if the
 *  receiver is not alive in it and may have to refute it, the record of this
 *  host for a receiver that is not known, and queued updates. */
std::vector<member_record> membership::UpdatesFor(host_id receiver) {
  std::vector<member_record> result;
  const member_entry* known = table_.Find(receiver);
  if (known == nullptr) result.push_back(self_);
  if (known != nullptr && known->record.state != member_state::alive) {
    result.push_back(known->record);
  }
  for (const host_id host : updates_.NextBatch(settings_.updates_per_message)) {
    const member_record* record = RecordOf(host);
    if (record != nullptr) result.push_back(*record);
  }
  return result;
}

/** Number of times that a change is piggybacked. The members of another table
 *  hear of its records from each other and by comparing tables. */
std::uint32_t membership::Resends(record_source source) const {
  if (source == record_source::sync) return kSyncResends;
  const auto members = static_cast<std::uint64_t>(table_.Present() + 1);
  return kResendFactor *
         std::max<std::uint32_t>(
             static_cast<std::uint32_t>(std::bit_width(members)), 2);
}

duration membership::Suspicion() const {
  const auto members = static_cast<double>(table_.Present() + 1);
  const double scale =
      std::max(std::log2(members) / std::log2(kBaseMembers), 1.0);
  return duration(static_cast<duration::rep>(
      static_cast<double>(settings_.suspicion.count()) * scale));
}

void membership::SelfChanged() {
  self_changed_ = true;
  updates_.Put(self_.ref.host, Resends(record_source::own));
  ++generation_;
}

void membership::RequestTable(host_id host, const std::string& address,
                              effect_list& effects) const {
  effects.push_back(
      send_peer_effect{host, address, {}, member_sync{true, {self_}}});
}

/** Asks for the records of the groups of members that differ. */
void membership::SendDigest(host_id host, const std::string& address,
                            effect_list& effects) const {
  member_digest digest{DigestMembers(table_, self_, DigestBuckets(table_))};
  effects.push_back(send_peer_effect{host, address, {}, std::move(digest)});
}

/** Sends records in messages of a bounded size: a large datagram is lost when
 *  one of its fragments is, and the table of a large fleet exceeds the maximum
 *  size of a datagram. */
void membership::SendRecords(host_id host, const std::string& address,
                             std::span<const member_record> records,
                             effect_list& effects) const {
  while (!records.empty()) {
    const auto batch =
        records.first(std::min(records.size(), kMaxRecordsPerMessage));
    member_sync sync;
    sync.members.assign(batch.begin(), batch.end());
    effects.push_back(send_peer_effect{host, address, {}, std::move(sync)});
    records = records.subspan(batch.size());
  }
}

void membership::SetReady(bool ready) {
  if (self_.ready == ready) return;
  self_.ready = ready;
  ++self_.version;
  SelfChanged();
}

void membership::SetBusy(bool busy) {
  if (self_.busy == busy) return;
  self_.busy = busy;
  ++self_.version;
  SelfChanged();
}

/** Queues no update, because the envelope of each message contains the
 *  revision. */
void membership::SetRevision(revision_id revision) {
  self_.revision = revision;
}

void membership::SetLeaving() {
  if (self_.state == member_state::leaving) return;
  self_.state = member_state::leaving;
  ++self_.version;
  SelfChanged();
}

void membership::OnClockGap(time_point now, effect_list& effects) {
  probes_.clear();
  relayed_probes_.clear();
  confirmed_ = false;
  alone_ = false;
  search_started_ = now;
  join_period_ = {};
  ++generation_;
  // No message was handled during the gap, so suspects get a new time-out to
  // refute.
  const std::vector<host_id> suspects(table_.Suspects().begin(),
                                      table_.Suspects().end());
  for (const host_id host : suspects) {
    table_.SetDeadline(*table_.Find(host), now + Suspicion());
  }
  next_probe_ = now;
  next_compare_ = now + kFirstCompare;
  Join(now, effects);
}

bool membership::Confirmed() const { return confirmed_ || alone_; }

std::vector<member_record> membership::Members() const {
  std::vector<member_record> result;
  result.reserve(table_.Size() + 1);
  result.push_back(self_);
  table_.Visit(
      [&](const member_entry& entry) { result.push_back(entry.record); });
  std::sort(result.begin(), result.end(),
            [](const member_record& a, const member_record& b) {
              return a.ref.host < b.ref.host;
            });
  return result;
}

revision_id membership::HighestRevision() const {
  revision_id highest = self_.revision;
  table_.Visit([&](const member_entry& entry) {
    highest = std::max(highest, entry.record.revision);
  });
  return highest;
}

const member_record& membership::Self() const { return self_; }

const member_record* membership::Find(host_id host) const {
  if (host == self_.ref.host) return &self_;
  const member_entry* entry = table_.Find(host);
  return entry == nullptr ? nullptr : &entry->record;
}

std::uint64_t membership::Generation() const { return generation_; }

}  // namespace corianderrail
