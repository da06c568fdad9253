/** @file edge_process.cpp Event loop and periodic checks of an edge host. */

#include "edge/edge_process.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "core/host_address.h"
#include "edge/edge_state.h"
#include "edge/process_time.h"
#include "edge/settings_change.h"
#include "gateway/http_status.h"
#include "platform/config_codec.h"
#include "platform/message_codec.h"
#include "platform/wire_names.h"
#include "wire/incarnation.h"

namespace corianderrail::edge {

namespace {

using boost::system::error_code;
using gateway::decision_input;

/** Size of the log buffer for a slow reader of standard output. */
constexpr std::size_t kMaxQueuedLogBytes = 256u << 10;

/** The HTTP server for clients may use one half of the file descriptors; the
 *  readiness, lookup, metrics and relay servers one sixteenth each. */
constexpr std::size_t kClientDescriptorDivisor = 2;
constexpr std::size_t kAuxiliaryDescriptorDivisor = 16;

/** Thousandths of a core that are needed to fill a link of 1 Mbit/s: 36 leaf
 *  requests of 1 KB take 2.5 ms of processor time and 0.3 Mbit of the link. */
constexpr double kMillicoresPerMbps = 8;

/** Interval of the checks whether the first read may begin. */
constexpr std::chrono::milliseconds kStartCheckPeriod{10};

/** Interval of the checks which step of a planned stop is due. */
constexpr std::chrono::milliseconds kStopPeriod{50};

/** Shortest interval between two applications of changed members. */
constexpr std::chrono::milliseconds kMembersPeriod{50};

std::uint64_t RandomSeed() {
  std::random_device source;
  return (std::uint64_t{source()} << 32) ^ source();
}

member_record MakeSelf(const edge_settings& from) {
  member_record self;
  self.ref = {HostIdOf(from.peer_address), MakeIncarnation()};
  self.peer_address = from.peer_address;
  self.caller_address = from.client_address;
  self.zone = from.zone;
  self.region = from.region;
  const double millicores = from.processor_share * from.cores * 1000;
  const double link = from.link_mbps * kMillicoresPerMbps;
  self.capacity = static_cast<std::uint32_t>(
      std::clamp(std::min(millicores, link), 1.0, 1e6));
  return self;
}

membership_settings MakeMembershipSettings(const edge_settings& from) {
  membership_settings settings;
  settings.seeds = from.seeds;
  return settings;
}

gateway::load_settings MakeLoadSettings(const edge_settings& from) {
  gateway::load_settings settings;
  settings.cores = from.processor_share * from.cores;
  return settings;
}

/** User and system time that this process has used since its start. */
duration ProcessorTime() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto micros = [](const timeval& time) {
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::microseconds(time.tv_usec);
  };
  return micros(use.ru_utime) + micros(use.ru_stime);
}

/** The client request that an event brings, if any. */
std::optional<request_id> RequestOf(const gateway::event& event) {
  const auto* arrived = std::get_if<gateway::request_event>(&event);
  if (arrived == nullptr) return std::nullopt;
  return request_id{static_cast<std::uint64_t>(arrived->exchange)};
}

gateway::gateway_settings MakeGatewaySettings(const edge_settings& from) {
  gateway::gateway_settings settings;
  settings.here = {from.zone, from.region, from.regions};
  settings.repeats = {from.repeat_ratio, from.repeat_slack, from.repeat_window};
  settings.leafs.drain_time = from.leaf_drain;
  settings.cold = {from.cold_excess, from.cold_slack, from.stop_grace};
  return settings;
}

}  // namespace

edge_process::state::state(edge_settings given, std::string given_path)
    : settings(std::move(given)),
      path(std::move(given_path)),
      lines(io, STDOUT_FILENO, kMaxQueuedLogBytes),
      log(lines, settings.host),
      guard([this](std::string_view handler, std::string_view error) {
        const decision_input inputs[] = {{"handler", std::string(handler)},
                                         {"error", std::string(error)}};
        log.WriteEvent("handler_failed", inputs);
      }),
      core(MakeGatewaySettings(settings)),
      leafs(io, [this](gateway::event one) { Reduce(std::move(one)); }),
      client_server(io, settings.client_address,
                    settings.max_descriptors / kClientDescriptorDivisor,
                    ClientHandler()),
      ready_server(io, settings.ready_address,
                   settings.max_descriptors / kAuxiliaryDescriptorDivisor,
                   ReadyHandler()),
      lookup_server(io, settings.lookup_address,
                    settings.max_descriptors / kAuxiliaryDescriptorDivisor,
                    LookupHandler()),
      metrics_server(io, settings.metrics_address,
                     settings.max_descriptors / kAuxiliaryDescriptorDivisor,
                     MetricsHandler()),
      peers(io, MakeSelf(settings), MakeMembershipSettings(settings),
            settings.shared_key, RandomSeed()),
      relay(io, settings.peer_address,
            settings.max_descriptors / kAuxiliaryDescriptorDivisor),
      store(io, StoreLinkSettings()),
      signals(io, SIGTERM, SIGINT, SIGHUP),
      wake_timer(io),
      sweep_timer(io),
      start_timer(io),
      settings_timer(io),
      members_timer(io),
      stop_timer(io),
      fleet({settings.zone, settings.region, settings.regions},
            settings.peer_address, kEntrySettings),
      load(MakeLoadSettings(settings)),
      receivers(settings.peer_address, settings.region, kEntrySettings) {}

/** Reduces an event and executes its effects. Events that the effects cause
 *  are queued and reduced in turn, so that the reducer is never reentered. */
void edge_process::state::Reduce(gateway::event event) {
  posted.push_back(std::move(event));
  if (reducing) return;
  reducing = true;
  while (!posted.empty()) {
    std::vector<gateway::event> batch;
    batch.swap(posted);
    gateway::effect_list effects;
    for (auto& one : batch) {
      const auto request = RequestOf(one);
      const bool done = guard.Call(
          "event", [&] { core.Reduce(std::move(one), Now(), effects); });
      // A leaf may have the request already, so nothing is promised.
      if (!done && request) {
        client_server.Reply(*request, {gateway::kStatusBadGateway, {}, {}});
      }
    }
    for (auto& effect : effects) {
      guard.Call("effect", [&] {
        std::visit([this](auto& one) { Execute(one); }, effect);
      });
    }
  }
  reducing = false;
  ScheduleWake();
}

void edge_process::state::Execute(gateway::answer_effect& effect) {
  http_reply reply;
  reply.status = effect.answer.status;
  reply.fields = platform::AnswerFields(effect.answer);
  reply.body = std::move(effect.answer.body);
  client_server.Reply(request_id{static_cast<std::uint64_t>(effect.exchange)},
                      reply);
}

void edge_process::state::ScheduleWake() {
  const time_point next = core.NextWake();
  if (next == wake_at) return;
  wake_at = next;
  wake_timer.expires_at(SteadyTime(next));
  wake_timer.async_wait([this](error_code error) {
    if (error) return;
    wake_at = kNever;
    Reduce(gateway::wake_event{});
  });
}

store_link_settings edge_process::state::StoreLinkSettings() {
  store_link_settings link;
  link.store_address = settings.store_address;
  link.self = HostIdOf(settings.peer_address);
  link.zone = settings.zone;
  link.seed = RandomSeed();
  link.reads.longest_read =
      gateway::LongestRead(settings.Propagation(), settings.recovery);
  link.max_age =
      gateway::MaxItemAge(settings.Propagation(), settings.leaf_drain);
  link.members = [this] { return std::span(members); };
  link.on_update = [this](const gateway::store_update& update) {
    // The next read follows whatever becomes of this update.
    guard.Call("store_update", [&] { OnStoreUpdate(update); });
  };
  link.on_source = [this](const source_change& change) { OnSource(change); };
  link.on_relist = [this](gateway::store_failure cause) {
    const decision_input inputs[] = {
        {"cause", std::string(StoreFailureName(cause))},
        {"revision", std::to_string(store.Reader().CompleteRevision())}};
    log.WriteEvent("items_listed_anew", inputs);
  };
  return link;
}

void edge_process::state::OnSource(const source_change& change) {
  std::vector<decision_input> inputs = {
      {"source", std::string(change.source)},
      {"read_us", std::to_string(change.read_time.count())}};
  if (change.failure) {
    inputs.push_back(
        {"failure", std::string(StoreFailureName(*change.failure))});
  }
  log.WriteEvent(change.failure ? "source_lost" : "source_in_use", inputs);
  if (!core.CanServe()) {
    Reduce(gateway::startup_event{change.failure.has_value()});
  }
}

void edge_process::state::OnStoreUpdate(const gateway::store_update& update) {
  relay.Publish(update.changes, update.revision, update.confirmed);
  // First, so that no request is placed before the evacuations are known.
  OnEvacuations(update);
  for (const gateway::store_item& item : update.changes) {
    if (item.key == platform::kConfigKey && !item.removed) OnConfig(item);
  }
  OnLeafs(update);
  peers.SetRevision(store.Reader().NewestRevision());
  CheckReady();
}

void edge_process::state::OnConfig(const gateway::store_item& item) {
  auto config = platform::DecodeConfig(item.value);
  if (!config) {
    const decision_input inputs[] = {
        {"revision", std::to_string(item.revision)},
        {"bytes", std::to_string(item.value.size())}};
    log.WriteEvent("config_unreadable", inputs);
    return;
  }
  Reduce(gateway::config_event{std::move(config)});
  client_server.SetLimits(core.Limits());
  SetMemoryBounds();
}

/** The key alone says which zone is evacuated, whatever the value is. */
void edge_process::state::OnEvacuations(const gateway::store_update& update) {
  gateway::evacuation_event event;
  for (const gateway::store_item& item : update.changes) {
    if (const auto zone = platform::EvacuatedZone(item.key)) {
      event.changes.push_back(
          {std::string(*zone), item.revision, !item.removed});
    }
  }
  if (!event.changes.empty()) Reduce(std::move(event));
}

void edge_process::state::OnLeafs(const gateway::store_update& update) {
  gateway::registry_event event;
  event.timing = {update.changed_after, update.after_outage};
  for (const gateway::store_item& item : update.changes) {
    if (!item.key.starts_with(platform::kLeafPrefix)) continue;
    gateway::registry_change change;
    change.key = item.key;
    change.revision = item.revision;
    if (!item.removed) {
      change.record = platform::DecodeLeaf(change.key, item.value);
      change.unusable = !change.record;
    }
    event.changes.push_back(std::move(change));
  }
  event.complete = store.Reader().Listed();
  const bool completes = event.complete && !ready;
  if (completes || !event.changes.empty()) Reduce(std::move(event));
}

void edge_process::state::CheckReady() {
  const bool serves = core.CanServe() && store.Reader().Listed();
  if (ready || stopping || !serves) return;
  ready = true;
  log.WriteEvent("ready", {});
  peers.SetReady(true);
}

/** Starts reading the store's items once that may begin. Called when members
 *  change and at short intervals; only the first start has an effect. */
void edge_process::state::StartStoreLink() {
  if (store_link_started) return;
  const gateway::source_choice choice(HostIdOf(settings.peer_address), {});
  if (!choice.MayStart(members, settings.zone, Now() - started)) {
    start_timer.expires_after(kStartCheckPeriod);
    start_timer.async_wait([this](error_code error) {
      if (!error) StartStoreLink();
    });
    return;
  }
  store_link_started = true;
  store.Start();
}

/** Applies changes of the members, at most once per interval: while a fleet
 *  starts, each message brings some, and each application costs time that grows
 *  with the fleet. */
void edge_process::state::OnMembersChanged() {
  const time_point due = members_applied + kMembersPeriod;
  if (members_pending) return;
  if (Now() >= due) {
    OnMembers();
    return;
  }
  members_pending = true;
  members_timer.expires_at(SteadyTime(due));
  members_timer.async_wait([this](error_code error) {
    members_pending = false;
    if (!error) OnMembers();
  });
}

void edge_process::state::OnMembers() {
  members_applied = Now();
  members = peers.Members();
  StartStoreLink();
  Reduce(fleet.Update(members, starting));
}

/** After the startup period this host knows the other members, and the
 *  fleet-wide limits follow from them alone. */
void edge_process::state::EndStartupPeriod() {
  if (!starting || Now() < started + gateway::kStartupPeriod) return;
  starting = false;
  OnMembers();
}

void edge_process::state::WaitForSignal() {
  signals.async_wait([this](error_code error, int number) {
    if (error) return;
    OnSignal(number);
    WaitForSignal();
  });
}

void edge_process::state::OnSignal(int number) {
  if (number == SIGHUP) {
    ReloadSettings();
    return;
  }
  if (stopping) return;
  stopping = true;
  ready = false;
  stop.asked = Now();
  log.WriteEvent("stopping", {});
  peers.SetLeaving();
  client_server.StartDraining();
  Reduce(gateway::leaving_event{gateway::FinishAt(StopSettings(), stop.asked)});
  ContinueStop();
}

void edge_process::state::Sweep() {
  // First, so that an unexpected error below does not end all later checks.
  sweep_timer.expires_after(kSweepPeriod);
  sweep_timer.async_wait([this](error_code error) {
    if (!error) Sweep();
  });
  EndStartupPeriod();
  client_server.Sweep();
  ready_server.Sweep();
  lookup_server.Sweep();
  metrics_server.Sweep();
  leafs.Sweep();
  relay.Sweep(Now());
  CheckClock();
  CheckRevisionLag();
  ReportFigures();
  peers.SetBusy(load.Update(ProcessorTime(), Now()));
}

/** Detects that this process did not run for a while. Members and connections
 *  may have been lost meanwhile, so peers are probed again and the store is
 *  read on new connections. */
void edge_process::state::CheckClock() {
  const auto missing = gap.Check(Now());
  if (!missing) return;
  const decision_input inputs[] = {
      {"gap_us", std::to_string(missing->count())}};
  log.WriteEvent("clock_gap", inputs);
  peers.OnClockGap();
  store.Reconnect();
  Reduce(gateway::wake_event{});
}

/** Switches to another source when peers report a change that
 *  has not reached this host within a delay. */
void edge_process::state::CheckRevisionLag() {
  const std::uint64_t own = store.Reader().CompleteRevision();
  const std::uint64_t known = peers.HighestRevision();
  const bool stale = store.Reader().Stale(Now());
  if (!revision_lag.Overdue(own, known, Now(), stale)) return;
  if (!store.SwitchSource(known)) return;
  const decision_input inputs[] = {{"revision", std::to_string(own)},
                                   {"peer_revision", std::to_string(known)}};
  log.WriteEvent("behind_peers", inputs);
}

gateway::stop_settings edge_process::state::StopSettings() const {
  gateway::stop_settings timing;
  timing.grace = settings.stop_grace;
  timing.lookup_ttl = std::chrono::seconds(settings.lookup_ttl_s);
  return timing;
}

/** Carries out the steps of a planned stop when they become due. */
void edge_process::state::ContinueStop() {
  stop.open = core.OpenExchanges();
  const gateway::stop_step due =
      gateway::StopStepAt(StopSettings(), stop, Now());
  if (due == gateway::stop_step::exit) {
    const decision_input inputs[] = {{"open", std::to_string(stop.open)}};
    log.WriteEvent("stopped", inputs);
    io.stop();
    return;
  }
  if (due > step)
    Reduce(gateway::stop_event{due == gateway::stop_step::finish});
  step = due;
  stop_timer.expires_after(kStopPeriod);
  stop_timer.async_wait([this](error_code error) {
    if (!error) ContinueStop();
  });
}

edge_process::edge_process(edge_settings settings, std::string path)
    : state_(std::make_unique<state>(std::move(settings), std::move(path))) {}

edge_process::~edge_process() = default;

void edge_process::Run() {
  state& self = *state_;
  const decision_input inputs[] = {{"zone", self.settings.zone},
                                   {"address", self.settings.client_address}};
  self.log.WriteEvent("started", inputs);
  self.StartMemoryBounds();
  self.WaitForSignal();
  self.ReceiveFigures();
  self.peers.Start([&self] { self.OnMembersChanged(); });
  self.OnMembers();
  self.WatchSettings();
  self.Sweep();
  self.guard.Run(self.io);
}

}  // namespace corianderrail::edge
