/** @file placement_simulation.h Random fleets of leafs and a model of where
 *  requests may run. */

#pragma once

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace corianderrail::gateway {

/** What one simulation counted. */
struct placement_counts {
  std::size_t choices = 0;          ///< Leafs chosen.
  std::size_t writes = 0;           ///< Requests written to a leaf.
  std::size_t forbidden = 0;        ///< Choices and writes that may not be.
  std::size_t retries = 0;          ///< Choices after a failure.
  std::size_t hedges = 0;           ///< Choices because a leaf was late.
  std::size_t queued = 0;           ///< Parts that waited for capacity.
  std::size_t withdrawn = 0;        ///< Calls withdrawn before the write.
  std::size_t refused_no_leaf = 0;  ///< Requests without a permitted leaf.
};

/**
 * A gateway in a random topology with random configurations, evacuations,
 * leafs, answers and failures. Each choice of a leaf, and each write after a
 * wait for a connection, is compared with a model that knows every
 * configuration since the arrival of the request.
 */
class placement_simulation : private gateway_fixture {
 public:
  explicit placement_simulation(std::uint32_t seed) : random_(seed) {
    MakeTopology();
    gateway_settings settings;
    settings.repeats.ratio = 1;
    settings.here = here_;
    Build(settings);
    NextConfig();
    for (int i = 0; i < 30; ++i) AddLeaf();
  }

  /** Makes random steps until this number of choices. */
  const placement_counts& Run(std::size_t choices) {
    for (int step = 0; step < 100'000 && counts_.choices < choices; ++step) {
      Step();
      Settle();
    }
    const auto& core = Core().Counters();
    counts_.retries = core.retries;
    counts_.hedges = core.hedges;
    counts_.queued = core.queued;
    counts_.withdrawn = core.withdrawn;
    counts_.refused_no_leaf =
        core.refused[static_cast<std::size_t>(refusal_cause::no_leaf)];
    return counts_;
  }

 private:
  /** A call in the simulated connection pool. */
  struct pooled {
    send_leaf_effect call;
    bool written = false;
  };

  /** A request with all that limits where it may run. */
  struct model_request {
    std::string path;
    std::set<std::string> services;  ///< That its first configuration names.
    std::vector<region_set> homes;   ///< Of each configuration since then.
  };

  std::size_t Below(std::size_t bound) { return random_() % bound; }
  bool Chance(int percent) {
    return Below(100) < static_cast<std::size_t>(percent);
  }

  void MakeTopology() {
    const std::size_t regions = 1 + Below(4);
    for (std::size_t r = 0; r < regions; ++r) {
      const std::string region(1, static_cast<char>('a' + r));
      regions_.push_back(region);
      const std::size_t count = 1 + Below(3);
      for (std::size_t z = 0; z < count; ++z) {
        zones_.push_back(region + "-" + std::to_string(z));
        here_.regions[zones_.back()] = region;
      }
    }
    here_.zone = zones_[Below(zones_.size())];
    here_.region = here_.regions.at(here_.zone);
    regions_.emplace_back("nowhere");  // Without zones.
    zones_.emplace_back("unknown-1");  // Not in the settings.
  }

  region_set Homes() {
    region_set homes;
    if (Chance(30)) return homes;
    for (const std::string& region : regions_) {
      if (Chance(60)) homes.push_back(region);
    }
    return homes;
  }

  void NextConfig() {
    auto config = Config(++version_, kShards);
    config->services.push_back({"plain2", 24});
    for (route& one : config->routes) {
      one.residency = Homes();
      one.attempts = 3;
      if (one.Gathers()) continue;
      one.targets = {{"plain", static_cast<double>(Below(3))},
                     {"plain2", static_cast<double>(1 + Below(2))}};
      if (Chance(50)) std::swap(one.targets[0], one.targets[1]);
    }
    if (Chance(10)) {
      std::swap(config->routes[Below(3)], config->routes.back());
      config->routes.pop_back();
    }
    config_ = config;
    for (auto& [attempt, request] : requests_) {
      if (const route* newer = RouteOf(request.path)) {
        request.homes.push_back(newer->residency);
      }
    }
    Configure(config_);
  }

  const route* RouteOf(const std::string& path) const {
    for (const route& one : config_->routes) {
      if (path.starts_with(one.prefix)) return &one;
    }
    return nullptr;
  }

  void AddLeaf() {
    const std::size_t kind = Below(kShards + 4);
    const std::string service = kind < kShards ? "s" + std::to_string(kind)
                                : kind % 2     ? "plain"
                                               : "plain2";
    leaf_record leaf = Leaf(service, zones_[Below(zones_.size())]);
    leaf.instance += "#" + std::to_string(++leafs_);
    leaf.address = "10.0.0.1:" + std::to_string(leafs_);
    records_[leaf.instance] = leaf;
    Register(leaf);
  }

  void Send() {
    constexpr const char* kPaths[] = {"/query/1", "/read/1", "/order/1"};
    const std::string path = kPaths[Below(3)];
    const exchange_id id = Request(path, milliseconds(100 + Below(700)));
    open_.push_back(id);
    model_request request;
    request.path = path;
    if (const route* matched = RouteOf(path)) {
      request.homes = {matched->residency};
      request.services = {matched->shards.begin(), matched->shards.end()};
      for (const auto& target : matched->targets) {
        if (target.weight > 0) request.services.insert(target.service);
      }
    }
    requests_[std::to_string(static_cast<std::uint64_t>(id))] = request;
  }

  void Step() {
    const std::size_t kind = Below(100);
    if (kind < 30) {
      Send();
    } else if (kind < 55) {
      WriteOrAnswer();
    } else if (kind < 88) {
      AdvanceTime(milliseconds(Below(25)));
    } else if (kind < 91) {
      const std::string& zone = zones_[Below(zones_.size())];
      const bool active = !evacuated_.contains(zone) && Chance(50);
      active ? (void)evacuated_.insert(zone) : (void)evacuated_.erase(zone);
      Reduce(evacuation_event{{{zone, ++revision_, active}}});
    } else if (kind < 94) {
      NextConfig();
    } else if (kind < 97) {
      AddLeaf();
    } else if (kind < 98 && !records_.empty()) {
      auto gone = records_.begin();
      std::advance(gone, Below(records_.size()));
      Remove(gone->first);
      records_.erase(gone);
    } else if (!open_.empty()) {
      Disconnect(open_[Below(open_.size())]);
    }
  }

  /** Writes a call that waits for a connection, or ends a written one. */
  void WriteOrAnswer() {
    if (pool_.empty()) return;
    auto found = pool_.begin();
    std::advance(found, Below(pool_.size()));
    if (!found->second.written) {
      Write(found->second);
      return;
    }
    const send_leaf_effect call = found->second.call;
    pool_.erase(found);
    leaf_answer answer = Success(call);
    switch (Below(8)) {
      case 0:
        answer = {};
        answer.status = 500;
        break;
      case 1:
        answer = {};
        answer.status = 503;
        answer.not_run = true;
        break;
      case 2:
        Fail(call, leaf_failure::broken);
        return;
      default:
        break;
    }
    Reply(call, answer);
  }

  void Write(pooled& one) {
    one.written = true;
    ++counts_.writes;
    Check(one.call);
  }

  /** Does what the connection pool does with the latest effects. */
  void Settle() {
    bool changed = true;
    while (changed) {
      changed = false;
      for (; stops_seen_ < Stops().size(); ++stops_seen_) {
        const auto& stop = Stops()[stops_seen_];
        for (auto& [id, one] : pool_) {
          if (one.call.leaf == stop.leaf)
            one.call.send_before = stop.send_before;
        }
      }
      for (; withdrawn_seen_ < Withdrawals().size(); ++withdrawn_seen_) {
        const auto found = pool_.find(Withdrawals()[withdrawn_seen_]);
        if (found == pool_.end()) continue;
        found->second.call.send_before = time_point{};
      }
      for (; cancelled_seen_ < Cancelled().size(); ++cancelled_seen_) {
        pool_.erase(Cancelled()[cancelled_seen_]);
      }
      for (const send_leaf_effect& call : DrainSends()) {
        changed = true;
        ++counts_.choices;
        Check(call);
        pooled& one = pool_[call.call];
        one.call = call;
        if (Chance(50)) Write(one);
      }
      for (const auto& [id, one] : pool_) {
        if (one.written || Now() < one.call.send_before) continue;
        const send_leaf_effect call = one.call;
        pool_.erase(id);
        Fail(call, leaf_failure::withdrawn);
        changed = true;
        break;
      }
    }
  }

  /** Compares a choice or a write with the model. */
  void Check(const send_leaf_effect& call) {
    const model_request& request = requests_.at(call.request->attempt);
    const std::size_t at = call.instance.find('@');
    const std::string service = call.instance.substr(0, at);
    const std::string zone =
        call.instance.substr(at + 1, call.instance.find('#') - at - 1);
    bool permitted =
        !evacuated_.contains(zone) && request.services.contains(service);
    const auto region = here_.regions.find(zone);
    for (const region_set& homes : request.homes) {
      if (homes.empty()) continue;
      permitted &= region != here_.regions.end() &&
                   std::count(homes.begin(), homes.end(), region->second) > 0;
    }
    if (!permitted) ++counts_.forbidden;
  }

  static constexpr std::size_t kShards = 4;

  std::mt19937 random_;
  location here_;
  std::vector<std::string> regions_;
  std::vector<std::string> zones_;
  std::set<std::string> evacuated_;
  std::map<std::string, leaf_record> records_;
  std::map<std::string, model_request> requests_;  ///< By attempt.
  std::vector<exchange_id> open_;                  ///< Perhaps answered.
  std::map<leaf_call, pooled> pool_;
  std::shared_ptr<const routing_config> config_;
  std::uint64_t version_ = 0;
  std::uint64_t revision_ = 0;
  std::size_t leafs_ = 0;
  std::size_t stops_seen_ = 0;
  std::size_t withdrawn_seen_ = 0;
  std::size_t cancelled_seen_ = 0;
  placement_counts counts_;
};

}  // namespace corianderrail::gateway
