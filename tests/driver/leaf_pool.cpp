/** @file leaf_pool.cpp Simulated leafs and the connections to them. */

#include "driver/leaf_pool.h"

#include <algorithm>
#include <utility>

#include "driver/virtual_fleet.h"

namespace corianderrail::driver {

namespace {

/** Time after the deadline until a request without a reply counts as timed out.
 *  A leaf drops queued requests at their deadline; this covers the way of its
 *  reply to the host. */
constexpr duration kReplyGrace = std::chrono::milliseconds(100);

/** Share of broken connections that break before the leaf reads the request. */
constexpr double kBrokenEarly = 0.5;

}  // namespace

void leaf_pool::Send(std::size_t host, const send_leaf_effect& effect) {
  leaf_slot& leaf = leafs_.at(effect.leaf);
  const std::uint64_t ticket = ++last_ticket_;
  calls_[ticket] = {host, fleet_.Incarnation(host), effect.call, effect.leaf};
  hosts_[host].tickets[effect.call] = ticket;
  link& to = hosts_[host].links[effect.leaf];
  ++to.used;
  if (on_send) on_send(effect);
  if (to.used > to.open) {
    return Fail(ticket, leaf_failure::not_sent, duration(1));
  }
  Fail(ticket, leaf_failure::timeout, effect.request.remaining + kReplyGrace);
  const host_place& place = fleet_.Place(host);
  if (fleet_.IsPartitioned(place, leaf.place)) return;
  const duration delay = fleet_.Delay(place, leaf.place);
  if (fleet_.Chance(fleet_.faults.leaf_break)) {
    Fail(ticket, leaf_failure::broken, 2 * delay);
    if (fleet_.Chance(kBrokenEarly)) return;
  }
  fleet_.After(delay,
               [this, ticket, id = effect.leaf, request = effect.request] {
                 leaf_slot& slot = leafs_.at(id);
                 if (!slot.up)
                   return Fail(ticket, leaf_failure::broken, slot.connect);
                 std::vector<ticket_reply> replies;
                 slot.self.Submit(ticket, request, fleet_.Now(), replies);
                 ScheduleReplies(id, replies);
               });
}

void leaf_pool::Cancel(std::size_t host, const cancel_leaf_effect& effect) {
  const auto found = hosts_[host].tickets.find(effect.call);
  if (found == hosts_[host].tickets.end()) return;
  const host_place& to = leafs_.at(effect.leaf).place;
  if (fleet_.IsPartitioned(fleet_.Place(host), to)) return;
  fleet_.After(fleet_.Delay(fleet_.Place(host), to),
               [this, ticket = found->second, id = effect.leaf] {
                 std::vector<ticket_reply> replies;
                 leafs_.at(id).self.Cancel(ticket, fleet_.Now(), replies);
                 ScheduleReplies(id, replies);
               });
}

void leaf_pool::ScheduleReplies(leaf_id id,
                                std::vector<ticket_reply>& replies) {
  leaf_slot& leaf = leafs_.at(id);
  for (ticket_reply& next : replies) {
    const auto found = calls_.find(next.ticket);
    if (found == calls_.end()) continue;
    const host_place& to = fleet_.Place(found->second.host);
    if (fleet_.IsPartitioned(leaf.place, to)) continue;
    fleet_.After(fleet_.Delay(leaf.place, to),
                 [this, ticket = next.ticket, reply = std::move(next.reply)] {
                   Finish(ticket, [&](leaf_call_id call) -> event {
                     return leaf_reply_event{call, reply};
                   });
                 });
  }
  const time_point next = leaf.self.NextTimer();
  if (next >= leaf.wake) return;
  leaf.wake = next;
  fleet_.After(next - fleet_.Now(), [this, id, next] {
    leaf_slot& slot = leafs_.at(id);
    if (slot.wake != next) return;
    slot.wake = kNever;
    std::vector<ticket_reply> done;
    slot.self.OnTimer(fleet_.Now(), done);
    ScheduleReplies(id, done);
  });
}

void leaf_pool::Fail(std::uint64_t ticket, leaf_failure failure,
                     duration delay) {
  fleet_.After(delay, [this, ticket, failure] {
    Finish(ticket, [failure](leaf_call_id call) -> event {
      return leaf_failure_event{call, failure};
    });
  });
}

void leaf_pool::Finish(std::uint64_t ticket,
                       const std::function<event(leaf_call_id)>& make) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) return;
  const open_call call = found->second;
  calls_.erase(found);
  if (fleet_.Incarnation(call.host) != call.incarnation ||
      !fleet_.Running(call.host))
    return;
  hosts_[call.host].tickets.erase(call.call);
  --hosts_[call.host].links[call.leaf].used;
  fleet_.Deliver(call.host, call.incarnation, make(call.call));
}

void leaf_pool::SetTarget(std::size_t host,
                          const set_connections_effect& effect) {
  if (!leafs_.contains(effect.leaf)) return;
  hosts_[host].links[effect.leaf].target = effect.target;
  fleet_.After(
      leafs_.at(effect.leaf).connect,
      [this, host, incarnation = fleet_.Incarnation(host), id = effect.leaf] {
        if (fleet_.Incarnation(host) == incarnation && fleet_.Running(host))
          Connect(host, id);
      });
}

void leaf_pool::Connect(std::size_t host, leaf_id id) {
  leaf_slot& leaf = leafs_.at(id);
  link& to = hosts_[host].links[id];
  const std::uint32_t limit = leaf.self.Settings().connections;
  leaf.open -= std::min(leaf.open, to.open);
  to.open = leaf.up ? std::min(to.target, limit - leaf.open) : 0;
  leaf.open += to.open;
  if (leaf.up) denied_ += to.target - to.open;
  fleet_.Deliver(host, fleet_.Incarnation(host),
                 leaf_connections_event{id, to.open});
}

void leaf_pool::Add(const leaf_info& info, const std::string& region,
                    duration connect, const fake_leaf_settings& settings) {
  leafs_.emplace(info.id, leaf_slot{fake_leaf(settings),
                                    {info.address, info.zone, region},
                                    connect});
}

void leaf_pool::SetUp(leaf_id id, bool up) {
  leaf_slot& leaf = leafs_.at(id);
  leaf.up = up;
  leaf.self.Restart();
  std::vector<std::uint64_t> lost;
  for (const auto& [ticket, call] : calls_) {
    if (call.leaf == id) lost.push_back(ticket);
  }
  std::sort(lost.begin(), lost.end());
  for (const std::uint64_t ticket : lost) {
    Fail(ticket, leaf_failure::broken, duration(1));
  }
  for (std::size_t host = 0; host < fleet_.HostCount(); ++host) {
    if (!hosts_[host].links.contains(id) || !fleet_.Running(host)) continue;
    fleet_.After(up ? leaf.connect : duration(1),
                 [this, host, id] { Connect(host, id); });
  }
}

void leaf_pool::DisconnectHost(std::size_t host) {
  for (const auto& [id, to] : hosts_[host].links) {
    leaf_slot& leaf = leafs_.at(id);
    leaf.open -= std::min(leaf.open, to.open);
  }
  hosts_.erase(host);
}

}  // namespace corianderrail::driver
