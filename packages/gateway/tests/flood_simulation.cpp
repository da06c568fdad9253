/** @file flood_simulation.cpp Events of simulated clients and leafs. */

#include "flood_simulation.h"

#include <algorithm>
#include <cmath>

#include "core/host_address.h"
#include "flood_state.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

std::string ZoneName(std::uint32_t zone) { return "z" + std::to_string(zone); }

std::string RegionName(const flood_setup& setup, std::uint32_t zone) {
  return "z" + std::to_string(zone / setup.zones_per_region);
}

/** How long a host counts as started early. */
constexpr duration kEarly = std::chrono::seconds(2);

std::string PeerAddress(std::size_t host) {
  return "10.0.0.1:" + std::to_string(1000 + host);
}

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

duration flood_result::Percentile(double share) {
  if (times.empty()) return {};
  std::sort(times.begin(), times.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(times.size()));
  return times[std::min(index, times.size() - 1)];
}

flood_simulation::flood_simulation(flood_setup setup, std::uint64_t seed)
    : setup_(std::move(setup)), random_(seed) {
  began_ = now_;
  BuildHosts();
  BuildLeafs();
  for (auto& [instance, one] : leafs_) {
    one->pace = leaf_pace(setup_.variation, one->record.service, random_);
  }
  if (setup_.cold_start) {
    Schedule(now_ + setup_.join_time, [this] {
      for (std::size_t i = 0; i < hosts_.size(); ++i) Reduce(i, Fleet(i, true));
    });
    return;
  }
  // A started gateway limits its connections for 5 s.
  RunUntil(now_ + seconds(6));
}

flood_simulation::~flood_simulation() = default;

std::shared_ptr<routing_config> flood_simulation::Config() const {
  auto config = std::make_shared<routing_config>();
  config->version = config_version{1};
  for (const flood_kind& kind : setup_.kinds) {
    route one;
    one.name = kind.name;
    one.host = "h";
    one.prefix = "/" + kind.name + "/";
    one.kind = repeatability::idempotent;
    one.timeout = kind.time_limit;
    one.objective = kind.objective;
    one.rank = kind.rank;
    one.attempts = 3;
    if (kind.min_shard_ratio > 0) {
      one.shards = kind.services;
      one.top_records = 10;
      one.min_shard_ratio = kind.min_shard_ratio;
    } else {
      one.targets = {{kind.services.front(), 1}};
    }
    for (const std::string& service : kind.services) {
      config->services.push_back({service, setup_.max_connections});
    }
    config->routes.push_back(std::move(one));
  }
  return config;
}

void flood_simulation::BuildHosts() {
  for (std::uint32_t i = 0; i < setup_.hosts; ++i) {
    auto fresh = std::make_unique<host>();
    fresh->zone = ZoneName(i % setup_.zones);
    fresh->region = RegionName(setup_, i % setup_.zones);
    hosts_.push_back(std::move(fresh));
    StartHost(i);
  }
  for (std::uint32_t i = 0; i < setup_.hosts; ++i) {
    Reduce(i, Fleet(i, !setup_.cold_start));
    Reduce(i, config_event{Config()});
  }
  ScheduleReports();
  ScheduleRestarts(0);
}

/** Starts the process of a host. */
void flood_simulation::StartHost(std::size_t index) {
  gateway_settings settings;
  for (std::uint32_t zone = 0; zone < setup_.zones; ++zone) {
    settings.here.regions[ZoneName(zone)] = RegionName(setup_, zone);
  }
  settings.repeats = {0.2, 52, seconds(10)};
  settings.leafs.performance = setup_.performance;
  host& fresh = *hosts_[index];
  fresh.started = now_;
  settings.here.zone = fresh.zone;
  settings.here.region = fresh.region;
  fresh.core = std::make_unique<gateway>(settings);
  fresh.fleet = std::make_unique<fleet_view>(settings.here, PeerAddress(index),
                                             entry_settings{});
}

void flood_simulation::RestartHost(std::size_t index) {
  host& one = *hosts_[index];
  one.leafs.clear();
  for (auto& [instance, to] : leafs_) {
    leaf::pool& pool = to->pools[index];
    to->connections -= pool.open;
    pool = {};
    std::erase_if(to->waiting,
                  [&](const leaf::job& job) { return job.host == index; });
  }
  std::erase_if(open_,
                [&](const auto& each) { return each.second.host == index; });
  one.wake_at = kNever;
  StartHost(index);
  Reduce(index, Fleet(index, true));
  Reduce(index, config_event{Config()});
  Reduce(index, registry_event{registry_, true, {}});
}

const gateway_counters& flood_simulation::Counters(std::size_t host) const {
  return hosts_[host]->core->Counters();
}

void flood_simulation::ScheduleReports() {
  if (setup_.report_period == duration{}) return;
  Schedule(now_ + setup_.report_period, [this] {
    for (std::size_t i = 0; i < hosts_.size(); ++i) Reduce(i, report_event{});
    ScheduleReports();
  });
}

void flood_simulation::ScheduleRestarts(std::size_t next) {
  if (setup_.restart_period == duration{}) return;
  Schedule(now_ + setup_.restart_period, [this, next] {
    RestartHost(next % hosts_.size());
    ScheduleRestarts(next + 1);
  });
}

/** Delivers figures to the other hosts of the zone. */
void flood_simulation::Handle(std::size_t index, send_figures_effect& effect) {
  if (setup_.distort) setup_.distort(index, effect.figures);
  const host_id from = HostIdOf(PeerAddress(index));
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i == index || hosts_[i]->zone != hosts_[index]->zone) continue;
    Schedule(now_ + setup_.near_one_way,
             [this, i, from, figures = effect.figures] {
               Reduce(i, leaf_figures_event{from, figures});
             });
  }
}

/** Number of hosts that take clients: a few of each zone after a cold start,
 *  otherwise all. Hosts are assigned to zones round robin. */
std::size_t flood_simulation::EntryHosts() const {
  if (!setup_.cold_start) return hosts_.size();
  return std::min(hosts_.size(), setup_.zones * entry_settings{}.spare_hosts);
}

std::vector<member_record> flood_simulation::Members() const {
  std::vector<member_record> members;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    member_record member;
    member.peer_address = PeerAddress(i);
    member.caller_address = member.peer_address;
    member.ref.host = HostIdOf(member.peer_address);
    member.zone = hosts_[i]->zone;
    member.region = hosts_[i]->region;
    member.capacity = i < EntryHosts() ? 500 : 100;
    member.ready = true;
    members.push_back(member);
  }
  return members;
}

fleet_event flood_simulation::Fleet(std::size_t host, bool knows_others) {
  if (!setup_.cold_start) {
    const std::uint32_t near =
        std::max(setup_.hosts * setup_.zones_per_region / setup_.zones, 1u);
    const std::uint32_t far = setup_.hosts - near;
    return {setup_.hosts, setup_.hosts, true, {near, far}, {near, far}};
  }
  const std::vector<member_record> all = Members();
  const std::span<const member_record> known(all);
  return hosts_[host]->fleet->Update(
      knows_others ? known : known.subspan(host, 1), true);
}

void flood_simulation::BuildLeafs() {
  std::vector<registry_change> changes;
  std::uint64_t revision = 0;
  for (const flood_kind& kind : setup_.kinds) {
    const std::uint32_t usual = setup_.leafs > 0 ? setup_.leafs : setup_.zones;
    const std::uint32_t count = kind.leafs > 0 ? kind.leafs : usual;
    const std::uint32_t step = std::max(setup_.zones / count, 1u);
    std::uint32_t first_zone = 0;
    for (const std::string& service : kind.services) {
      ++first_zone;
      for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t zone = (first_zone - 1 + i * step) % setup_.zones;
        auto fresh = std::make_unique<leaf>();
        fresh->record.instance = service + "@" + std::to_string(i);
        fresh->region = RegionName(setup_, zone);
        fresh->record.service = service;
        fresh->record.address =
            "10.0.0.2:" + std::to_string(1000 + leafs_.size());
        fresh->record.zone = ZoneName(zone);
        fresh->record.slots = kind.slots > 0 ? kind.slots : setup_.slots;
        const std::string instance = fresh->record.instance;
        if (leafs_.contains(instance)) continue;
        changes.push_back({instance, ++revision, fresh->record, false});
        by_address_[fresh->record.address] = fresh.get();
        leafs_.emplace(instance, std::move(fresh));
      }
    }
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Reduce(i, registry_event{changes, true, {}});
  }
  registry_ = std::move(changes);
}

void flood_simulation::Schedule(time_point when, action run) {
  scheduled_.push({when, ++order_, std::move(run)});
}

void flood_simulation::RunUntil(time_point end) {
  while (!scheduled_.empty() && scheduled_.top().at <= end) {
    now_ = std::max(now_, scheduled_.top().at);
    const action run = scheduled_.top().run;
    scheduled_.pop();
    run();
  }
  now_ = end;
}

std::vector<flood_result> flood_simulation::Run(
    const std::vector<double>& factors, duration warm_up, duration length) {
  results_.assign(setup_.kinds.size(), {});
  counts_from_ = now_ + warm_up;
  const time_point end = counts_from_ + length;
  for (std::size_t kind = 0; kind < setup_.kinds.size(); ++kind) {
    const double rate = setup_.kinds[kind].per_second * factors[kind];
    if (rate > 0) ScheduleArrival(kind, rate, end);
  }
  RunUntil(end + seconds(4));
  return results_;
}

/** Clients arrive independently, so the pauses are exponential. */
void flood_simulation::ScheduleArrival(std::size_t kind, double per_second,
                                       time_point end) {
  const double uniform = 1 - random_.Unit();  // Never 0.
  const duration pause(
      static_cast<duration::rep>(-std::log(uniform) / per_second * 1e6));
  const time_point when = now_ + pause;
  if (when >= end) return;
  Schedule(when, [this, kind, per_second, end] {
    Arrive(kind, now_, false);
    ScheduleArrival(kind, per_second, end);
  });
}

void flood_simulation::SendAtOnce(std::size_t kind, std::size_t requests) {
  for (std::size_t i = 0; i < requests; ++i) {
    Schedule(now_, [this, kind] { Arrive(kind, now_, false); });
  }
}

void flood_simulation::SendToEachHost(std::size_t kind, duration within) {
  const auto range = static_cast<std::uint64_t>(within.count());
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const duration pause(random_.Below(range));
    Schedule(now_ + pause,
             [this, kind, host] { ArriveAt(host, kind, now_, false); });
  }
}

void flood_simulation::Arrive(std::size_t kind, time_point began,
                              bool is_retry) {
  ArriveAt(random_.Below(EntryHosts()), kind, began, is_retry);
}

void flood_simulation::ArriveAt(std::size_t host, std::size_t kind,
                                time_point began, bool is_retry) {
  const flood_kind& kind_setup = setup_.kinds[kind];
  const std::uint64_t id = ++attempts_;
  open_[id] = {kind, host, began, now_, is_retry};
  if (!is_retry && began >= counts_from_) ++results_[kind].offered;
  auto request = std::make_shared<client_request>();
  request->attempt = std::to_string(kind) + "-" + std::to_string(id);
  request->method = "GET";
  request->host = "h";
  request->path = "/" + kind_setup.name + "/x";
  request->target = request->path;
  request->remaining_time = kind_setup.time_limit - (now_ - began);
  const request_event input{exchange_id{id}, request};
  if (setup_.client_one_way == duration{}) {
    Reduce(host, input);
    return;
  }
  request->round_trip = 2 * setup_.client_one_way;
  Schedule(now_ + setup_.client_one_way,
           [this, host, input] { Reduce(host, input); });
}

void flood_simulation::Reduce(std::size_t index, event input) {
  host& one = *hosts_[index];
  one.inbox.push_back(std::move(input));
  if (one.reducing) return;
  one.reducing = true;
  while (!one.inbox.empty()) {
    const std::vector<event> batch = std::exchange(one.inbox, {});
    for (const event& next : batch) {
      effect_list effects;
      one.core->Reduce(next, now_, effects);
      for (effect& each : effects) {
        std::visit([&](auto& e) { Handle(index, e); }, each);
      }
    }
  }
  one.reducing = false;
  ScheduleWake(index);
}

void flood_simulation::ScheduleWake(std::size_t index) {
  host& one = *hosts_[index];
  const time_point next = one.core->NextWake();
  if (next >= one.wake_at) return;
  one.wake_at = next;
  Schedule(next, [this, index, next] {
    host& woken = *hosts_[index];
    if (woken.wake_at != next) return;
    woken.wake_at = kNever;
    Reduce(index, wake_event{});
  });
}

void flood_simulation::Handle(std::size_t, answer_effect& effect) {
  const auto found = open_.find(static_cast<std::uint64_t>(effect.exchange));
  if (found == open_.end()) return;
  const attempt one = found->second;
  open_.erase(found);
  const flood_kind& kind = setup_.kinds[one.kind];
  const bool counts = one.began >= counts_from_;
  flood_result& result = results_[one.kind];
  const client_answer& answer = effect.answer;
  if (answer.status == 200) {
    if (!counts) return;
    const duration latency = now_ - one.arrived + setup_.client_one_way;
    result.times.push_back(latency);
    const bool early = now_ - hosts_[one.host]->started < kEarly;
    if (early) result.early_times.push_back(latency);
    const auto shards = static_cast<double>(kind.services.size());
    const double covered = 1 - answer.missing_parts / shards;
    if (latency > kind.objective) {
      ++result.late;
      return;
    }
    result.on_time += covered * covered;
    if (one.is_retry) result.returned_on_time += covered * covered;
    return;
  }
  if (counts) result.refusal_times.push_back(now_ - one.arrived);
  const duration left = kind.time_limit - (now_ - one.began);
  const duration pause =
      std::min(answer.retry_after.value_or(duration{}), left / 3);
  if (!one.is_retry && left > duration{}) {
    if (counts) ++result.first_refusals;
    Schedule(now_ + setup_.client_one_way + pause,
             [this, kind = one.kind, began = one.began] {
               Arrive(kind, began, true);
             });
    return;
  }
  if (counts) ++result.refused;
}

double flood_simulation::Capacity(std::size_t kind) const {
  return setup_.zones * setup_.slots / Seconds(setup_.kinds[kind].work);
}

double flood_simulation::Goodput(const std::vector<flood_result>& results,
                                 duration length) const {
  double used = 0;
  for (std::size_t kind = 0; kind < results.size(); ++kind) {
    used += results[kind].on_time / Capacity(kind);
  }
  return used / Seconds(length);
}

}  // namespace corianderrail::gateway
