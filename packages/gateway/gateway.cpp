/** @file gateway.cpp Events of the gateway, configuration and leafs. */

#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "gateway/answer_kind.h"
#include "gateway/gateway_state.h"

namespace corianderrail::gateway {

namespace {

/** Pause between looks at leafs that left or were ejected. */
constexpr duration kCheckPeriod = std::chrono::milliseconds(100);

/**
 * This host's part of the slack of the repeat budget. Half of the slack is
 * shared by the hosts that take clients, a quarter by all others; the rest
 * stays unspent, because a host that was replaced may have spent its share in
 * the same window.
 */
double SlackShare(double slack, const fleet_event& fleet) {
  const std::uint32_t entries = std::max(fleet.entries, 1u);
  if (fleet.is_entry) return slack / (2.0 * entries);
  return slack / (4.0 * std::max(fleet.hosts, 1u));
}

}  // namespace

gateway::gateway(gateway_settings settings)
    : settings_(std::move(settings)), directory_(settings_.leafs) {
  slack_share_ = settings_.repeats.slack;
}

gateway::~gateway() = default;

void gateway::Reduce(event happening, time_point now, effect_list& effects) {
  if (started_ == time_point{}) started_ = now;
  effects_ = &effects;
  std::visit([&](auto& one) { On(one, now); }, happening);
  effects_ = nullptr;
}

time_point gateway::NextWake() const {
  return timers_.empty() ? next_check_
                         : std::min(timers_.top().at, next_check_);
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

void gateway::On(client_disconnected_event& happening, time_point now) {
  const auto found =
      exchanges_.find(static_cast<std::uint64_t>(happening.exchange));
  if (found == exchanges_.end()) return;
  exchange& one = *found->second;
  ++counters_.abandoned;
  LogAbandoned(one, now);
  for (std::size_t i = 0; i < one.parts.size(); ++i) StopWaiting(one, i);
  std::vector<std::shared_ptr<service_state>> freed;
  for (const part& piece : one.parts) freed.push_back(piece.service);
  // A request that must not run twice is left to its leaf: ending it there
  // would leave unknown how far it got.
  if (one.Idempotent()) CancelCalls(one);
  exchanges_.erase(found);
  for (const auto& service : freed) ServeWaiting(*service, now);
}

void gateway::On(leaf_answer_event& happening, time_point now) {
  const auto id = static_cast<std::uint64_t>(happening.call);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  open_request call = found->second;
  calls_.erase(found);
  leaf_answer& answer = happening.answer;
  const bool ran = !answer.not_run;
  if (leaf_state* leaf = directory_.Find(call.leaf)) {
    const bool bounded = leaf->evidence.Window().IsBounded(now);
    LearnFrom(*leaf, call, happening.call, answer, now);
    if (!bounded) LogLimit(*leaf, now);
  }
  const auto owner = exchanges_.find(call.exchange);
  if (owner != exchanges_.end()) {
    std::erase(owner->second->calls, happening.call);
    TakeAnswer(*owner->second, call.part, call, answer, now);
    Advance(call.exchange, now);
  }
  if (ran) call.service->queue.OnRoom(now);
  ServeWaiting(*call.service, now);
}

/** Takes an answer as evidence about its leaf. */
void gateway::LearnFrom(leaf_state& leaf, const open_request& call,
                        leaf_call id, const leaf_answer& answer,
                        time_point now) {
  switch (KindOf(answer)) {
    case answer_kind::success:
      if (call.stats != nullptr) {
        call.stats->Add(leaf.record.zone, now - call.sent, now);
      }
      [[fallthrough]];
    case answer_kind::client_fault:
      leaf.evidence.OnAnswer(id, now);
      break;
    case answer_kind::misdirected:
      leaf.evidence.Forget(id);
      leaf.replaced = true;
      LogSuspicion(leaf, "another leaf answers at its address");
      break;
    case answer_kind::not_run:
      ++counters_.leaf_sheds;
      leaf.evidence.OnShed(id, now);
      break;
    case answer_kind::failed:
      ++counters_.leaf_failures;
      leaf.evidence.OnErrorStatus(id, now);
      if (leaf.evidence.OnProbation()) LogSuspicion(leaf, "errors");
      break;
  }
}

void gateway::On(leaf_failure_event& happening, time_point now) {
  const auto id = static_cast<std::uint64_t>(happening.call);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const open_request call = found->second;
  calls_.erase(found);
  ++counters_.leaf_failures;
  if (leaf_state* leaf = directory_.Find(call.leaf)) {
    const bool before = leaf->evidence.OnProbation();
    leaf->evidence.OnFailure(happening.call, happening.failure, now);
    if (!before && leaf->evidence.OnProbation()) {
      LogSuspicion(*leaf, happening.failure == leaf_failure::not_sent
                              ? "no connection"
                              : "requests without an answer");
    }
  }
  const auto owner = exchanges_.find(call.exchange);
  if (owner != exchanges_.end()) {
    exchange& one = *owner->second;
    std::erase(one.calls, happening.call);
    --one.parts[call.part].open;
    const bool ran = happening.failure != leaf_failure::not_sent &&
                     happening.failure != leaf_failure::full;
    if (!ran) std::erase(one.parts[call.part].asked, call.leaf);
    TakeFailure(one, call.part, ran, now);
    Advance(call.exchange, now);
  }
  ServeWaiting(*call.service, now);
}

void gateway::On(leaf_connected_event& happening, time_point now) {
  leaf_state* leaf = directory_.Find(happening.leaf);
  if (leaf == nullptr) return;
  leaf->connecting = false;
  if (!leaf->evidence.OnProbation()) return;
  if (!happening.open) {
    leaf->evidence.OnProbeFailed(now);
    return;
  }
  leaf->evidence.OnProbeSucceeded();
  effects_->push_back(log_effect{
      decision::leaf_restored,
      leaf->record.instance,
      {{"service", leaf->record.service}, {"address", leaf->record.address}}});
  ServeWaiting(*Service(leaf->record.service), now);
}

void gateway::On(config_event& happening, time_point now) {
  if (happening.config->version <= Version()) return;
  routes_ = std::make_unique<route_table>(happening.config);
  named_services_.clear();
  for (const route& one : happening.config->routes) {
    for (const auto& target : one.targets) {
      named_services_.insert(target.service);
    }
    named_services_.insert(one.shards.begin(), one.shards.end());
  }
  for (const upstream_service& one : happening.config->services) {
    Service(one.name)->max_connections = one.max_connections;
  }
  Prune();
  ConnectAll();
  next_check_ = std::min(next_check_, now);
  effects_->push_back(log_effect{
      decision::config_in_force,
      std::to_string(static_cast<std::uint64_t>(happening.config->version)),
      {{"routes", std::to_string(happening.config->routes.size())},
       {"services", std::to_string(happening.config->services.size())}}});
  BeginUnrouted(now);
}

void gateway::On(registry_event& happening, time_point now) {
  std::set<std::string> touched;
  registry_complete_ = registry_complete_ || happening.complete;
  for (const registry_change& change : happening.changes) {
    for (const leaf_handle ended : directory_.Apply(change, now)) {
      effects_->push_back(forget_leaf_effect{ended});
    }
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
  for (const std::string& service : touched) {
    if (fleet_.is_entry && SendsTo(service)) {
      for (leaf_state* leaf : directory_.Of(service)) Connect(*leaf);
    }
    ServeWaiting(*Service(service), now);
  }
  BeginUnrouted(now);
}

void gateway::On(fleet_event& happening, time_point) {
  const bool joins = happening.is_entry && !fleet_.is_entry;
  fleet_ = happening;
  if (joins) ConnectAll();
  ShareSlack();
}

void gateway::On(settings_event& happening, time_point) {
  settings_.repeats.ratio = happening.repeat_ratio;
  settings_.repeats.slack = happening.repeat_slack;
  directory_.SetLastResort(happening.last_resort);
  ShareSlack();
}

/** Gives each service this host's part of the repeats. */
void gateway::ShareSlack() {
  slack_share_ = SlackShare(settings_.repeats.slack, fleet_);
  for (auto& [name, service] : services_) {
    service->budget.SetBounds(settings_.repeats.ratio, slack_share_);
  }
}

void gateway::On(wake_event&, time_point now) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const timer due = timers_.top();
    timers_.pop();
    OnTimer(due, now);
  }
  if (now < next_check_) return;
  next_check_ = now + kCheckPeriod;
  CheckLeafs(now);
}

void gateway::OnTimer(const timer& due, time_point now) {
  if (!due.is_call) {
    Advance(due.id, now);
    return;
  }
  if (!calls_.contains(due.id)) return;
  effects_->push_back(cancel_leaf_effect{leaf_call{due.id}});
  leaf_failure_event silent{leaf_call{due.id}, leaf_failure::timed_out};
  On(silent, now);
}

void gateway::CheckLeafs(time_point now) {
  for (const leaf_handle ended : directory_.Expire(now)) {
    effects_->push_back(forget_leaf_effect{ended});
  }
  directory_.Visit([&](leaf_state& leaf) {
    const bool due = leaf.evidence.OnProbation() && !leaf.evidence.Ejected(now);
    if (due && leaf.listed != listing::removed && !leaf.replaced) {
      Connect(leaf);
    }
  });
}

/** Logs that a leaf gets fewer requests, if it has a bound now. */
void gateway::LogLimit(const leaf_state& leaf, time_point now) {
  const concurrency_window& window = leaf.evidence.Window();
  if (!window.IsBounded(now)) return;
  effects_->push_back(
      log_effect{decision::leaf_limited,
                 leaf.record.instance,
                 {{"service", leaf.record.service},
                  {"delay_us", std::to_string(window.Delay().count())},
                  {"limit", std::to_string(window.Limit(now))},
                  {"open", std::to_string(leaf.evidence.Open())}}});
}

void gateway::LogSuspicion(const leaf_state& leaf, std::string_view reason) {
  effects_->push_back(
      log_effect{decision::leaf_suspected,
                 leaf.record.instance,
                 {{"service", leaf.record.service},
                  {"address", leaf.record.address},
                  {"reason", std::string(reason)},
                  {"open", std::to_string(leaf.evidence.Open())}}});
}

/** Forgets routes and services that no configuration names any more. */
void gateway::Prune() {
  std::set<std::string_view> routes;
  for (const route& one : routes_->Config().routes) routes.insert(one.name);
  std::erase_if(
      stats_, [&](const auto& entry) { return !routes.contains(entry.first); });
  std::erase_if(services_, [&](const auto& entry) {
    return !SendsTo(entry.first) && directory_.Of(entry.first).empty() &&
           entry.second.use_count() == 1;
  });
}

const std::shared_ptr<gateway::service_state>& gateway::Service(
    const std::string& name) {
  auto& held = services_[name];
  if (!held) {
    repeat_settings repeats = settings_.repeats;
    repeats.slack = slack_share_;
    held = std::make_shared<service_state>(name, repeats);
  }
  return held;
}

/** Opens a connection to each leaf before the first request needs it. */
void gateway::ConnectAll() {
  if (!fleet_.is_entry) return;
  directory_.Visit([&](leaf_state& leaf) {
    if (SendsTo(leaf.record.service)) Connect(leaf);
  });
}

bool gateway::SendsTo(const std::string& service) const {
  return named_services_.contains(service);
}

void gateway::Connect(leaf_state& leaf) {
  if (leaf.connecting || leaf.listed != listing::listed) return;
  leaf.connecting = true;
  effects_->push_back(connect_leaf_effect{leaf.handle, leaf.record.address});
}

}  // namespace corianderrail::gateway
