/**
 * @file permit_order.cpp Positions by capacity, with delayed gains.
 *
 * Addresses hosts whose views of their zone differ. Losses take effect at once
 * and gains after kHoldTime. If every change reaches the hosts of a zone within
 * that time, each of them has seen one and the same list meanwhile, and their
 * highest positions differ.
 */

#include "gateway/leafs/permit_order.h"

#include <algorithm>

namespace corianderrail::gateway {

void permit_order::Update(std::span<const zone_host> hosts, time_point now) {
  first_update_ = std::min(first_update_, now);
  for (entry& known : hosts_) known.listed = false;
  for (const zone_host& host : hosts) {
    entry& known = FindOrAdd(host.host);
    known.listed = true;
    known.capacity = host.capacity;
    known.self = host.self;
    const bool announced = host.leaving && !host.self;
    // The first announcement counts; later updates repeat it.
    if (announced && !known.leaving) known.held_until = now + planned_stop_;
    if (!announced) known.held_until = kNever;
    known.leaving = announced;
  }
  for (entry& known : hosts_) {
    const bool lost = !known.listed && known.held_until == kNever;
    if (lost) known.held_until = now + kAbsenceTime;
  }
  std::erase_if(hosts_, [&](const entry& known) {
    return !known.listed && !known.Holds(now);
  });
  ExpirePositions(now);
  Refresh(now);
}

std::optional<std::uint32_t> permit_order::Position(time_point now) {
  if (first_update_ == kNever || now < first_update_ + kHoldTime) return {};
  Refresh(now);
  std::uint32_t highest = 0;
  for (const period& one : periods_) highest = std::max(highest, one.position);
  return highest;
}

permit_order::entry& permit_order::FindOrAdd(host_id host) {
  const auto found = std::lower_bound(
      hosts_.begin(), hosts_.end(), host,
      [](const entry& known, host_id id) { return known.host < id; });
  if (found != hosts_.end() && found->host == host) return *found;
  entry fresh;
  fresh.host = host;
  return *hosts_.insert(found, fresh);
}

/** Drops periods that ended long ago. */
void permit_order::Refresh(time_point now) {
  if (now >= next_expiry_) ExpirePositions(now);
  while (periods_.size() > 1 && periods_[1].since + kHoldTime <= now) {
    periods_.pop_front();
  }
}

/** Frees the positions whose time is over and finds this host's own one. */
void permit_order::ExpirePositions(time_point now) {
  next_expiry_ = kNever;
  for (const entry& known : hosts_) {
    if (!known.Holds(now)) continue;
    next_expiry_ = std::min(next_expiry_, known.held_until);
  }
  const std::uint32_t position = CountBefore(now);
  if (periods_.empty() || periods_.back().position != position) {
    periods_.push_back({now, position});
  }
}

/** Number of hosts before this one in the order. */
std::uint32_t permit_order::CountBefore(time_point now) const {
  const auto self = std::find_if(hosts_.begin(), hosts_.end(),
                                 [](const entry& known) { return known.self; });
  if (self == hosts_.end()) return UINT32_MAX;
  const auto is_before = [&](const entry& known) {
    if (known.capacity != self->capacity) {
      return known.capacity > self->capacity;
    }
    return known.host < self->host;
  };
  return static_cast<std::uint32_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const entry& known) {
        return known.Holds(now) && is_before(known);
      }));
}

}  // namespace corianderrail::gateway
