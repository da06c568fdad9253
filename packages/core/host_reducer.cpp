/** @file host_reducer.cpp Routes events to the components of a host. */

#include "core/host_reducer.h"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace corianderrail {

namespace {

/// Number of effects of most leaf replies (a result, the next request, a
/// canceled hedge) and queries (one batch for each of a few owners). Capacity
/// for a fourth would exceed the 1,032 bytes up to which glibc allocates from
/// its per-thread cache, and would cost more than the reallocations that it
/// saves.
constexpr std::size_t kTypicalEffects = 3;

/** Calls the handler for the alternative that a variant holds. */
template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

/** Highest floor in any contract for each rank. */
per_rank<ppm> LargestFloors(const contract_set& set) {
  per_rank<ppm> floors{};
  for (const auto& [name, contract] : set.customers) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      floors[i] = std::max(floors[i], contract.floor[i]);
    }
  }
  return floors;
}

}  // namespace

struct host_reducer::state {
  explicit state(host_settings given)
      : settings(std::move(given)),
        self(settings.self.ref),
        members(settings.self, settings.member, settings.seed),
        contracts(settings.contracts, settings.topologies, settings.heads),
        reader(settings.self, settings.reader, settings.seed + 1),
        shares(settings.self, settings.share, settings.started),
        owners(settings.owner_block),
        admission_control(settings.seed + 2),
        gather(settings.self.ref, settings.seed + 3),
        orders(settings.self.ref, settings.order),
        scheduler(settings.self.ref, settings.owner, settings.seed + 4),
        phases(settings.phases, settings.started) {}

  void Dispatch(const event& incoming, time_point now, effect_list& effects);
  void OnCall(const caller_query_event& event, time_point now,
              effect_list& effects);
  void OnPeer(const peer_message& message, time_point now,
              effect_list& effects);
  void OnClockGap(time_point now, effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  bool RefuseUnlessServing(call_id call, const std::string& request_id,
                           effect_list& effects);
  void PropagateChanges(time_point now, effect_list& effects);
  void PropagateContracts(time_point now, effect_list& effects);
  void PropagateMembers(time_point now, effect_list& effects);
  void UpdatePhase(time_point now, effect_list& effects);
  void DeliverToSelf(time_point now, effect_list& effects, std::size_t first);
  revision_id Revision() const;
  peer_message Envelope(incarnation_id to, peer_body body) const;

  host_settings settings;
  host_ref self;
  membership members;
  contract_sync contracts;
  config_reader reader;
  limit_share shares;
  ownership owners;
  admission admission_control;
  query_gather gather;
  order_table orders;
  service_owner scheduler;
  lifecycle phases;
  std::uint64_t member_generation = 0;    ///< Last generation propagated.
  std::uint64_t contract_generation = 0;  ///< Last generation propagated.
  std::shared_ptr<const topology> topology_in_use;
};

revision_id host_reducer::state::Revision() const {
  const auto& set = contracts.InForce();
  return set ? set->revision : revision_id{};
}

peer_message host_reducer::state::Envelope(incarnation_id to,
                                           peer_body body) const {
  const auto& set = contracts.InForce();
  const auto& map = contracts.Topology();
  peer_message message;
  // Differs from `self` after membership increased the incarnation because a
  // peer knew a higher one.
  message.from = members.Self().ref;
  message.to_incarnation = to;
  message.revision = Revision();
  message.contract_digest = set ? set->digest : 0;
  message.topology_version = map ? map->version : 0;
  message.from_address = settings.self.peer_address;
  message.body = std::move(body);
  return message;
}

bool host_reducer::state::RefuseUnlessServing(call_id call,
                                              const std::string& request_id,
                                              effect_list& effects) {
  if (phases.AcceptsRequests() && !contracts.Behind()) return false;
  refusal answer;
  answer.request_id = request_id;
  answer.ran = run_state::not_run;
  answer.revision = Revision();
  answer.retry_after = std::chrono::milliseconds(200);
  if (contracts.Behind()) {
    answer.reason = refusal_reason::contract_stale;
    answer.detail = "a newer contract revision is being fetched; try again";
  } else if (phases.Phase() == host_phase::starting) {
    answer.reason = refusal_reason::not_ready;
    answer.detail = "the host is starting; ask for other addresses";
  } else {
    answer.reason = refusal_reason::stopping;
    answer.detail = "the host is stopping; ask for other addresses";
  }
  effects.push_back(refuse_effect{call, std::move(answer)});
  return true;
}

void host_reducer::state::OnCall(const caller_query_event& event,
                                 time_point now, effect_list& effects) {
  const query_request& request = event.request;
  if (RefuseUnlessServing(event.call, request.request_id, effects)) return;
  admission_refusal refused;
  const auto ticket = admission_control.Admit(
      request.customer, request.kind, work_type::query, request.deadline,
      request.seen_revision, std::nullopt, shares, now, refused, effects);
  if (!ticket) {
    effects.push_back(
        refuse_effect{event.call,
                      {request.request_id, run_state::not_run, refused.reason,
                       refused.detail, refused.retry_after, Revision()}});
    return;
  }
  effects.reserve(effects.size() + kTypicalEffects);
  gather.Start(event.call, request, *ticket, owners, admission_control, now,
               effects);
}

void host_reducer::state::OnPeer(const peer_message& message, time_point now,
                                 effect_list& effects) {
  // Ignore messages for a previous incarnation of this host.
  if (message.to_incarnation != incarnation_id{} &&
      message.to_incarnation != self.incarnation &&
      message.to_incarnation != members.Self().ref.incarnation) {
    return;
  }
  shares.OnContact(message.from.host, now);
  contracts.OnPeerRevision(message, now, effects);
  std::visit(overloaded{
                 [&](const subquery_batch& body) {
                   // Most parts are sent to a leaf at once. Growing the list
                   // step by step would move each effect several times.
                   effects.reserve(effects.size() + body.parts.size());
                   scheduler.OnSubqueryBatch(message, body, now, effects);
                 },
                 [&](const subquery_result& body) {
                   gather.OnSubqueryResult(message, body, admission_control,
                                           owners, now, effects);
                 },
                 [&](const subquery_cancel& body) {
                   scheduler.OnSubqueryCancel(message, body, now, effects);
                 },
                 [&](const order_attempt& body) {
                   scheduler.OnOrderAttempt(message, body, now, effects);
                 },
                 [&](const order_result& body) {
                   orders.OnResult(message, body, admission_control, owners,
                                   now, effects);
                 },
                 [&](const order_forward& body) {
                   admission_control.SetContractStale(contracts.Behind());
                   orders.OnForward(message, body, admission_control, shares,
                                    owners, Revision(), now, effects);
                 },
                 [&](const order_reply& body) {
                   orders.OnReply(message, body, now, effects);
                 },
                 [&](const probe& body) {
                   members.OnProbe(message, body, now, effects);
                 },
                 [&](const probe_request& body) {
                   members.OnProbeRequest(message, body, now, effects);
                 },
                 [&](const probe_ack& body) {
                   members.OnProbeAck(message, body, now, effects);
                 },
                 [&](const member_sync& body) {
                   members.OnMemberSync(message, body, now, effects);
                 },
                 [&](const member_digest& body) {
                   members.OnMemberDigest(message, body, now, effects);
                 },
                 [&](const contract_request& body) {
                   contracts.OnContractRequest(message, body, now, effects);
                 },
                 [&](const contract_delta& body) {
                   contracts.OnContractDelta(message, body, now, effects);
                 },
                 [&](const topology_update& body) {
                   contracts.OnTopologyUpdate(message, body, now, effects);
                 },
                 [&](const share_request& body) {
                   shares.OnShareRequest(message, body, now, effects);
                 },
                 [&](const share_grant& body) {
                   shares.OnShareGrant(message, body, now, effects);
                 },
                 [&](const leaf_observation& body) {
                   scheduler.OnLeafObservation(body, now, effects);
                 },
                 // Only edge hosts exchange figures.
                 [](const leaf_figures&) {},
             },
             message.body);
}

void host_reducer::state::OnTick(time_point now, effect_list& effects) {
  members.OnTick(now, effects);
  contracts.OnTick(now, effects);
  reader.OnTick(now, effects);
  shares.OnTick(now, effects);
  scheduler.OnTick(now, effects);
  gather.OnTick(owners, admission_control, now, effects);
  orders.OnTick(admission_control, now, effects);
}

void host_reducer::state::OnClockGap(time_point now, effect_list& effects) {
  effects.push_back(log_effect{
      "clock gap detected; dropping expired work and rejoining the fleet"});
  shares.OnClockGap(now);
  scheduler.OnClockGap(now, effects);
  gather.OnClockGap(admission_control, now, effects);
  orders.OnClockGap(admission_control, now, effects);
  contracts.OnClockGap(now, effects);
  reader.OnClockGap(now, effects);
  members.OnClockGap(now, effects);
}

void host_reducer::state::Dispatch(const event& incoming, time_point now,
                                   effect_list& effects) {
  std::visit(
      overloaded{
          [&](const caller_query_event& event) { OnCall(event, now, effects); },
          [&](const caller_order_id_event& event) {
            if (RefuseUnlessServing(event.call, event.request_id, effects)) {
              return;
            }
            orders.OnIssue(event, Revision(), now, effects);
          },
          [&](const caller_order_event& event) {
            // Copies of an order are never refused here, because only its home
            // knows whether an earlier copy ran.
            admission_control.SetContractStale(contracts.Behind());
            orders.OnOrder(event, admission_control, shares, owners, Revision(),
                           now, effects);
          },
          [&](const caller_order_status_event& event) {
            orders.OnStatus(event, Revision(), now, effects);
          },
          [&](const caller_address_event& event) {
            const auto entries = EntryMembers(
                members.Members(),
                [this](host_id host) { return shares.IsSeat(host); });
            effects.push_back(answer_addresses_effect{
                event.call,
                ChooseAddresses(entries, event.customer, event.zone,
                                settings.address),
                settings.address.time_to_live, Revision()});
          },
          [&](const caller_gone_event& event) {
            gather.OnCallerGone(event.call, admission_control, now, effects);
            orders.OnCallerGone(event.call);
          },
          [&](const peer_event& event) { OnPeer(event.message, now, effects); },
          [&](const leaf_reply_event& event) {
            effects.reserve(effects.size() + kTypicalEffects);
            scheduler.OnLeafReply(event, now, effects);
          },
          [&](const leaf_failure_event& event) {
            scheduler.OnLeafFailure(event, now, effects);
          },
          [&](const leaf_connections_event& event) {
            scheduler.OnLeafConnections(event, now, effects);
          },
          [&](const config_value_event& event) {
            reader.OnConfigValue(event, now, effects);
            contracts.OnConfigValue(event, now, effects);
          },
          [&](const host_list_event& event) {
            reader.OnHostList(event, now, effects);
            members.OnHostList(event, now, effects);
            scheduler.OnHostList(event, now, effects);
          },
          [&](const tick_event&) { OnTick(now, effects); },
          [&](const stop_event&) {
            phases.OnStop(now);
            if (phases.StopAtOnce()) orders.StopNow(now, effects);
          },
      },
      incoming);
}

void host_reducer::state::PropagateContracts(time_point now,
                                             effect_list& effects) {
  if (contracts.Generation() == contract_generation) return;
  contract_generation = contracts.Generation();
  const auto set = contracts.InForce();
  if (set) {
    shares.SetContracts(set, now);
    admission_control.SetContracts(set, now);
    scheduler.SetFloors(LargestFloors(*set));
    members.SetRevision(set->revision);
  }
  const auto map = contracts.Topology();
  if (!map || map == topology_in_use) return;
  topology_in_use = map;
  owners.SetServices(map->services);
  admission_control.SetTopology(map, now);
  gather.SetTopology(map, now);
  scheduler.SetTopology(map, now, effects);
  scheduler.SetOwned(owners.OwnedBy(self.host), now, effects);
  gather.OnOwnersChanged(owners, admission_control, now, effects);
}

void host_reducer::state::PropagateMembers(time_point now,
                                           effect_list& effects) {
  if (members.Generation() == member_generation) return;
  member_generation = members.Generation();
  const auto all = members.Members();
  shares.SetMembers(all, now);
  reader.SetMembers(all, now, effects);
  owners.SetMembers(all);
  gather.SetMembers(all);
  orders.SetMembers(all);
  scheduler.SetOwned(owners.OwnedBy(self.host), now, effects);
  gather.OnOwnersChanged(owners, admission_control, now, effects);
}

void host_reducer::state::UpdatePhase(time_point now, effect_list& effects) {
  lifecycle_inputs inputs;
  inputs.contracts = contracts.InForce() != nullptr && !contracts.Behind();
  inputs.topology = contracts.Topology() != nullptr;
  inputs.members = members.Confirmed();
  inputs.reads_done = reader.FirstReadDone();
  inputs.format_ok = !contracts.FormatTooOld();
  inputs.shares = shares.Usable(now);
  inputs.idle = gather.Idle() && orders.Idle() && scheduler.Idle();
  if (!phases.Update(inputs, now, effects)) return;
  members.SetReady(phases.Phase() == host_phase::ready && inputs.format_ok);
  if (phases.Phase() == host_phase::draining) members.SetLeaving();
}

void host_reducer::state::PropagateChanges(time_point now,
                                           effect_list& effects) {
  PropagateContracts(now, effects);
  UpdatePhase(now, effects);
  PropagateMembers(now, effects);
}

/**
 * Handles messages that this host sent to itself. Otherwise an entry host that
 * owns a service would need a network round trip to its own socket.
 */
void host_reducer::state::DeliverToSelf(time_point now, effect_list& effects,
                                        std::size_t first) {
  // Handling a message appends effects, so the list grows during the loop.
  // Other effects move up to replace the delivered messages.
  std::size_t kept = first;
  for (std::size_t i = first; i < effects.size(); ++i) {
    auto* send = std::get_if<send_peer_effect>(&effects[i]);
    if (send == nullptr || send->to != self.host) {
      if (kept != i) effects[kept] = std::move(effects[i]);
      ++kept;
      continue;
    }
    // The body is cleared, because an owner appends results to the last effect
    // if that is a message with results of the same query.
    const peer_message message =
        Envelope(send->to_incarnation, std::exchange(send->body, {}));
    OnPeer(message, now, effects);
  }
  effects.erase(effects.begin() + static_cast<std::ptrdiff_t>(kept),
                effects.end());
}

host_reducer::host_reducer(host_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {}

host_reducer::~host_reducer() = default;

void host_reducer::Start(time_point now, effect_list& effects) {
  state_->members.Start(now, effects);
  state_->reader.OnTick(now, effects);
  state_->PropagateChanges(now, effects);
}

void host_reducer::Reduce(const event& event, time_point now,
                          effect_list& effects) {
  const std::size_t first = effects.size();
  if (state_->phases.ObserveClock(now)) state_->OnClockGap(now, effects);
  state_->Dispatch(event, now, effects);
  state_->PropagateChanges(now, effects);
  state_->DeliverToSelf(now, effects, first);
}

time_point host_reducer::NextWake() const {
  const std::array wakes = {
      state_->members.NextWake(),   state_->contracts.NextWake(),
      state_->reader.NextWake(),    state_->shares.NextWake(),
      state_->scheduler.NextWake(), state_->gather.NextWake(),
      state_->orders.NextWake(),    state_->phases.NextWake()};
  return *std::min_element(wakes.begin(), wakes.end());
}

peer_message host_reducer::Envelope(const send_peer_effect& effect) const {
  return state_->Envelope(effect.to_incarnation, effect.body);
}

host_phase host_reducer::Phase() const { return state_->phases.Phase(); }

host_view host_reducer::View() const {
  host_view view;
  const auto set = state_->contracts.InForce();
  const auto map = state_->contracts.Topology();
  view.self = state_->members.Self();
  view.phase = state_->phases.Phase();
  view.revision = state_->Revision();
  view.digest = set ? set->digest : 0;
  view.topology = map ? map->version : 0;
  view.reader = state_->reader.IsReader();
  view.members = state_->members.Members();
  view.owned = state_->owners.OwnedBy(state_->self.host);
  view.admission = state_->admission_control.Counters();
  view.query = state_->gather.Counters();
  view.order = state_->orders.Counters();
  view.owner = state_->scheduler.Counters();
  return view;
}

}  // namespace corianderrail
