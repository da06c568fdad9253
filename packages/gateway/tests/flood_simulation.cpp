/** @file flood_simulation.cpp Events of simulated clients and leafs. */

#include "flood_simulation.h"

#include <algorithm>
#include <cmath>

#include "core/host_address.h"
#include "gateway/hosts/fleet_view.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

std::string ZoneName(std::uint32_t zone) { return "z" + std::to_string(zone); }

std::string RegionName(const flood_setup& setup, std::uint32_t zone) {
  return "z" + std::to_string(zone / setup.zones_per_region);
}

/** Time of a leaf to accept a connection. */
constexpr duration kHandshake = std::chrono::milliseconds(6);

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

/** A simulated leaf. */
struct flood_simulation::leaf {
  /** A request, with the host and call that its answer belongs to. */
  struct job {
    std::size_t host = 0;
    leaf_call call{};
    std::size_t kind = 0;
    std::string attempt;
    time_point stop_at{};  ///< The leaf does not start the request after this.
  };
  /** Connections of one host. */
  struct pool {
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    std::deque<send_leaf_effect> waiting;  ///< For a free connection.
  };
  leaf_record record;
  std::string region;
  std::map<std::size_t, pool> pools;  ///< By host.
  std::uint32_t connections = 0;      ///< Of all hosts.
  std::uint32_t running = 0;
  leaf_pace pace;
  std::deque<job> waiting;
  std::vector<std::pair<std::size_t, leaf_call>> at_work;
};

struct flood_simulation::host {
  std::unique_ptr<gateway> core;
  std::string zone;
  std::string region;
  std::unique_ptr<fleet_view> fleet;
  time_point started{};
  time_point wake_at = kNever;
  std::vector<event> inbox;
  bool reducing = false;
  std::map<leaf_call, std::string> leafs;  ///< Leaf instance of each open call.
};

/** An attempt of a client that is not answered yet. */
struct flood_simulation::attempt {
  std::size_t kind = 0;
  std::size_t host = 0;
  time_point began{};     ///< Start of the first attempt of the client.
  time_point arrived{};   ///< Arrival of this attempt.
  bool is_retry = false;  ///< Second attempt, after a refusal.
};

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

duration flood_simulation::Distance(const host& from, const leaf& to) const {
  if (from.zone == to.record.zone) return setup_.near_one_way;
  return from.region == to.region ? setup_.region_one_way : setup_.one_way;
}

/** Work of a leaf for one part, uniform between 0.5 and 1.5 times the mean. */
duration flood_simulation::Work(std::size_t kind) {
  const auto mean = static_cast<std::uint64_t>(setup_.kinds[kind].work.count());
  return duration(static_cast<duration::rep>(mean / 2 + random_.Below(mean)));
}

std::map<std::string, double> flood_simulation::ServiceCapacity() const {
  std::map<std::string, double> capacity;
  for (const auto& [instance, one] : leafs_) {
    capacity[one->record.service] += one->record.slots * one->pace.Speed();
  }
  return capacity;
}

/** Opens a connection. @return False when the leaf is at its limit. */
bool flood_simulation::Open(leaf& to, std::size_t host) {
  const bool stale = now_ < began_ + setup_.stale_time;
  const std::uint32_t others = stale ? setup_.stale_connections : 0;
  if (to.connections + others >= setup_.max_connections) {
    ++resets_;
    return false;
  }
  ++to.connections;
  ++to.pools[host].open;
  most_connections_ = std::max(most_connections_, to.connections);
  return true;
}

void flood_simulation::Handle(std::size_t index, send_leaf_effect& effect) {
  leaf& to = *leafs_.at(effect.instance);
  leaf::pool& pool = to.pools[index];
  hosts_[index]->leafs[effect.call] = effect.instance;
  const duration delay = Distance(*hosts_[index], to);
  if (pool.busy < pool.open) {
    ++pool.busy;
    Forward(index, to, effect, delay);
  } else if (pool.open < effect.connections && Open(to, index)) {
    ++pool.busy;
    Forward(index, to, effect, 3 * delay + kHandshake);
  } else if (pool.open > 0) {
    pool.waiting.push_back(effect);
  } else {
    hosts_[index]->leafs.erase(effect.call);
    Schedule(now_ + 2 * delay, [this, index, call = effect.call] {
      Reduce(index, leaf_failure_event{call, leaf_failure::full});
    });
  }
}

/** A connection of a host to a leaf has no request any more. */
void flood_simulation::OnConnectionFree(std::size_t host, leaf& to) {
  leaf::pool& pool = to.pools[host];
  if (pool.waiting.empty()) {
    --pool.busy;
    return;
  }
  const send_leaf_effect next = pool.waiting.front();
  pool.waiting.pop_front();
  Forward(host, to, next, Distance(*hosts_[host], to));
}

/** Sends a request on a connection. */
void flood_simulation::Forward(std::size_t index, leaf& to,
                               const send_leaf_effect& effect, duration delay) {
  leaf::job job;
  job.host = index;
  job.call = effect.call;
  job.attempt = effect.request->attempt;
  job.kind = std::stoul(job.attempt);
  job.stop_at = now_ + effect.remaining_time;
  Schedule(now_ + delay, [this, &to, job] {
    if (!hosts_[job.host]->leafs.contains(job.call)) return;  // Canceled.
    if (to.running >= to.record.slots && to.waiting.size() >= setup_.queue) {
      leaf_answer refusal;
      refusal.status = 503;
      refusal.not_run = true;
      const duration back = Distance(*hosts_[job.host], to);
      Schedule(now_ + back, [this, &to, job, refusal] {
        if (hosts_[job.host]->leafs.erase(job.call) == 0) return;
        OnConnectionFree(job.host, to);
        Reduce(job.host, leaf_answer_event{job.call, refusal});
      });
      return;
    }
    to.waiting.push_back(job);
    StartWork(to);
  });
}

void flood_simulation::StartWork(leaf& one) {
  while (one.running < one.record.slots && !one.waiting.empty()) {
    const leaf::job job = one.waiting.front();
    one.waiting.pop_front();
    if (now_ >= job.stop_at) continue;
    ++one.running;
    one.at_work.emplace_back(job.host, job.call);
    const leaf_work work{one.record, now_, Work(job.kind), one.running};
    const time_point end = setup_.work_end
                               ? setup_.work_end(work)
                               : one.pace.EndOfWork(now_, work.usual);
    Schedule(end, [this, &one, job] {
      const auto found = std::find(one.at_work.begin(), one.at_work.end(),
                                   std::pair(job.host, job.call));
      if (found == one.at_work.end()) return;  // The request was canceled.
      one.at_work.erase(found);
      --one.running;
      leaf_answer answer;
      answer.status = 200;
      answer.signature = one.record.instance + "/" + job.attempt;
      answer.body = std::string(16, 'r');
      const duration delay = Distance(*hosts_[job.host], one);
      Schedule(now_ + delay, [this, &one, job, answer] {
        if (hosts_[job.host]->leafs.erase(job.call) == 0) return;
        OnConnectionFree(job.host, one);
        Reduce(job.host, leaf_answer_event{job.call, answer});
      });
      StartWork(one);
    });
  }
}

void flood_simulation::Handle(std::size_t index, cancel_leaf_effect& effect) {
  host& from = *hosts_[index];
  const auto found = from.leafs.find(effect.call);
  if (found == from.leafs.end()) return;
  leaf& to = *leafs_.at(found->second);
  from.leafs.erase(found);
  leaf::pool& pool = to.pools[index];
  const bool unsent =
      std::erase_if(pool.waiting, [&](const send_leaf_effect& one) {
        return one.call == effect.call;
      }) > 0;
  if (unsent) return;
  // The connection is closed to cancel its request.
  --pool.open;
  --pool.busy;
  Schedule(now_ + Distance(from, to), [this, &to, index, call = effect.call] {
    --to.connections;
    std::erase_if(to.waiting, [&](const leaf::job& job) {
      return job.host == index && job.call == call;
    });
    if (std::erase(to.at_work, std::pair(index, call)) > 0) {
      --to.running;
      StartWork(to);
    }
  });
}

void flood_simulation::Handle(std::size_t index, connect_leaf_effect& effect) {
  leaf& to = *by_address_.at(effect.address);
  const leaf::pool& pool = to.pools[index];
  if (pool.busy == pool.open) Open(to, index);
  Schedule(now_ + setup_.one_way, [this, index, leaf = effect.leaf] {
    Reduce(index, leaf_connected_event{leaf, true});
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
