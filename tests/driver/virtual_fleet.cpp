/** @file virtual_fleet.cpp Simulates a fleet in virtual time. */

#include "driver/virtual_fleet.h"

#include <algorithm>
#include <utility>

namespace corianderrail::driver {

namespace {

/** Order of the event queue: by time, then by insertion. */
bool Later(const auto& a, const auto& b) {
  return a.when != b.when ? a.when > b.when : a.order > b.order;
}

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace

virtual_fleet::virtual_fleet(std::vector<host_place> places,
                             delay_settings delays, host_factory factory,
                             std::uint64_t seed)
    : hosts_(places.size()),
      delays_(delays),
      factory_(std::move(factory)),
      random_(seed) {
  for (std::size_t i = 0; i < places.size(); ++i) {
    by_address_[places[i].address] = i;
    hosts_[i].place = std::move(places[i]);
  }
}

void virtual_fleet::After(duration delay, task action) {
  queue_.push_back({now_ + delay, ++last_item_, std::move(action)});
  std::push_heap(queue_.begin(), queue_.end(), Later<item, item>);
}

void virtual_fleet::RunUntil(time_point end) {
  while (!queue_.empty() && queue_.front().when <= end) {
    std::pop_heap(queue_.begin(), queue_.end(), Later<item, item>);
    const item next = std::move(queue_.back());
    queue_.pop_back();
    now_ = next.when;
    next.action();
  }
  now_ = end;
}

void virtual_fleet::StartHost(std::size_t host) {
  host_slot& slot = hosts_[host];
  ++slot.incarnation;
  slot.paused_until = now_;
  slot.wake = kNever;
  slot.self = factory_(host, incarnation_id{slot.incarnation}, now_);
  effect_list effects;
  slot.self->Start(now_, effects);
  ApplyEffects(host, effects);
}

void virtual_fleet::KillHost(std::size_t host) {
  host_slot& slot = hosts_[host];
  slot.self.reset();
  leafs.DisconnectHost(host);
  for (const auto& call : slot.calls) {
    After(delays_.to_client, [handler = call.second] { handler(nullptr); });
  }
  slot.calls.clear();
  slot.inbox.clear();
}

void virtual_fleet::PauseHost(std::size_t host, duration length) {
  const std::uint64_t incarnation = hosts_[host].incarnation;
  hosts_[host].paused_until = now_ + length;
  After(length, [this, host, incarnation] {
    host_slot& slot = hosts_[host];
    if (slot.incarnation != incarnation || now_ < slot.paused_until) return;
    for (const event& incoming : std::exchange(slot.inbox, {})) {
      Deliver(host, incarnation, incoming);
    }
  });
}

void virtual_fleet::Deliver(std::size_t host, std::uint64_t incarnation,
                            const event& incoming) {
  host_slot& slot = hosts_[host];
  if (!slot.self || slot.incarnation != incarnation) return;
  if (now_ < slot.paused_until) {
    slot.inbox.push_back(incoming);
    return;
  }
  effect_list effects;
  slot.self->Reduce(incoming, now_, effects);
  ApplyEffects(host, effects);
}

void virtual_fleet::ScheduleWake(std::size_t host) {
  host_slot& slot = hosts_[host];
  const time_point next = slot.self->NextWake();
  if (next == kNever || next >= slot.wake) return;
  slot.wake = std::max(next, now_ + duration(1));
  After(slot.wake - now_, [this, host, incarnation = slot.incarnation,
                           wake = slot.wake] {
    if (hosts_[host].incarnation != incarnation || hosts_[host].wake != wake)
      return;
    hosts_[host].wake = kNever;
    Deliver(host, incarnation, tick_event{});
  });
}

void virtual_fleet::ApplyEffects(std::size_t host, effect_list& effects) {
  for (effect& next : effects) {
    const auto answer = [&](const auto& body) {
      Answer(host, body.call, std::move(next));
    };
    std::visit(
        overloaded{
            [&](const answer_query_effect& body) { answer(body); },
            [&](const refuse_effect& body) { answer(body); },
            [&](const answer_order_effect& body) { answer(body); },
            [&](const answer_order_ids_effect& body) { answer(body); },
            [&](const answer_addresses_effect& body) { answer(body); },
            [&](const send_peer_effect& body) { SendPeer(host, body); },
            [&](const send_leaf_effect& body) { leafs.Send(host, body); },
            [&](const cancel_leaf_effect& body) { leafs.Cancel(host, body); },
            [&](const set_connections_effect& body) {
              leafs.SetTarget(host, body);
            },
            [&](const read_config_effect& body) { platform.Read(host, body); },
            [&](const read_host_list_effect&) { platform.ReadHostList(host); },
            [&](const log_effect& body) { log.push_back(body.text); },
            [&](const auto&) {}},
        next);
  }
  ScheduleWake(host);
}

void virtual_fleet::OpenCall(std::size_t host, call_id call, event request,
                             const answer_handler& handler) {
  After(delays_.to_client,
        [this, host, call, request = std::move(request), handler] {
          if (!hosts_[host].self) return handler(nullptr);
          hosts_[host].calls[call] = handler;
          Deliver(host, hosts_[host].incarnation, request);
        });
}

void virtual_fleet::Answer(std::size_t host, call_id call, effect answer) {
  const auto found = hosts_[host].calls.find(call);
  if (found == hosts_[host].calls.end()) {
    ++repeated_answers;
    return;
  }
  After(delays_.to_client, [handler = std::move(found->second),
                            answer = std::move(answer)] { handler(&answer); });
  hosts_[host].calls.erase(found);
}

bool virtual_fleet::IsPartitioned(const host_place& from,
                                  const host_place& to) const {
  return from.zone != to.zone && (isolated_zones.contains(from.zone) ||
                                  isolated_zones.contains(to.zone));
}

duration virtual_fleet::Delay(const host_place& from,
                              const host_place& to) const {
  if (from.zone == to.zone) return delays_.within_zone;
  return from.region == to.region ? delays_.between_zones
                                  : delays_.between_regions;
}

void virtual_fleet::SendPeer(std::size_t from, const send_peer_effect& effect) {
  const auto found = by_address_.find(effect.address);
  if (found == by_address_.end()) return;
  const std::size_t to = found->second;
  const host_place& sender = hosts_[from].place;
  if (IsPartitioned(sender, hosts_[to].place)) return;
  if (isolated_hosts.contains(from) || isolated_hosts.contains(to)) return;
  if (Chance(faults.drop)) return;
  const peer_event message{hosts_[from].self->Envelope(effect)};
  const int copies = Chance(faults.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    duration delay = Delay(sender, hosts_[to].place);
    if (Chance(faults.delay)) {
      delay += duration(random_.Below(faults.delay_max.count()));
    }
    After(delay,
          [this, to, message] { Deliver(to, Incarnation(to), message); });
  }
}

}  // namespace corianderrail::driver
