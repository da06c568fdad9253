/** @file flood_simulation.h Several gateways and their leafs under load. */

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

#include "core/random.h"
#include "gateway/gateway.h"

namespace corianderrail::gateway {

/** One kind of request in a simulation. */
struct flood_kind {
  std::string name;                   ///< Route and part of the path.
  std::uint32_t rank = 0;             ///< 0 is the most urgent.
  duration work{};                    ///< Mean work of a leaf for one part.
  duration objective{};               ///< Latency objective.
  duration time_limit{};              ///< What the client waits.
  double per_second = 0;              ///< Usual requests of all clients.
  std::vector<std::string> services;  ///< Shards, or one service.
  double min_shard_ratio = 0;         ///< 0 for a request to one leaf.
};

/** Deployment of a simulation. */
struct flood_setup {
  std::uint32_t hosts = 3;             ///< Gateways, one a zone in turn.
  std::uint32_t zones = 3;             ///< Each has a leaf of each service.
  std::uint32_t slots = 2;             ///< Of a leaf.
  std::uint32_t queue = 12;            ///< Requests that wait at a leaf.
  std::uint32_t max_connections = 25;  ///< Of a leaf.
  duration one_way = std::chrono::milliseconds(12);        ///< Between zones.
  duration near_one_way = std::chrono::microseconds(200);  ///< Within one.
  std::vector<flood_kind> kinds;  ///< All kinds of requests.
};

/** What the clients of one kind got. */
struct flood_result {
  std::uint64_t offered = 0;    ///< First attempts.
  std::uint64_t refused = 0;    ///< Ended without a success.
  double on_time = 0;           ///< Successes on time, by square of coverage.
  std::vector<duration> times;  ///< Of all successes.
  std::vector<duration> refusal_times;  ///< From the attempt to its refusal.

  /** Time within which the given share of successes came. */
  duration Percentile(double share);
};

/**
 * Open-loop clients, gateways and leafs in virtual time. Leafs run `slots`
 * requests at a time, queue some more in order of arrival, refuse the rest as
 * not run, and drop what is cancelled. A client whose attempt was refused as
 * not run comes back once, after the time that it was told.
 */
class flood_simulation {
 public:
  flood_simulation(flood_setup setup, std::uint64_t seed);
  ~flood_simulation();
  flood_simulation(const flood_simulation&) = delete;
  flood_simulation& operator=(const flood_simulation&) = delete;

  /**
   * Offers each kind at its usual rate times its factor.
   * @return Results by kind, of requests that began after `warm_up`.
   */
  std::vector<flood_result> Run(const std::vector<double>& factors,
                                duration warm_up, duration length);

  /** Requests a second of one kind alone that the leafs can carry. */
  double Capacity(std::size_t kind) const;

  /** Work done for on-time answers as a share of what leafs can do. */
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
  void BuildLeafs();
  std::shared_ptr<routing_config> Config() const;
  void ScheduleArrival(std::size_t kind, double per_second, time_point end);
  void Arrive(std::size_t kind, time_point began, bool is_retry);
  void Reduce(std::size_t host, event input);
  void ScheduleWake(std::size_t host);
  void Handle(std::size_t host, send_leaf_effect& effect);
  void Handle(std::size_t host, cancel_leaf_effect& effect);
  void Handle(std::size_t host, connect_leaf_effect& effect);
  void Handle(std::size_t host, answer_effect& effect);
  void Handle(std::size_t, forget_leaf_effect&) {}
  void Handle(std::size_t, log_effect&) {}
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
  std::map<std::string, std::unique_ptr<leaf>> leafs_;  ///< By instance.
  std::map<std::uint64_t, attempt> open_;               ///< By exchange.
  std::vector<flood_result> results_;
};

}  // namespace corianderrail::gateway
