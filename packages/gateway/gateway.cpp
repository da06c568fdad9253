/** @file gateway.cpp Event handlers, configuration changes and leaf health. */

#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "gateway/gateway_state.h"
#include "gateway/leafs/answer_kind.h"

namespace corianderrail::gateway {

namespace {

/** Interval between checks of removed and ejected leafs, and the same while no
 *  request is open and no leaf has to be connected: most hosts of a large fleet
 *  take no clients. */
constexpr duration kCheckPeriod = std::chrono::milliseconds(100);
constexpr duration kCalmCheckPeriod = std::chrono::seconds(1);

/**
 * This host's share of the fleet-wide slack of the repeat budget. The hosts
 * that take clients share half of the slack. Each other host gets a quarter of
 * the slack divided by the number of all hosts. The rest stays unspent, because
 * a host that was replaced may have spent its share in the same window.
 */
double SlackShare(double slack, const fleet_event& fleet) {
  const std::uint32_t entries = std::max(fleet.entries, 1u);
  if (fleet.is_entry) return slack / (2.0 * entries);
  return slack / (4.0 * std::max(fleet.hosts, 1u));
}

}  // namespace

gateway::gateway(gateway_settings settings)
    : settings_(std::move(settings)),
      directory_(settings_.leafs),
      selector_(settings_.here, directory_, evacuations_) {
  slack_share_ = settings_.repeats.slack;
  selector_.Cold().Configure(settings_.cold);
}

gateway::~gateway() = default;

void gateway::Reduce(event input, time_point now, effect_list& effects) {
  if (started_ == time_point{}) {
    started_ = now;
    selector_.SetStarted(now);
  }
  effects_ = &effects;
  std::visit([&](auto& one) { On(one, now); }, input);
  effects_ = nullptr;
}

time_point gateway::NextWake() const {
  const time_point check = std::min(next_check_, selector_.Cold().NextFree());
  return timers_.empty() ? check : std::min(timers_.top().at, check);
}

config_version gateway::Version() const {
  return routes_ ? routes_->Config().version : config_version{};
}

bool gateway::CanServe() const {
  return routes_ != nullptr && registry_complete_ && directory_.Size() > 0;
}

const client_limits& gateway::Limits() const {
  static const client_limits defaults;
  return routes_ ? routes_->Config().limits : defaults;
}

void gateway::On(client_disconnected_event& input, time_point now) {
  const auto found =
      exchanges_.find(static_cast<std::uint64_t>(input.exchange));
  if (found == exchanges_.end()) return;
  exchange& pending = *found->second;
  ++counters_.abandoned;
  LogAbandoned(pending, now);
  for (std::size_t i = 0; i < pending.parts.size(); ++i) Dequeue(pending, i);
  std::vector<std::shared_ptr<service_state>> freed;
  for (const part& piece : pending.parts) freed.push_back(piece.service);
  // A non-idempotent request is not canceled at its leaf, because a
  // cancellation would leave unknown how far the request got.
  if (pending.Idempotent()) CancelCalls(pending, now);
  exchanges_.erase(found);
  for (const auto& service : freed) DispatchWaiting(*service, now);
}

void gateway::On(leaf_answer_event& input, time_point now) {
  const auto id = static_cast<std::uint64_t>(input.call);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  open_request call = found->second;
  calls_.erase(found);
  leaf_answer& answer = input.answer;
  const bool ran = !answer.not_run;
  if (leaf_state* leaf = directory_.Find(call.leaf)) {
    const bool had_limit = leaf->monitor.Window().HasLimit(now);
    RecordAnswer(*leaf, call, input.call, answer, now);
    selector_.Cold().OnEnded(*leaf, now);
    if (!had_limit) LogLimit(*leaf, now);
  }
  const auto owner = exchanges_.find(call.exchange);
  if (owner != exchanges_.end()) {
    std::erase(owner->second->calls, input.call);
    HandleAnswer(*owner->second, call.part, call, answer, now);
    Advance(call.exchange, now);
  }
  if (ran) call.service->queue.OnLeafFree(now);
  DispatchWaiting(*call.service, now);
}

/** Updates the statistics of a leaf with an answer. */
void gateway::RecordAnswer(leaf_state& leaf, const open_request& call,
                           leaf_call id, const leaf_answer& answer,
                           time_point now) {
  const answer_kind kind = KindOf(answer);
  if (kind != answer_kind::misdirected) {
    if (answer.leaving) {
      OnStatedLeaving(leaf, now);
    } else {
      leaf.departure.OnServing(call.sent);
    }
    if (answer.cold_left) leaf.cold.OnStated(*answer.cold_left, now);
  }
  switch (kind) {
    case answer_kind::success:
      if (call.stats != nullptr) {
        call.stats->Add(leaf.record.zone, now - call.sent, now);
      }
      [[fallthrough]];
    case answer_kind::client_fault:
      leaf.monitor.OnAnswer(id, now);
      break;
    case answer_kind::misdirected:
      leaf.monitor.DropCall(id);
      leaf.replaced = true;
      LogSuspicion(leaf, "address now belongs to another leaf");
      break;
    case answer_kind::not_run:
      ++counters_.leaf_sheds;
      leaf.monitor.OnShed(id, now);
      break;
    case answer_kind::failed:
      ++counters_.leaf_failures;
      leaf.monitor.OnErrorStatus(id, now);
      if (leaf.monitor.OnProbation()) LogSuspicion(leaf, "errors");
      break;
  }
}

/** What a leaf says of itself holds whatever the registry says, which may be
 *  out of reach. */
void gateway::OnStatedLeaving(leaf_state& leaf, time_point now) {
  if (!leaf.departure.OnStatedLeaving()) return;
  LimitSending(leaf);
  const time_point send_before = SendBefore(leaf);
  effects_->push_back(
      log_effect{decision::leaf_leaving,
                 leaf.record.instance,
                 {{"service", leaf.record.service},
                  {"born_ms", std::to_string(leaf.record.born_unix_ms)},
                  {"listed", leaf.listed == listing::listed ? "yes" : "no"},
                  {"left_us", std::to_string((send_before - now).count())}}});
}

/** Withdraws the requests to a leaving or evacuated leaf that wait for a
 *  connection once their time is over. */
void gateway::LimitSending(const leaf_state& leaf) {
  const time_point send_before = SendBefore(leaf);
  effects_->push_back(stop_sending_effect{leaf.handle, send_before});
}

void gateway::On(leaf_failure_event& input, time_point now) {
  const auto id = static_cast<std::uint64_t>(input.call);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const open_request call = found->second;
  calls_.erase(found);
  ++(input.failure == leaf_failure::withdrawn ? counters_.withdrawn
                                              : counters_.leaf_failures);
  CheckSoon(now);
  if (leaf_state* leaf = directory_.Find(call.leaf)) {
    const bool before = leaf->monitor.OnProbation();
    leaf->monitor.OnFailure(input.call, input.failure, now);
    selector_.Cold().OnEnded(*leaf, now);
    if (!before && leaf->monitor.OnProbation()) {
      LogSuspicion(*leaf, input.failure == leaf_failure::not_sent
                              ? "connection failed"
                              : "requests ended without an answer");
    }
  }
  const auto owner = exchanges_.find(call.exchange);
  if (owner != exchanges_.end()) {
    exchange& pending = *owner->second;
    std::erase(pending.calls, input.call);
    --pending.parts[call.part].open;
    const bool ran = input.failure != leaf_failure::not_sent &&
                     input.failure != leaf_failure::full &&
                     input.failure != leaf_failure::withdrawn;
    if (!ran) std::erase(pending.parts[call.part].asked, call.leaf);
    HandleFailure(pending, call.part, ran, now);
    Advance(call.exchange, now);
  }
  DispatchWaiting(*call.service, now);
}

void gateway::On(leaf_connected_event& input, time_point now) {
  leaf_state* leaf = directory_.Find(input.leaf);
  if (leaf == nullptr) return;
  leaf->connecting = false;
  if (!leaf->monitor.OnProbation()) return;
  if (!input.open) {
    leaf->monitor.OnProbeFailed(now);
    return;
  }
  leaf->monitor.OnProbeSucceeded();
  effects_->push_back(log_effect{
      decision::leaf_restored,
      leaf->record.instance,
      {{"service", leaf->record.service}, {"address", leaf->record.address}}});
  DispatchWaiting(*Service(leaf->record.service), now);
}

void gateway::On(config_event& input, time_point now) {
  if (input.config->version <= Version()) return;
  routes_ = std::make_unique<route_table>(input.config);
  const auto before = std::exchange(routed_services_, {});
  for (const route& one : input.config->routes) {
    for (const auto& target : one.targets) {
      routed_services_.insert(target.service);
    }
    routed_services_.insert(one.shards.begin(), one.shards.end());
  }
  for (const upstream_service& one : input.config->services) {
    Service(one.name)->max_connections = one.max_connections;
  }
  selector_.Cold().SetServices(input.config->services);
  Prune(now);
  for (const std::string& service : routed_services_) {
    if (!before.contains(service)) WarmUp(service);
  }
  next_check_ = std::min(next_check_, now);
  const std::size_t narrowed = NarrowOpenRequests(now);
  effects_->push_back(log_effect{
      decision::config_in_force,
      std::to_string(static_cast<std::uint64_t>(input.config->version)),
      {{"routes", std::to_string(input.config->routes.size())},
       {"services", std::to_string(input.config->services.size())},
       {"narrowed", std::to_string(narrowed)}}});
  BeginUnrouted(now);
}

void gateway::On(registry_event& input, time_point now) {
  std::set<std::string> touched;
  registry_complete_ = registry_complete_ || input.complete;
  for (const registry_change& change : input.changes) {
    for (const leaf_handle ended :
         directory_.Apply(change, input.timing, now)) {
      // The new process at the address is cold and counts from 0.
      if (settings_.cold.excess > 0) {
        effects_->push_back(stop_sending_effect{ended, now});
      }
      effects_->push_back(disconnect_leaf_effect{ended});
    }
    const leaf_state* leaf = directory_.FindKey(change.key);
    if (leaf != nullptr) LimitSending(*leaf);
    const bool serves = change.record && !change.record->draining;
    if (serves) touched.insert(change.record->service);
    effects_->push_back(log_effect{
        serves ? decision::leaf_listed : decision::leaf_delisted,
        change.key,
        {{"revision", std::to_string(change.revision)},
         {"service", change.record ? change.record->service : ""},
         {"zone", change.record ? change.record->zone : ""},
         {"reason", change.unusable ? "unreadable entry"
                    : change.record
                        ? change.record->draining ? "draining" : "ready"
                        : "removed"}}});
  }
  if (!touched.empty()) CheckSoon(now);
  for (const std::string& service : touched) {
    if (SendsTo(service)) WarmUp(service);
    DispatchWaiting(*Service(service), now);
  }
  BeginUnrouted(now);
}

void gateway::On(fleet_event& input, time_point now) {
  const bool joins = input.is_entry && !fleet_.is_entry;
  fleet_ = input;
  selector_.SetFleet(input);
  selector_.Cold().SetHosts(input.zone_hosts, now);
  if (!fleet_.is_entry) warmup_.Clear();
  if (joins) {
    CheckSoon(now);
    for (const std::string& service : routed_services_) WarmUp(service);
  }
  UpdateBudgets();
}

void gateway::On(settings_event& input, time_point) {
  settings_.repeats.ratio = input.repeat_ratio;
  settings_.repeats.slack = input.repeat_slack;
  directory_.SetDrainTime(input.leaf_drain);
  UpdateBudgets();
}

/** Passes the repeat ratio and this host's slack to all services. */
void gateway::UpdateBudgets() {
  slack_share_ = SlackShare(settings_.repeats.slack, fleet_);
  for (auto& [name, service] : services_) {
    service->budget.SetLimits(settings_.repeats.ratio, slack_share_);
  }
}

void gateway::On(wake_event&, time_point now) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const timer due = timers_.top();
    timers_.pop();
    lag_.OnTimer(due.at, now);
    OnTimer(due, now);
  }
  for (const std::string& service : selector_.Cold().TakeFreed(now)) {
    DispatchWaiting(*Service(service), now);
  }
  if (now < next_check_) return;
  const bool probes = CheckLeafs(now);
  const bool calm = !probes && exchanges_.empty() && warmup_.Size() == 0;
  next_check_ = now + (calm ? kCalmCheckPeriod : kCheckPeriod);
}

void gateway::CheckSoon(time_point now) {
  next_check_ = std::min(next_check_, now + kCheckPeriod);
}

void gateway::OnTimer(const timer& due, time_point now) {
  if (!due.is_call) {
    Advance(due.id, now);
    return;
  }
  if (!calls_.contains(due.id)) return;
  effects_->push_back(cancel_leaf_effect{leaf_call{due.id}});
  leaf_failure_event timeout{leaf_call{due.id}, leaf_failure::timed_out};
  On(timeout, now);
}

/** @return Whether a leaf is or will be probed. */
bool gateway::CheckLeafs(time_point now) {
  for (const leaf_handle ended : directory_.RemoveExpired(now)) {
    effects_->push_back(disconnect_leaf_effect{ended});
  }
  for (const leaf_handle handle : warmup_.Take(started_, now)) {
    leaf_state* leaf = directory_.Find(handle);
    if (leaf != nullptr && SendsTo(leaf->record.service)) Connect(*leaf);
  }
  bool probes = false;
  cold_leafs_ = 0;
  directory_.Visit([&](leaf_state& leaf) {
    CheckCold(leaf, now);
    if (!leaf.monitor.OnProbation()) return;
    probes = true;
    const bool due = !leaf.monitor.Ejected(now);
    if (due && leaf.listed != listing::removed && !leaf.replaced) {
      Connect(leaf);
    }
  });
  // Leafs at their connection limit may accept connections again, without an
  // answer that would start the waiting parts.
  DispatchAllWaiting(now);
  return probes;
}

/** Counts cold leafs and logs when the cold time of a leaf begins or ends. */
void gateway::CheckCold(leaf_state& leaf, time_point now) {
  cold_permits& cold = selector_.Cold();
  const auto held = cold.Held(leaf, now);
  if (held) ++cold_leafs_;
  if (held.has_value() == leaf.cold_logged) return;
  leaf.cold_logged = held.has_value();
  const duration left = held ? cold.ColdUntil(leaf) - now : duration{};
  effects_->push_back(
      log_effect{held ? decision::leaf_cold : decision::leaf_warm,
                 leaf.record.instance,
                 {{"service", leaf.record.service},
                  {"zone", leaf.record.zone},
                  {"left_us", std::to_string(left.count())},
                  {"bound", std::to_string(cold.Bound(leaf.record.service))},
                  {"permits", std::to_string(held.value_or(0))}}});
}

void gateway::OnEvacuationEnd(std::string_view zone, time_point now) {
  directory_.OnEvacuationEnd(zone, now);
  next_check_ = std::min(next_check_, now);
}

/** Logs the concurrency limit of a leaf, if there is one now. */
void gateway::LogLimit(const leaf_state& leaf, time_point now) {
  const concurrency_window& window = leaf.monitor.Window();
  if (!window.HasLimit(now)) return;
  effects_->push_back(
      log_effect{decision::leaf_limited,
                 leaf.record.instance,
                 {{"service", leaf.record.service},
                  {"delay_us", std::to_string(window.Delay().count())},
                  {"limit", std::to_string(window.Limit(now))},
                  {"open", std::to_string(leaf.monitor.Open())}}});
}

void gateway::LogSuspicion(const leaf_state& leaf, std::string_view reason) {
  effects_->push_back(
      log_effect{decision::leaf_suspected,
                 leaf.record.instance,
                 {{"service", leaf.record.service},
                  {"address", leaf.record.address},
                  {"reason", std::string(reason)},
                  {"open", std::to_string(leaf.monitor.Open())}}});
}

/** Drops state of routes and services that are no longer configured. A budget
 *  is kept for its window, since the service may be configured again. */
void gateway::Prune(time_point now) {
  std::set<std::string_view> routes;
  for (const route& one : routes_->Config().routes) routes.insert(one.name);
  std::erase_if(
      stats_, [&](const auto& entry) { return !routes.contains(entry.first); });
  std::erase_if(services_, [&](const auto& entry) {
    return !SendsTo(entry.first) && directory_.LeafsOf(entry.first).empty() &&
           entry.second.use_count() == 1 && entry.second->budget.Idle(now);
  });
}

const std::shared_ptr<gateway::service_state>& gateway::Service(
    const std::string& name) {
  auto& service = services_[name];
  if (!service) {
    repeat_settings repeats = settings_.repeats;
    repeats.slack = slack_share_;
    service = std::make_shared<service_state>(name, repeats);
  }
  return service;
}

/** Lets the warm-up connect to the leafs of a service, so that first requests
 *  do not wait for a connection. */
void gateway::WarmUp(const std::string& service) {
  if (!fleet_.is_entry) return;
  for (const leaf_state* leaf : directory_.LeafsOf(service)) {
    warmup_.Add(leaf->handle, settings_.here.SameRegion(leaf->record.zone));
  }
}

bool gateway::SendsTo(const std::string& service) const {
  return routed_services_.contains(service);
}

void gateway::Connect(leaf_state& leaf) {
  if (leaf.connecting || leaf.departure.Since()) return;
  if (evacuations_.Covers(leaf.record.zone)) return;
  leaf.connecting = true;
  effects_->push_back(connect_leaf_effect{leaf.handle, leaf.record.address});
}

}  // namespace corianderrail::gateway
