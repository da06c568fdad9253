/** @file seat_table.cpp Majority of seats that permits the use of a share. */

#include "core/seat_table.h"

#include <algorithm>

#include "core/host_address.h"

namespace corianderrail {

namespace {

// With up to this many seats, a host has direct contact with a majority within
// a lease, as it exchanges two probes per second. With more seats, members that
// are alive in the member table count as indirect contact.
constexpr std::size_t kMaxDirectSeats = 12;

// Number of seats with direct contact required when indirect contact counts.
constexpr std::size_t kMinDirectContacts = 3;

}  // namespace

seat_table::seat_table(const member_record& self, duration lease)
    : peer_address_(self.peer_address),
      caller_address_(self.caller_address),
      self_(self.ref.host),
      lease_(lease) {}

bool seat_table::SetSeats(std::span<const std::string> seats) {
  if (std::equal(seats.begin(), seats.end(), seats_.begin(), seats_.end())) {
    return false;
  }
  seats_.assign(seats.begin(), seats.end());
  Rebuild();
  return true;
}

void seat_table::SetMembers(std::span<const member_record> members) {
  members_.assign(members.begin(), members.end());
  Rebuild();
}

/** A seat is named by the peer address or the caller address of its host. */
void seat_table::Rebuild() {
  std::unordered_map<std::string, const member_record*> by_caller;
  std::unordered_map<std::uint64_t, const member_record*> by_host;
  for (const member_record& member : members_) {
    by_host[Raw(member.ref.host)] = &member;
    if (member.state == member_state::gone) continue;
    if (!member.caller_address.empty()) {
      by_caller[member.caller_address] = &member;
    }
  }
  std::vector<seat> table;
  std::unordered_map<std::uint64_t, std::size_t> index;
  holds_seat_ = false;
  for (const std::string& address : seats_) {
    seat one;
    one.host = HostIdOf(address);
    const auto caller = by_caller.find(address);
    if (caller != by_caller.end()) one.host = caller->second->ref.host;
    if (address == peer_address_ || address == caller_address_) {
      one.host = self_;
      holds_seat_ = true;
    }
    const auto member = by_host.find(Raw(one.host));
    one.alive =
        member != by_host.end() && member->second->state == member_state::alive;
    const auto before = index_.find(Raw(one.host));
    if (before != index_.end()) {
      one.last_contact = table_[before->second].last_contact;
      one.contacted = table_[before->second].contacted;
    }
    index[Raw(one.host)] = table.size();
    table.push_back(one);
  }
  table_ = std::move(table);
  index_ = std::move(index);
}

void seat_table::OnContact(host_id host, time_point now) {
  const auto found = index_.find(Raw(host));
  if (found == index_.end()) return;
  table_[found->second].last_contact = now;
  table_[found->second].contacted = true;
}

bool seat_table::IsSeat(host_id host) const {
  return index_.contains(Raw(host));
}

/** Returns until when the contact with a majority, including this host, counts
 * as recent. */
time_point seat_table::MajorityUntil(time_point now) const {
  const std::size_t needed = table_.size() / 2;  // Without this host.
  if (needed == 0) return now + lease_;
  std::vector<time_point> contacts;
  std::size_t alive = 0;
  for (const seat& one : table_) {
    if (one.host == self_) continue;
    if (one.alive) ++alive;
    if (one.contacted) contacts.push_back(one.last_contact);
  }
  std::sort(contacts.rbegin(), contacts.rend());
  const bool indirect = table_.size() > kMaxDirectSeats;
  if (indirect && alive < needed) return time_point{};
  const std::size_t direct = indirect ? kMinDirectContacts : needed;
  if (contacts.size() < direct) return time_point{};
  return contacts[direct - 1] + lease_;
}

void seat_table::Refresh(time_point now) {
  const time_point until = holds_seat_ ? MajorityUntil(now) : time_point{};
  if (until <= now) {
    usable_.end = std::min(usable_.end, now);
    return;
  }
  if (usable_.begin == kNever || now >= usable_.end) {
    usable_.begin = now;
  }
  usable_.end = until;
}

void seat_table::ClearContacts() {
  for (seat& one : table_) one.contacted = false;
  usable_ = time_span{};
}

}  // namespace corianderrail
