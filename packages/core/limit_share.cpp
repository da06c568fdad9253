/** @file limit_share.cpp Division of limits among seats, and leases. */

#include "core/limit_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/host_address.h"

namespace corianderrail {

namespace {

// A lender counts a lease as a twentieth longer than the borrower does. This
// covers clock drift far beyond that of quartz clocks.
constexpr int kMarginDivisor = 20;

// Leases are renewed this long before they end, which leaves time for several
// requests.
constexpr duration kRenewBefore = std::chrono::milliseconds(1500);

// Time after which a lender that refused is asked again. Also the retry delay
// for an unknown customer or kind of work.
constexpr duration kLenderRetryDelay = std::chrono::seconds(1);

// A request without an answer is dropped after this time.
constexpr duration kRequestTimeout = std::chrono::seconds(1);

// Maximum number of open requests for one customer and kind of work.
constexpr std::size_t kMaxOpenRequests = 4;

// Factor on the smoothed demand, so that callers can increase their rate.
constexpr double kHeadroom = 1.15;

// Fraction of its base share that a host with demand never lends.
constexpr double kReservedPart = 0.05;

// Leases below this fraction of a base share are not worth a message.
constexpr double kMinLeasePart = 0.02;

}  // namespace

limit_share::limit_share(member_record self, limit_share_settings settings,
                         time_point started)
    : self_(std::move(self)),
      settings_(settings),
      lender_lease_(settings.lease + settings.lease / kMarginDivisor),
      seats_(self_, settings.lease),
      sequence_(MixHash(Raw(self_.ref.incarnation))),
      last_tick_(started) {}

limit_share::kind_state* limit_share::Find(std::string_view customer,
                                           std::string_view kind) {
  const auto kinds = customers_.find(customer);
  if (kinds == customers_.end()) return nullptr;
  const auto found = kinds->second.find(kind);
  return found == kinds->second.end() ? nullptr : &found->second;
}

const limit_share::kind_state* limit_share::Find(std::string_view customer,
                                                 std::string_view kind) const {
  return const_cast<limit_share*>(this)->Find(customer, kind);
}

/** Whether this host's seat is among the `count` seats with the highest
 *  rendezvous weight for a limit. */
bool limit_share::IsActiveSeat(std::uint64_t key, std::size_t count) const {
  if (!seats_.HoldsSeat()) return false;
  if (count >= seats_.Size()) return true;
  std::uint64_t own = 0;
  std::vector<std::uint64_t> weights;
  for (const std::string& seat : seats_.Seats()) {
    const std::uint64_t weight = RendezvousWeight(key, HashAddress(seat));
    weights.push_back(weight);
    if (seat == self_.peer_address || seat == self_.caller_address) {
      own = weight;
    }
  }
  const auto better = std::count_if(weights.begin(), weights.end(),
                                    [&](auto weight) { return weight > own; });
  return static_cast<std::size_t>(better) < count;
}

void limit_share::SetKind(const std::string& customer,
                          const work_contract& work, time_point effective_at,
                          time_point now) {
  kind_map& kinds = customers_[customer];
  const auto found = kinds.find(work.kind);
  kind_state* state = nullptr;
  if (found == kinds.end()) {
    kind_state fresh{share_bucket(now), 0, {}, 0, 0};
    // Hosts start their search at different lenders.
    fresh.next_lender = MixHash(Raw(self_.ref.host) ^ HashBytes(work.kind));
    state = &kinds.emplace(work.kind, std::move(fresh)).first->second;
  } else {
    state = &found->second;
    state->bucket.Accrue(seats_.Usable(), now);
  }
  const std::size_t count =
      SeatsInUse(work.rate_per_s, work.burst, seats_.Size());
  const std::uint64_t key = HashBytes(work.kind, HashBytes(customer));
  base_share share;
  if (IsActiveSeat(key, count)) {
    share = ShareOfSeat(work.rate_per_s, work.burst, count);
  }
  // Lenders granted the borrowed leases from shares of the higher limit.
  if (work.rate_per_s < state->limit_per_s) state->bucket.DropBorrowed();
  state->limit_per_s = work.rate_per_s;
  state->bucket.SetBase(share, effective_at);
}

void limit_share::SetContracts(std::shared_ptr<const contract_set> set,
                               time_point now) {
  if (!set) return;
  AccrueAll(now);
  const bool seats_changed = seats_.SetSeats(set->seats);
  // The first set counts as a change of seats, because the previous process at
  // this address may have lent its share just before this process started. A
  // set that arrives before shares_effective_at_ must not end the wait early.
  if (seats_changed) shares_effective_at_ = now + lender_lease_;
  const time_point effective_at = std::max(now, shares_effective_at_);
  std::map<std::string, kind_map, std::less<>> previous;
  std::swap(previous, customers_);
  for (const auto& [name, contract] : set->customers) {
    const auto known = previous.find(name);
    for (const work_contract& work : contract.work) {
      if (known != previous.end()) {
        auto node = known->second.extract(work.kind);
        if (!node.empty()) customers_[name].insert(std::move(node));
      }
      SetKind(name, work, effective_at, now);
    }
  }
  RetainLent(previous, now);
  set_ = std::move(set);
  DropRequests(now);
  UpdateLenders(members_);
  RefreshSeats(now);
}

/**
 * Keeps leases granted under contracts that ended. If such a contract returns
 * before a lease ends, the borrower may still use that lease.
 */
void limit_share::RetainLent(
    std::map<std::string, kind_map, std::less<>>& previous, time_point now) {
  for (auto& [name, kinds] : previous) {
    for (auto& [kind, state] : kinds) {
      if (state.bucket.LentRate(now) <= 0) continue;
      state.bucket.DropBorrowed();
      state.bucket.SetBase({}, now);
      customers_[name].emplace(kind, std::move(state));
    }
  }
}

void limit_share::SetMembers(std::span<const member_record> members,
                             time_point now) {
  members_.assign(members.begin(), members.end());
  seats_.SetMembers(members);
  UpdateLenders(members_);
  RefreshSeats(now);
}

void limit_share::UpdateLenders(std::span<const member_record> members) {
  lenders_.clear();
  for (const member_record& member : members) {
    if (member.ref.host == self_.ref.host) continue;
    if (member.state != member_state::alive) continue;
    if (!seats_.IsSeat(member.ref.host)) continue;
    lenders_.push_back({member.ref.host, member.peer_address});
  }
}

void limit_share::OnContact(host_id host, time_point now) {
  seats_.OnContact(host, now);
}

void limit_share::RefreshSeats(time_point now) {
  if (seats_.NeedsAccrual(now)) AccrueAll(now);
  seats_.Refresh(now);
}

void limit_share::AccrueAll(time_point now) {
  for (auto& [customer, kinds] : customers_) {
    for (auto& [kind, state] : kinds) {
      state.bucket.Accrue(seats_.Usable(), now);
    }
  }
}

bool limit_share::TryAcquire(std::string_view customer, std::string_view kind,
                             time_point now, duration& retry_after,
                             effect_list& /*effects*/) {
  kind_state* state = Find(customer, kind);
  if (state == nullptr) {
    retry_after = kLenderRetryDelay;
    return false;
  }
  state->bucket.Accrue(seats_.Usable(), now);
  if (state->bucket.TryAcquire()) return true;
  retry_after = state->bucket.WaitForToken(seats_.Usable(), now);
  return false;
}

void limit_share::OnShareRequest(const peer_message& from,
                                 const share_request& body, time_point now,
                                 effect_list& effects) {
  share_grant grant;
  grant.sequence = body.sequence;
  grant.customer = body.customer;
  grant.kind = body.kind;
  grant.lease = settings_.lease;
  kind_state* state = Find(body.customer, body.kind);
  // Hosts on different revisions may divide different limits. Hosts without a
  // seat have no part of the burst, so a lease would let the sum exceed the
  // limit.
  const bool allowed = state != nullptr && set_->revision == from.revision &&
                       seats_.IsSeat(from.from.host) && body.rate_per_s > 0;
  if (allowed) {
    share_bucket& bucket = state->bucket;
    bucket.Accrue(seats_.Usable(), now);
    const double base = bucket.BaseRate(seats_.Usable(), now);
    const double demand = bucket.Demand();
    const double reserved =
        demand > 0 ? std::max(base * kReservedPart, demand * kHeadroom) : 0;
    const double available =
        base - reserved - bucket.LentToOthers(from.from.host, now);
    const double rate = std::min(body.rate_per_s, available);
    if (rate > base * kMinLeasePart) {
      grant.rate_per_s = rate;
      bucket.AddLent({from.from.host, rate, now, now + lender_lease_});
    }
  }
  effects.push_back(send_peer_effect{from.from.host, from.from_address,
                                     from.from.incarnation, grant});
}

void limit_share::OnShareGrant(const peer_message& from,
                               const share_grant& body, time_point now,
                               effect_list& /*effects*/) {
  const auto found = requests_.find(body.sequence);
  if (found == requests_.end()) return;
  const open_request request = found->second;
  if (request.lender != from.from.host) return;
  requests_.erase(found);
  CloseRequest(request);
  kind_state* state = Find(request.customer, request.kind);
  if (state == nullptr || set_->revision != request.revision) return;
  if (from.revision != request.revision) return;
  if (body.rate_per_s <= 0) {
    state->next_request[request.lender] = now + kLenderRetryDelay;
    return;
  }
  const time_point end = request.sent + std::min(body.lease, settings_.lease);
  if (end <= now) return;
  state->bucket.Accrue(seats_.Usable(), now);
  state->bucket.AddBorrowed({request.lender, body.rate_per_s, now, end});
}

void limit_share::CloseRequest(const open_request& request) {
  kind_state* state = Find(request.customer, request.kind);
  if (state != nullptr && state->open_requests > 0) --state->open_requests;
}

/** Drops requests that timed out or belong to an older revision. */
void limit_share::DropRequests(time_point now) {
  std::erase_if(requests_, [&](const auto& entry) {
    const open_request& request = entry.second;
    const bool stale = set_ && request.revision != set_->revision;
    if (!stale && now < request.sent + kRequestTimeout) return false;
    CloseRequest(request);
    return true;
  });
}

/** Requests leases until they cover the missing rate or the maximum number of
 *  requests is open. */
void limit_share::RequestLeases(const std::string& customer,
                                const std::string& kind, kind_state& state,
                                time_point now, effect_list& effects) {
  const share_bucket& bucket = state.bucket;
  const double base = bucket.Base(now).rate_per_s;
  const double wanted =
      std::min(bucket.Demand() * kHeadroom, state.limit_per_s);
  const double own = std::max(
      bucket.BaseRate(seats_.Usable(), now) - bucket.LentRate(now), 0.0);
  double shortfall = wanted - own - bucket.BorrowedUntil(now + kRenewBefore);
  if (base <= 0 || shortfall <= base * kMinLeasePart) return;
  for (std::size_t i = 0; i < lenders_.size(); ++i) {
    if (state.open_requests >= kMaxOpenRequests) return;
    if (shortfall <= base * kMinLeasePart) return;
    const lender& one = lenders_[state.next_lender++ % lenders_.size()];
    const auto next = state.next_request.find(one.host);
    if (next != state.next_request.end() && now < next->second) continue;
    const rate_lease* held = bucket.BorrowedFrom(one.host);
    if (held != nullptr && held->end > now + kRenewBefore) continue;
    const double rate = std::min(shortfall, base);
    shortfall -= rate;
    ++state.open_requests;
    state.next_request[one.host] = now + kLenderRetryDelay / 2;
    requests_[++sequence_] = {customer, kind, one.host, set_->revision, now};
    effects.push_back(
        send_peer_effect{one.host,
                         one.address,
                         {},
                         share_request{sequence_, customer, kind, rate}});
  }
}

void limit_share::OnTick(time_point now, effect_list& effects) {
  const duration elapsed = now - last_tick_;
  if (elapsed < settings_.request_period) return;
  last_tick_ = now;
  RefreshSeats(now);
  DropRequests(now);
  for (auto& [customer, kinds] : customers_) {
    for (auto& [kind, state] : kinds) {
      state.bucket.UpdateDemand(elapsed);
      if (state.bucket.Demand() <= 0 || lenders_.empty()) continue;
      state.bucket.Accrue(seats_.Usable(), now);
      RequestLeases(customer, kind, state, now, effects);
    }
  }
}

time_point limit_share::NextWake() const {
  return last_tick_ + settings_.request_period;
}

/** Drops tokens, leases and contacts, because this host cannot know which of
 * them are still valid after a pause. */
void limit_share::OnClockGap(time_point now) {
  AccrueAll(now);
  for (auto& [customer, kinds] : customers_) {
    for (auto& [kind, state] : kinds) {
      state.bucket.DropBorrowed();
      state.bucket.DropTokens();
      state.next_request.clear();
      state.open_requests = 0;
    }
  }
  requests_.clear();
  seats_.ClearContacts();
  last_tick_ = now;
}

bool limit_share::Usable(time_point now) const {
  if (!seats_.HoldsSeat()) return true;
  const time_span& usable = seats_.Usable();
  return now >= shares_effective_at_ && usable.begin <= now && now < usable.end;
}

double limit_share::RatePerSecond(std::string_view customer,
                                  std::string_view kind, time_point now) const {
  const kind_state* state = Find(customer, kind);
  return state == nullptr ? 0 : state->bucket.Rate(seats_.Usable(), now);
}

}  // namespace corianderrail
