/**
 * @file source_choice.cpp Selection of the readers of the store.
 *
 * Calls to the store are limited, and the limit does not grow with the fleet.
 * A configuration of thousands of routes takes a weak host's link a tenth of a
 * second for each host that it feeds, so the strongest hosts of a zone read the
 * store, and each host feeds a bounded number of others.
 *
 * A source always ranks before the hosts that read from it, so hosts of one
 * view do not read from each other in a loop. Hosts whose views differ cannot
 * keep outdated items for long, because the age of the items grows and old
 * items count as a failure.
 */

#include "gateway/store/source_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/stable_hash.h"

namespace corianderrail::gateway {

namespace {

/** Key of the rendezvous hash. Other selections use other keys, so that they
 *  rank the hosts differently. */
constexpr std::uint64_t kReaderKey = 0x7265616465727331ULL;

/** Longest time that a starting host waits for a peer with the items. */
constexpr duration kMaxStartDelay = std::chrono::milliseconds(150);

/** A host of this many thousandths of a core waits that long; a stronger one
 *  waits less in proportion. */
constexpr double kWeakCapacity = 120;

std::uint64_t WeightOf(host_id host) {
  return RendezvousWeight(kReaderKey, Raw(host));
}

bool RanksBefore(const member_record* a, const member_record* b) {
  if (a->capacity != b->capacity) return a->capacity > b->capacity;
  return WeightOf(a->ref.host) > WeightOf(b->ref.host);
}

bool HasItems(const member_record& member) { return Raw(member.revision) > 0; }

}  // namespace

source_choice::source_choice(host_id self, source_settings settings)
    : self_(self), settings_(settings) {}

/** Hosts of the zone that may be sources, and this one, best first. */
source_choice::ranking source_choice::Rank(
    std::span<const member_record> members, const std::string& zone) const {
  ranking hosts;
  for (const member_record& member : members) {
    if (member.zone != zone || member.state != member_state::alive) continue;
    if (avoided_.contains(member.peer_address)) continue;
    hosts.push_back(&member);
  }
  std::sort(hosts.begin(), hosts.end(), RanksBefore);
  return hosts;
}

std::size_t source_choice::OwnRank(const ranking& hosts) const {
  const auto own = std::find_if(
      hosts.begin(), hosts.end(),
      [this](const member_record* one) { return one->ref.host == self_; });
  return static_cast<std::size_t>(own - hosts.begin());
}

/** Rank of the host that a host below the readers reads from. */
std::size_t source_choice::ParentOf(std::size_t rank) const {
  return (rank - settings_.readers) / settings_.fan_out;
}

std::size_t source_choice::HopsToReader(std::size_t rank) const {
  std::size_t hops = 0;
  for (; rank >= settings_.readers; rank = ParentOf(rank)) ++hops;
  return hops;
}

// When a whole fleet starts, no host knows the others of its zone yet, and each
// would list all items from the store over one link.
bool source_choice::MayStart(std::span<const member_record> members,
                             const std::string& zone, duration age) const {
  const ranking hosts = Rank(members, zone);
  const std::size_t own = OwnRank(hosts);
  if (own >= settings_.readers) return true;
  const bool informed =
      std::any_of(members.begin(), members.end(), [&](const auto& member) {
        return member.state == member_state::alive && HasItems(member);
      });
  if (informed || own == hosts.size()) return true;
  const double strength =
      std::max(1.0, static_cast<double>(hosts[own]->capacity) / kWeakCapacity);
  const double turn = 1 - std::ldexp(static_cast<double>(WeightOf(self_)), -64);
  const double delay =
      static_cast<double>(kMaxStartDelay.count()) * (1 + turn) / (2 * strength);
  return static_cast<double>(age.count()) >= delay;
}

/** Source of a reader that the store refuses: a host of any zone, one with
 *  items first. */
const member_record* source_choice::BestAnywhere(
    std::span<const member_record> members, bool has_items) const {
  const member_record* best = nullptr;
  const auto better = [&](const member_record& one) {
    if (best == nullptr) return true;
    const bool informed = has_items || HasItems(one);
    const bool best_informed = has_items || HasItems(*best);
    if (informed != best_informed) return informed;
    return WeightOf(one.ref.host) > WeightOf(best->ref.host);
  };
  for (const member_record& member : members) {
    if (member.ref.host == self_ || member.state != member_state::alive) {
      continue;
    }
    if (avoided_.contains(member.peer_address)) continue;
    if (better(member)) best = &member;
  }
  return best;
}

/** A host that has a change, of this zone if there is one. Each host that
 * misses the change prefers another one, so that they do not all read from the
 * first that has it. */
const member_record* source_choice::BestWith(
    std::span<const member_record> members, const std::string& zone,
    std::uint64_t revision) const {
  const auto rank = [&](const member_record& one) {
    return std::pair(one.zone == zone,
                     RendezvousWeight(Raw(self_), Raw(one.ref.host)));
  };
  const member_record* best = nullptr;
  for (const member_record& member : members) {
    const bool has_change = member.ref.host != self_ &&
                            member.state == member_state::alive &&
                            Raw(member.revision) >= revision &&
                            !avoided_.contains(member.peer_address);
    if (!has_change) continue;
    if (best == nullptr || rank(member) > rank(*best)) best = &member;
  }
  return best;
}

/** Source of a host without items: the nearest host above it that has them,
 *  otherwise any host of the zone that has them, otherwise its parent. */
const member_record* source_choice::BestAbove(const ranking& hosts,
                                              std::size_t own) const {
  for (std::size_t rank = own; rank >= settings_.readers;) {
    rank = ParentOf(rank);
    if (HasItems(*hosts[rank])) return hosts[rank];
  }
  const auto informed =
      std::find_if(hosts.begin(), hosts.end(), [&](const member_record* one) {
        return one->ref.host != self_ && HasItems(*one);
      });
  return informed == hosts.end() ? hosts[ParentOf(own)] : *informed;
}

// A host without items gains nothing from peers without items. After a power
// loss while the store is silent, hosts that wait for each other would miss the
// return of the store.
std::optional<std::string> source_choice::Choose(
    std::span<const member_record> members, const std::string& zone,
    bool has_items, time_point now, std::uint64_t missing) {
  std::erase_if(avoided_,
                [&](const auto& entry) { return entry.second <= now; });
  source_ = std::nullopt;
  hops_ = 0;
  const ranking hosts = Rank(members, zone);
  const std::size_t own = OwnRank(hosts);
  const bool is_reader = own < settings_.readers || own == hosts.size() ||
                         (store_needed_ && now >= store_avoided_);
  const bool store_fails = now < store_avoided_;
  if (missing > 0) {
    const member_record* source = BestWith(members, zone, missing);
    if (source != nullptr) source_ = source->peer_address;
  }
  if (!source_ && !is_reader) {
    const member_record* source =
        has_items ? hosts[ParentOf(own)] : BestAbove(hosts, own);
    hops_ = HopsToReader(own) - 1;
    source_ = source->peer_address;
  } else if (!source_ && store_fails) {
    const member_record* best = BestAnywhere(members, has_items);
    const bool useful = best != nullptr && (has_items || HasItems(*best));
    if (useful) source_ = best->peer_address;
  }
  is_reader_ = is_reader;
  replaces_store_ = is_reader && store_fails && source_;
  return source_;
}

void source_choice::OnFailure(time_point now) {
  const time_point until = now + settings_.avoid_failed;
  if (source_) {
    avoided_[*source_] = until;
  } else {
    store_avoided_ = until;
  }
}

void source_choice::OnAnswer(duration age, time_point now) {
  store_needed_ = store_needed_ && source_;
  confirmed_ = std::max(confirmed_, now - age);
  const duration allowed =
      settings_.max_age +
      settings_.max_age_per_hop * static_cast<duration::rep>(hops_);
  if (source_ && age > allowed) OnFailure(now);
}

duration source_choice::Age(time_point now) const { return now - confirmed_; }

}  // namespace corianderrail::gateway
