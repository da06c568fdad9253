/** @file flood_simulation.h Simulates gateways and leafs under load. */

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "core/member_type.h"
#include "core/random.h"
#include "gateway/gateway.h"
#include "leaf_pace.h"

namespace corianderrail::gateway {

/** One kind of request in the simulation. */
struct flood_kind {
  std::string name;        ///< Name of the route and path segment.
  std::uint32_t rank = 0;  ///< 0 is the most urgent.
  duration work{};         ///< Mean time that a leaf works for one part.
  duration objective{};    ///< Latency objective.
  duration time_limit{};   ///< How long the client waits.
  double per_second = 0;   ///< Usual rate of all clients together.
  std::vector<std::string> services;  ///< Shards, or one service.
  double min_shard_ratio = 0;         ///< 0 for a plain request.
  std::uint32_t slots = 0;            ///< Of its leafs; 0 for the usual number.
  std::uint32_t leafs = 0;            ///< Of each service; likewise.
  double value = 1;                   ///< Of an answer in time.
  double late_value = 0;              ///< Of an answer that is late.
};

/** Work that a simulated leaf starts. */
struct leaf_work {
  const leaf_record& leaf;
  time_point start{};         ///< On the clock of the simulation.
  duration usual{};           ///< Time that it takes at the usual speed.
  std::uint32_t running = 1;  ///< Requests at work, including this one.
};

/** Deployment of the simulation. */
struct flood_setup {
  std::uint32_t hosts = 3;  ///< Gateways, assigned to the zones round robin.
  std::uint32_t zones = 3;  ///< Each zone has a leaf of each service.
  std::uint32_t zones_per_region = 1;
  std::uint32_t leafs = 0;   ///< Of each service; 0 for one in each zone.
  std::uint32_t slots = 2;   ///< Concurrent requests of a leaf.
  std::uint32_t queue = 12;  ///< Queue length of a leaf.
  std::uint32_t max_connections = 25;  ///< Connection limit of a leaf.
  duration one_way =
      std::chrono::milliseconds(12);  ///< Latency between regions.
  duration region_one_way{};          ///< Latency between zones of a region.
  duration client_one_way{};          ///< 0 if hosts do not know it.
  leaf_variation variation;
  duration near_one_way =
      std::chrono::microseconds(200);  ///< Latency within a zone.
  std::vector<flood_kind> kinds;       ///< All kinds of requests.
  /** All hosts start at the begin of the simulation and know no other host
   *  until `join_time` has passed. Otherwise they run for long. */
  bool cold_start = false;
  duration join_time = std::chrono::milliseconds(1500);
  /** Connections that a leaf still counts from before the cold start, and for
   *  how long. */
  std::uint32_t stale_connections = 0;
  duration stale_time = std::chrono::seconds(2);
  /** End of the work that a leaf starts; empty if its speed is constant. */
  std::function<time_point(const leaf_work&)> work_end;
  performance_settings performance{};
  /** Period in which hosts of a zone send figures to each other; 0: never. */
  duration report_period{};
  /** Period in which one host after the other restarts; 0: never. */
  duration restart_period{};
  /** Changes the figures of a host before they are sent, if set. */
  std::function<void(std::size_t host, std::vector<leaf_figure>&)> distort;
};

/** Results of the requests of one kind. */
struct flood_result {
  std::uint64_t offered = 0;  ///< First attempts.
  std::uint64_t refused = 0;  ///< Requests that ended without success.
  double on_time = 0;  ///< On-time successes, weighted by squared coverage.
  double returned_on_time = 0;  ///< The part of `on_time` that was served at
                                ///< the second attempt.
  std::uint64_t late = 0;       ///< Successes after the objective.
  std::uint64_t first_refusals = 0;  ///< First attempts that were refused.
  std::vector<duration> times;       ///< Latencies of all successes.
  /** Of them, those of hosts that had started less than 2 s before. */
  std::vector<duration> early_times;
  std::vector<duration> refusal_times;  ///< From the attempt to its refusal.

  /** Latency that the given share of successes did not exceed. */
  duration Percentile(double share);
};

/**
 * Open-loop clients, gateways and leafs in virtual time. A leaf runs `slots`
 * requests at a time, queues `queue` more in order of arrival, refuses the rest
 * as not run, and drops canceled requests. A client whose attempt was refused
 * retries once, after the Retry-After or a third of its remaining time,
 * whichever is shorter.
 */
class flood_simulation {
 public:
  flood_simulation(flood_setup setup, std::uint64_t seed);
  ~flood_simulation();
  flood_simulation(const flood_simulation&) = delete;
  flood_simulation& operator=(const flood_simulation&) = delete;

  /**
   * Sends each kind at its usual rate multiplied by its factor.
   * @return Results by kind, for requests that started after `warm_up`.
   */
  std::vector<flood_result> Run(const std::vector<double>& factors,
                                duration warm_up, duration length);

  /** Connections that leafs reset because they were at their limit. */
  std::uint64_t Resets() const { return resets_; }

  /** Highest number of connections of one leaf. */
  std::uint32_t MaxConnections() const { return most_connections_; }

  /** Sends requests of one kind at the same moment, as clients do whose
   *  requests a power loss has ended. Counted in the next Run(). */
  void SendAtOnce(std::size_t kind, std::size_t requests);

  /** Sends one request of a kind to each host at a random time, also to those
   *  that take no clients. Counted in the next Run(). */
  void SendToEachHost(std::size_t kind, duration within);

  /** Replaces the process of a host by one that knows nothing of the leafs. Its
   *  open requests are lost. */
  void RestartHost(std::size_t host);

  /** Counters of a host since its last start. */
  const gateway_counters& Counters(std::size_t host) const;

  time_point Time() const { return now_; }

  /** Maximum rate per second of one kind alone. */
  double Capacity(std::size_t kind) const;

  /** Time that the leafs of each service can work per second, in units of the
   *  usual work: more for fast leafs, less for pauses and slow leafs. */
  std::map<std::string, double> ServiceCapacity() const;

  /** Share of the leafs' capacity used for on-time answers. */
  double Goodput(const std::vector<flood_result>& results,
                 duration length) const;

 private:
  struct leaf;
  struct host;
  struct attempt;

  using action = std::function<void()>;
  struct scheduled_action {
    time_point at;
    std::uint64_t order;
    action run;
    bool operator>(const scheduled_action& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Schedule(time_point when, action run);
  void RunUntil(time_point end);
  void BuildHosts();
  std::size_t EntryHosts() const;
  std::vector<member_record> Members() const;
  fleet_event Fleet(std::size_t host, bool knows_others);
  void BuildLeafs();
  std::shared_ptr<routing_config> Config() const;
  void ScheduleArrival(std::size_t kind, double per_second, time_point end);
  void Arrive(std::size_t kind, time_point began, bool is_retry);
  void ArriveAt(std::size_t host, std::size_t kind, time_point began,
                bool is_retry);
  void Reduce(std::size_t host, event input);
  void ScheduleWake(std::size_t host);
  void Handle(std::size_t host, send_leaf_effect& effect);
  void Handle(std::size_t host, cancel_leaf_effect& effect);
  void Handle(std::size_t host, connect_leaf_effect& effect);
  bool Open(leaf& to, std::size_t host);
  void Forward(std::size_t host, leaf& to, const send_leaf_effect& effect,
               duration delay);
  void OnConnectionFree(std::size_t host, leaf& to);
  void Handle(std::size_t host, answer_effect& effect);
  void Handle(std::size_t, disconnect_leaf_effect&) {}
  void Handle(std::size_t, stop_sending_effect&) {}
  void Handle(std::size_t, withdraw_call_effect&) {}
  void Handle(std::size_t, log_effect&) {}
  void Handle(std::size_t host, send_figures_effect& effect);
  void ScheduleReports();
  void ScheduleRestarts(std::size_t next);
  void StartHost(std::size_t index);
  void StartWork(leaf& one);
  duration Distance(const host& from, const leaf& to) const;
  duration Work(std::size_t kind);

  flood_setup setup_;
  random_source random_;
  time_point now_{std::chrono::seconds(100)};
  time_point counts_from_{};
  std::uint64_t order_ = 0;
  std::uint64_t attempts_ = 0;
  std::priority_queue<scheduled_action, std::vector<scheduled_action>,
                      std::greater<>>
      scheduled_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<registry_change> registry_;               ///< All leafs.
  std::map<std::string, std::unique_ptr<leaf>> leafs_;  ///< By instance.
  std::map<std::string, leaf*> by_address_;
  std::map<std::uint64_t, attempt> open_;  ///< By exchange.
  std::vector<flood_result> results_;
  time_point began_{};  ///< Start of the simulation.
  std::uint64_t resets_ = 0;
  std::uint32_t most_connections_ = 0;
};

}  // namespace corianderrail::gateway
