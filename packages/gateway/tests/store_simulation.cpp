/** @file store_simulation.cpp Model of the store, the network and the relay. */

#include "store_simulation.h"

#include <algorithm>
#include <utility>

#include "core/host_address.h"
#include "gateway/leafs/leaf_directory.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;

constexpr duration kStep = milliseconds(10);
constexpr duration kAnswerTime = milliseconds(20);
constexpr duration kLagCheckPeriod = milliseconds(200);
constexpr std::size_t kReportDelaySteps = 30;

/** TCP reports a connection that acknowledges nothing after this time. */
constexpr duration kUserTimeout = milliseconds(3000);

/** Others suspect a host that is silent for this time. */
constexpr duration kSuspectAfter = milliseconds(500);

constexpr const char* kConfigKey = "config";
constexpr const char* kLeafKey = "leaf";

}  // namespace

store_simulation::store_simulation(std::size_t hosts, std::uint64_t seed,
                                   std::size_t zones)
    : seed_(seed), zones_(zones) {
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_.push_back(MakeHost(i));
    member_record member;
    member.peer_address = hosts_.back().address;
    member.ref.host = HostIdOf(member.peer_address);
    member.zone = std::to_string(i % zones_);
    member.capacity = 250;
    members_.push_back(member);
  }
}

store_simulation::host store_simulation::MakeHost(std::size_t number) {
  const std::string address = "10.0.0." + std::to_string(number) + ":1";
  const std::uint64_t seed = seed_ * 1000 + number * 10 + restarts_ * 7919;
  store_reader_settings settings{
      HostIdOf(address), std::to_string(number % zones_), seed, {}};
  return host(address, settings);
}

void store_simulation::Run(duration length) {
  for (const time_point end = now_ + length; now_ < end;) Step();
}

time_point store_simulation::Change() {
  config_revision_ = ++revision_;
  return now_;
}

time_point store_simulation::Drain() {
  drain_revision_ = ++revision_;
  drain_ack_ = now_;
  return now_;
}

duration store_simulation::LeafUsedFor(std::size_t host,
                                       duration drain_time) const {
  const auto& one = hosts_[host];
  if (one.drain_known == kNever) return duration::max();
  leaf_directory directory({drain_time});
  leaf_record record;
  directory.Apply({kLeafKey, 1, record, false}, {}, one.drain_after);
  record.draining = true;
  directory.Apply({kLeafKey, 2, record, false}, {one.drain_after, false},
                  one.drain_known);
  const time_point end = directory.SendBefore(*directory.FindKey(kLeafKey));
  return std::max(end, one.drain_known) - drain_ack_;
}

void store_simulation::Freeze(std::size_t host, duration length) {
  hosts_[host].frozen_since = now_;
  hosts_[host].frozen_until = now_ + length;
}

std::vector<std::size_t> store_simulation::Readers() const {
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].reader.ReadsStore()) readers.push_back(i);
  }
  return readers;
}

bool store_simulation::HasNewest(std::size_t host) const {
  return hosts_[host].config >= config_revision_;
}

void store_simulation::StallConnections() {
  for (host& one : hosts_) {
    for (auto& [address, kept] : one.connections) {
      if (kept.open) kept.stalled = std::min(kept.stalled, now_);
    }
  }
}

void store_simulation::SetMode(std::size_t host, store_mode mode) {
  hosts_[host].mode = mode;
}

void store_simulation::SetMode(store_mode mode) {
  for (host& one : hosts_) one.mode = mode;
}

void store_simulation::Restart(std::size_t host) {
  ++restarts_;
  const store_mode mode = hosts_[host].mode;
  hosts_[host] = MakeHost(host);
  hosts_[host].mode = mode;
}

std::size_t store_simulation::Outdated() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(),
      [&](const host& one) { return one.config < config_revision_; }));
}

void store_simulation::Step() {
  now_ += kStep;
  ShareRevisions();
  const bool check = now_.time_since_epoch() % kLagCheckPeriod == duration{};
  for (host& one : hosts_) {
    if (Frozen(one)) continue;
    if (check) CheckLag(one);
    StepHost(one);
    StepProbe(one);
  }
}

void store_simulation::ShareRevisions() {
  std::vector<std::uint64_t> current;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const host& one = hosts_[i];
    current.push_back(one.reader.NewestRevision());
    const bool suspected =
        Frozen(one) && now_ >= one.frozen_since + kSuspectAfter;
    members_[i].state = suspected ? member_state::suspect : member_state::alive;
  }
  reported_.push_back(std::move(current));
  if (reported_.size() <= kReportDelaySteps) return;
  reported_.pop_front();
  for (std::size_t i = 0; i < members_.size(); ++i) {
    members_[i].revision = revision_id{reported_.front()[i]};
  }
}

void store_simulation::CheckLag(host& one) {
  std::uint64_t known = 0;
  for (const member_record& member : members_) {
    known = std::max(known, Raw(member.revision));
  }
  const bool stale = one.reader.Stale(now_);
  if (!one.lag.Overdue(one.reader.CompleteRevision(), known, now_, stale)) {
    return;
  }
  one.reader.OnOverdue(known, now_);
  if (one.read) Fail(one, store_failure::unreachable);
  one.reader.ReadNow(now_);
}

void store_simulation::StepHost(host& one) {
  if (!one.read) Begin(one);
  if (!one.read) return;
  if (Fails(one)) {
    Fail(one, store_failure::unreachable);
    return;
  }
  if (now_ < one.read->began + kAnswerTime) return;
  if (one.read->what.peer) {
    AnswerFromPeer(one);
  } else {
    AnswerFromStore(one);
  }
}

/** A probe opens a connection of its own. */
void store_simulation::StepProbe(host& one) {
  if (!one.reader.Probing()) one.probe.reset();
  if (!one.probe) {
    const auto due = one.reader.NextProbe(now_);
    if (!due) return;
    ++store_calls_;
    one.probe = open_read{{std::nullopt, *due}, now_, false, {}};
  }
  if (one.mode == store_mode::silent) one.probe->lost = true;
  const bool answers = now_ >= one.probe->began + kAnswerTime;
  if (answers && one.mode == store_mode::loses) one.probe->lost = true;
  const bool refused = answers && one.mode == store_mode::refuses;
  const bool timed_out =
      now_ >= one.probe->began + one.probe->what.read.timeout;
  if (refused || timed_out) {
    one.probe.reset();
    one.reader.OnProbeFailed(now_);
  } else if (answers && !one.probe->lost) {
    auto reply = StoreAnswer(*one.probe);
    const bool lacks_history = LacksHistory(one.probe->what.read);
    one.probe.reset();
    if (lacks_history) {
      one.reader.OnProbeCompacted(now_);
      if (one.reader.ListsStore()) return;
    } else {
      Apply(one, one.reader.OnProbeAnswered(std::move(*reply), now_));
    }
    if (one.read) {
      one.read.reset();
      one.reader.OnCanceled(now_);
    }
    one.reader.ReadNow(now_);
  }
}

void store_simulation::Begin(host& one) {
  auto due = one.reader.Next(members_, now_);
  if (!due) return;
  if (!due->peer) ++store_calls_;
  one.connections[due->peer.value_or("")].open = true;
  const time_point confirmed =
      due->peer ? Peer(*due->peer).confirmed : time_point{};
  one.read = open_read{std::move(*due), now_, false, confirmed};
}

/** True when the open read ends without an answer. */
bool store_simulation::Fails(host& one) {
  open_read& read = *one.read;
  if (!read.what.peer && one.mode == store_mode::silent) read.lost = true;
  const connection& kept = one.connections[read.what.peer.value_or("")];
  if (now_ >= read.began + read.what.read.timeout) return true;
  if (kept.stalled == kNever) return false;
  return now_ >= std::max(kept.stalled, read.began) + kUserTimeout;
}

void store_simulation::Fail(host& one, store_failure failure) {
  one.connections.erase(one.read->what.peer.value_or(""));
  one.read.reset();
  if (const auto update = one.reader.OnFailure(failure, now_)) {
    Apply(one, *update);
  }
}

std::optional<store_reply> store_simulation::StoreAnswer(
    const open_read& read) const {
  const store_read& what = read.what.read;
  const bool list = what.kind == store_read_kind::list;
  store_reply reply;
  reply.revision = revision_;
  const bool changed = revision_ > what.revision;
  if (list || config_revision_ > what.revision) {
    reply.items.push_back({kConfigKey, config_revision_, false, "v"});
  }
  if (drain_revision_ > (list ? 0 : what.revision)) {
    reply.items.push_back({kLeafKey, drain_revision_, false, "draining"});
  }
  const bool expired = now_ >= read.began + what.wait;
  if (!list && !changed && !expired) return std::nullopt;
  return reply;
}

bool store_simulation::LacksHistory(const store_read& read) const {
  return read.kind == store_read_kind::watch && read.revision < compacted_;
}

bool store_simulation::AnswerFromStore(host& one) {
  const open_read read = *one.read;
  if (read.lost || one.connections[""].stalled != kNever) return false;
  if (one.mode == store_mode::refuses) {
    one.read.reset();
    if (const auto update =
            one.reader.OnFailure(store_failure::refused, now_)) {
      Apply(one, *update);
    }
    return true;
  }
  if (LacksHistory(read.what.read)) {
    one.read.reset();
    if (const auto update =
            one.reader.OnFailure(store_failure::compacted, now_)) {
      Apply(one, *update);
    }
    return true;
  }
  if (read.what.read.kind == store_read_kind::list &&
      now_ < read.began + listing_time_) {
    return false;
  }
  auto reply = StoreAnswer(read);
  if (!reply) return false;
  if (one.mode == store_mode::loses) {
    one.read->lost = true;
    return false;
  }
  one.read.reset();
  Apply(one, one.reader.OnReply(std::move(*reply), {}, now_));
  return true;
}

const store_simulation::host& store_simulation::Peer(
    const std::string& address) const {
  return *std::find_if(hosts_.begin(), hosts_.end(), [&](const host& other) {
    return other.address == address;
  });
}

bool store_simulation::AnswerFromPeer(host& one) {
  const open_read read = *one.read;
  if (one.connections[*read.what.peer].stalled != kNever) return false;
  const host* peer = &Peer(*read.what.peer);
  if (Frozen(*peer)) return false;
  const store_read& what = read.what.read;
  const bool expired =
      now_ >= read.began + what.wait || peer->confirmed > read.confirmed;
  if (peer->cache.Revision() == 0) {
    if (expired) Fail(one, store_failure::refused);
    return expired;
  }
  const bool list = what.kind == store_read_kind::list;
  auto items =
      list ? peer->cache.List() : peer->cache.ChangesAfter(what.revision);
  if (!items) {
    Fail(one, store_failure::compacted);
    return true;
  }
  if (!list && items->items.empty() && !expired) return false;
  one.read.reset();
  Apply(one,
        one.reader.OnReply(std::move(*items),
                           {now_ - peer->confirmed, now_ - read.began}, now_));
  return true;
}

void store_simulation::Apply(host& one, const store_update& update) {
  one.cache.Apply(update.changes, update.revision);
  one.confirmed = std::max(one.confirmed, update.confirmed);
  for (const store_item& item : update.changes) {
    if (item.key == kLeafKey) {
      one.drain_known = now_;
      one.drain_after = update.changed_after;
      continue;
    }
    went_back_ = went_back_ || item.revision < one.config;
    one.config = item.revision;
  }
}

}  // namespace corianderrail::gateway
