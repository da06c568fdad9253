/** @file membership_probe.cpp Probes, suspicion, joining and table exchange. */

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "core/host_address.h"
#include "core/membership.h"

namespace corianderrail {

namespace {

// Number of known members to which join requests are sent at the same time, and
// maximum number of join targets in addition. With several, one lost message
// does not delay the start until the next requests. The period doubles, because
// seeds that start at the same time are reachable soon.
constexpr std::size_t kJoinFanout = 3;
constexpr duration kFirstJoinPeriod = std::chrono::milliseconds(100);
constexpr duration kMaxJoinPeriod = std::chrono::seconds(1);

// The membership of a host that reaches none of the known hosts counts as
// confirmed after this time. Otherwise the last host of a fleet could not
// restart.
constexpr duration kAloneAfter = std::chrono::seconds(10);

// A host that knows no other host waits this long for the host list, which may
// be unreachable, before its membership counts as confirmed.
constexpr duration kHostListWait = std::chrono::seconds(2);

// Number of probes sent at once when this host's own record changes, by
// distance.
constexpr std::array<std::size_t, kMemberDistances> kUrgentFanouts = {5, 2, 2};

// Time for which gone members are kept, so that old records of them are
// recognized.
constexpr duration kGoneRetention = std::chrono::minutes(5);

// Maximum number of extra probes per period for members that are gone here but
// not at another host, and the same number again for suspects.
constexpr std::size_t kMaxDisputedProbes = 4;

// Mean time between two comparisons of tables. A digest takes some 250 bytes.
constexpr double kComparePeriodSeconds = 10;

// The same while comparisons find differences, as after a start.
constexpr double kQuickComparePeriodSeconds = 2;

// Shares of the contacts within the zone and within the region of this host, if
// there are members; the others go to any region. Traffic between regions is
// expensive, and the members of a region hear of changes elsewhere from the few
// of them that have such contacts.
constexpr double kZoneShare = 0.7;
constexpr double kRegionShare = 0.2;

}  // namespace

void membership::SendProbe(const member_entry& target, bool suspect_on_timeout,
                           time_point now, effect_list& effects) {
  const host_id host = target.record.ref.host;
  probe message;
  message.sequence = ++sequence_;
  message.updates = UpdatesFor(host);
  probes_[message.sequence] = {host, now + settings_.probe_timeout,
                               now + settings_.probe_period, false,
                               suspect_on_timeout};
  effects.push_back(send_peer_effect{
      host, target.record.peer_address, {}, std::move(message)});
}

member_distance membership::ContactDistance() {
  const double draw = random_.Unit();
  if (draw < kZoneShare) return member_distance::zone;
  return draw < kZoneShare + kRegionShare ? member_distance::region
                                          : member_distance::fleet;
}

/** Next member to probe: at a random distance, or at another one if no member
 * is at that distance. */
member_entry* membership::NextTarget() {
  const auto first = static_cast<std::size_t>(ContactDistance());
  for (std::size_t i = 0; i < kMemberDistances; ++i) {
    const std::size_t distance = (first + i) % kMemberDistances;
    member_entry* target = table_.NextToProbe(
        member_distance{static_cast<std::uint8_t>(distance)}, random_);
    if (target != nullptr) return target;
  }
  return nullptr;
}

void membership::ProbeNext(time_point now, effect_list& effects) {
  if (now < next_probe_) return;
  next_probe_ = std::max(next_probe_ + settings_.probe_period,
                         now + settings_.probe_period / 2);
  const member_entry* target = NextTarget();
  if (target != nullptr) SendProbe(*target, true, now, effects);
  ProbeDisputed(now, effects);
}

/** Probes members that are gone here but not elsewhere, so that they refute.
 * The probe contains this host's record of its target. */
void membership::ProbeDisputed(time_point now, effect_list& effects) {
  std::size_t sent = 0;
  while (sent < kMaxDisputedProbes && !disputed_.empty()) {
    const member_entry* entry = table_.Find(disputed_.front());
    disputed_.pop_front();
    if (entry == nullptr) continue;
    if (entry->record.state != member_state::gone) continue;
    SendProbe(*entry, false, now, effects);
    ++sent;
  }
  // Suspects are probed in each period, in addition to the regular order.
  std::size_t suspects = 0;
  for (const host_id host : table_.Suspects()) {
    if (++suspects > kMaxDisputedProbes) return;
    SendProbe(*table_.Find(host), false, now, effects);
  }
}

void membership::CheckProbes(time_point now, effect_list& effects) {
  std::vector<host_id> failed;
  for (auto& [sequence, open] : probes_) {
    if (now >= open.end) {
      if (open.suspect_on_timeout) failed.push_back(open.target);
    } else if (open.suspect_on_timeout && !open.indirect_sent &&
               now >= open.direct_end) {
      open.indirect_sent = true;
      SendProbeRequests(sequence, open, effects);
    }
  }
  std::erase_if(probes_,
                [&](const auto& entry) { return now >= entry.second.end; });
  std::erase_if(relayed_probes_,
                [&](const auto& entry) { return now >= entry.second.end; });
  for (const host_id host : failed) MarkSuspect(host, now);
}

void membership::SendProbeRequests(std::uint64_t sequence,
                                   const open_probe& probe,
                                   effect_list& effects) {
  const auto helpers =
      table_.Sample(settings_.indirect_probes, probe.target, random_);
  for (const member_entry* helper : helpers) {
    const host_id host = helper->record.ref.host;
    effects.push_back(send_peer_effect{
        host,
        helper->record.peer_address,
        {},
        probe_request{sequence, probe.target, UpdatesFor(host)}});
  }
}

void membership::MarkSuspect(host_id host, time_point now) {
  member_entry* entry = table_.Find(host);
  if (entry == nullptr || entry->deadline != kNever) return;
  // A leaving member keeps that state for the other hosts. Only its time-out at
  // this host starts.
  if (entry->record.state == member_state::leaving) {
    table_.SetDeadline(*entry, now + Suspicion());
    return;
  }
  if (entry->record.state != member_state::alive) return;
  member_record record = entry->record;
  record.state = member_state::suspect;
  Apply(record, record_source::own, now);
}

/** Ends suspicions that timed out. Shortly before the time-out, a last direct
 * probe is sent, so that a suspicion raised by another host alone does not
 * remove a member that this host can reach. */
void membership::CheckSuspects(time_point now, effect_list& effects) {
  const std::vector<host_id> suspects(table_.Suspects().begin(),
                                      table_.Suspects().end());
  for (const host_id host : suspects) {
    member_entry* entry = table_.Find(host);
    if (now >= entry->deadline) {
      member_record record = entry->record;
      record.state = member_state::gone;
      Apply(record, record_source::own, now);
      continue;
    }
    const time_point last = entry->deadline - 2 * settings_.probe_timeout;
    if (entry->last_probe_sent || now < last) continue;
    entry->last_probe_sent = true;
    SendProbe(*entry, false, now, effects);
  }
}

void membership::SendUrgentProbes(time_point now, effect_list& effects) {
  if (!self_changed_) return;
  self_changed_ = false;
  for (std::size_t i = 0; i < kMemberDistances; ++i) {
    const auto sample =
        table_.SampleAt(member_distance{static_cast<std::uint8_t>(i)},
                        kUrgentFanouts[i], self_.ref.host, random_);
    for (const member_entry* entry : sample) {
      SendProbe(*entry, false, now, effects);
    }
  }
}

/** Requests the member table of a few known hosts. OnTick() repeats this until
 * a message from a peer arrives. */
void membership::Join(time_point now, effect_list& effects) {
  join_period_ = join_period_ == duration{}
                     ? kFirstJoinPeriod
                     : std::min(join_period_ * 2, kMaxJoinPeriod);
  next_join_ = now + join_period_;
  std::map<host_id, std::string> targets;
  for (const member_entry* entry :
       table_.Sample(kJoinFanout, self_.ref.host, random_)) {
    targets[entry->record.ref.host] = entry->record.peer_address;
  }
  for (std::size_t i = 0; i < kJoinFanout && !join_targets_.empty(); ++i) {
    const auto step =
        static_cast<std::ptrdiff_t>(random_.Below(join_targets_.size()));
    const auto join_target = std::next(join_targets_.begin(), step);
    targets[join_target->first] = join_target->second;
  }
  // Many join targets may be leafs from the host list. A seed is always a host,
  // so one is added.
  if (!seeds_.empty()) {
    const std::string& seed = seeds_[random_.Below(seeds_.size())];
    targets[HostIdOf(seed)] = seed;
  }
  for (const auto& [host, address] : targets) {
    RequestTable(host, address, effects);
  }
}

/** Contacts one gone and one unknown host among the join targets, so that the
 *  halves of the fleet merge after a network partition. Then removes members
 * that have been gone for long. */
void membership::Rejoin(time_point now, effect_list& effects) {
  if (now < next_rejoin_) return;
  const auto period =
      static_cast<std::uint64_t>(settings_.rejoin_period.count());
  next_rejoin_ = now + duration(period / 2 + random_.Below(period));
  std::vector<std::pair<host_id, std::string>> gone;
  std::vector<std::pair<host_id, std::string>> unknown;
  for (const auto& [host, address] : join_targets_) {
    const member_entry* entry = table_.Find(host);
    if (entry == nullptr) unknown.emplace_back(host, address);
    if (entry != nullptr && entry->record.state == member_state::gone) {
      gone.emplace_back(host, address);
    }
  }
  for (const auto* list : {&gone, &unknown}) {
    if (list->empty()) continue;
    const auto& [host, address] = (*list)[random_.Below(list->size())];
    RequestTable(host, address, effects);
  }
  const std::vector<host_id> all(table_.Gone().begin(), table_.Gone().end());
  for (const host_id host : all) {
    if (now < table_.Find(host)->since + kGoneRetention) continue;
    updates_.Remove(host);
    table_.Remove(host);
    ++generation_;
  }
}

duration membership::SpreadPeriod(double seconds) {
  const double factor = 0.75 + 0.5 * random_.Unit();
  return duration(static_cast<duration::rep>(seconds * factor * 1e6));
}

duration membership::QuickComparePeriod() {
  return SpreadPeriod(kQuickComparePeriodSeconds);
}

/** Sends the digest of this host's table to a member, which replies with the
 *  records of the groups that differ. */
void membership::CompareTables(time_point now, effect_list& effects) {
  if (now < next_compare_) return;
  next_compare_ = now + SpreadPeriod(kComparePeriodSeconds);
  const member_entry* target = NextTarget();
  if (target == nullptr) return;
  SendDigest(target->record.ref.host, target->record.peer_address, effects);
}

/** Decides whether this host is alone: no other host is known, or none
 * answered. */
void membership::CheckAlone(time_point now) {
  if (confirmed_ || alone_) return;
  const bool known = !join_targets_.empty() || table_.Present() > 0;
  const bool asked = host_list_seen_ || now >= search_started_ + kHostListWait;
  if ((known || !asked) && now < search_started_ + kAloneAfter) return;
  alone_ = true;
  ++generation_;
}

void membership::OnTick(time_point now, effect_list& effects) {
  if (!started_) return;
  CheckAlone(now);
  SendUrgentProbes(now, effects);
  CheckProbes(now, effects);
  CheckSuspects(now, effects);
  ProbeNext(now, effects);
  if (!Confirmed() && now >= next_join_) Join(now, effects);
  Rejoin(now, effects);
  CompareTables(now, effects);
}

time_point membership::NextWake() const {
  if (!started_) return kNever;
  if (self_changed_) return time_point{};
  time_point wake = std::min({next_probe_, next_rejoin_, next_compare_});
  if (!Confirmed()) wake = std::min(wake, next_join_);
  for (const auto& [sequence, open] : probes_) {
    const bool awaits_ack = open.suspect_on_timeout && !open.indirect_sent;
    wake = std::min(wake, awaits_ack ? open.direct_end : open.end);
  }
  for (const host_id host : table_.Suspects()) {
    const member_entry& entry = *table_.Find(host);
    const time_point last = entry.deadline - 2 * settings_.probe_timeout;
    wake = std::min(wake, entry.last_probe_sent ? entry.deadline : last);
  }
  return wake;
}

}  // namespace corianderrail
