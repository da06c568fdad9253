/** @file gateway_fixture.h Drives a gateway in virtual time. */

#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

namespace corianderrail::gateway {

using std::chrono::milliseconds;

/** Drives one gateway and keeps its leaf requests until the test answers them.
 */
class gateway_fixture {
 public:
  gateway_fixture() { Build({}); }

  /** Replaces the gateway by one with these settings. */
  void Build(gateway_settings settings) {
    if (settings.here.zone.empty()) {
      settings.here = {"a-1", "a", {{"a-1", "a"}, {"b-1", "b"}, {"c-1", "c"}}};
    }
    if (settings.repeats.slack == 0) settings.repeats.slack = 100;
    core_ = std::make_unique<gateway>(settings);
    Reduce(fleet_event{2, 2, true, {1, 1}, {1, 1}});
    AdvanceTime(std::chrono::seconds(1));  // No hedges earlier.
  }

  /** Routes: gathered "query", plain "read", non-idempotent "order". */
  static std::shared_ptr<routing_config> Config(std::uint64_t version = 1,
                                                std::size_t shards = 4) {
    auto config = std::make_shared<routing_config>();
    config->version = config_version{version};
    route query;
    query.name = "query";
    query.host = "h";
    query.prefix = "/query/";
    query.kind = repeatability::idempotent;
    query.timeout = milliseconds(800);
    query.objective = milliseconds(150);
    query.rank = 1;
    query.attempts = 2;
    query.top_records = 3;
    query.min_shard_ratio = 0.75;
    for (std::size_t i = 0; i < shards; ++i) {
      query.shards.push_back("s" + std::to_string(i));
      config->services.push_back({query.shards.back(), 24});
    }
    route read = query;
    read.name = "read";
    read.prefix = "/read/";
    read.shards.clear();
    read.targets = {{"plain", 1}};
    route order = read;
    order.name = "order";
    order.prefix = "/order/";
    order.kind = repeatability::non_idempotent;
    config->services.push_back({"plain", 24});
    config->routes = {query, read, order};
    return config;
  }

  /** Activates a configuration. */
  void Configure(std::shared_ptr<const routing_config> config) {
    Reduce(config_event{std::move(config)});
  }

  static leaf_record Leaf(const std::string& service, const std::string& zone) {
    leaf_record leaf;
    leaf.instance = service + "@" + zone;
    leaf.service = service;
    leaf.address = "10.0.0.1:1";
    leaf.zone = zone;
    leaf.slots = 2;
    return leaf;
  }

  /** Registers a leaf of each service in each zone. */
  void RegisterAll(const std::vector<std::string>& zones,
                   std::size_t shards = 4) {
    for (const std::string& zone : zones) {
      Register(Leaf("plain", zone));
      for (std::size_t i = 0; i < shards; ++i) {
        Register(Leaf("s" + std::to_string(i), zone));
      }
    }
  }

  void Register(const leaf_record& leaf) {
    Reduce(registry_event{
        {{leaf.instance, ++revision_, leaf, false}}, complete, Timing()});
  }
  void Remove(const std::string& instance) {
    Reduce(registry_event{
        {{instance, ++revision_, std::nullopt, false}}, complete, Timing()});
  }

  /** Sends a client request whose attempt is the number of the exchange. */
  exchange_id Request(const std::string& path,
                      std::optional<duration> remaining_time = {}) {
    const exchange_id id{++exchanges_};
    auto request = std::make_shared<client_request>();
    request->attempt = std::to_string(exchanges_);
    request->method = "GET";
    request->host = "h";
    request->path = path;
    request->target = path;
    request->remaining_time = remaining_time;
    request->round_trip = round_trip;
    request->new_connection = new_connection;
    Reduce(request_event{id, request});
    return id;
  }

  /** Sends requests until one waits in the gateway, and returns that one. */
  exchange_id RequestUntilQueued(const std::string& path) {
    for (int i = 0; i < 100; ++i) {
      const std::size_t sent = sends_.size();
      const exchange_id id = Request(path);
      if (sends_.size() == sent && AnswerOf(id) == nullptr) return id;
    }
    FAIL("no request waits");
    return {};
  }

  void Disconnect(exchange_id exchange) {
    Reduce(client_disconnected_event{exchange});
  }

  /** Advances the time and delivers each wake_event that becomes due. */
  void AdvanceTime(duration length) {
    const time_point end = now_ + length;
    while (core_->NextWake() <= end) {
      now_ = std::max(now_, core_->NextWake());
      Reduce(wake_event{});
    }
    now_ = end;
  }

  static leaf_answer Success(const send_leaf_effect& call,
                             std::string body = std::string(16, 'r')) {
    leaf_answer answer;
    answer.status = 200;
    answer.signature = call.instance + "/" + call.request->attempt;
    answer.attempt = call.request->attempt;
    answer.body = std::move(body);
    return answer;
  }

  void Reply(const send_leaf_effect& call, leaf_answer answer) {
    Reduce(leaf_answer_event{call.call, std::move(answer)});
  }
  void Fail(const send_leaf_effect& call, leaf_failure failure) {
    Reduce(leaf_failure_event{call.call, failure});
  }

  /** Returns the leaf requests since the last call. */
  std::vector<send_leaf_effect> DrainSends() {
    return std::exchange(sends_, {});
  }

  /** Answer of an exchange; null before it is answered. */
  const client_answer* AnswerOf(exchange_id exchange) const {
    for (const answer_effect& one : answers_) {
      if (one.exchange == exchange) return &one.answer;
    }
    return nullptr;
  }

  /** Number of answers of an exchange. */
  std::size_t AnswersOf(exchange_id exchange) const {
    return static_cast<std::size_t>(std::count_if(
        answers_.begin(), answers_.end(),
        [&](const answer_effect& one) { return one.exchange == exchange; }));
  }

  const std::vector<leaf_call>& Cancelled() const { return cancelled_; }
  const std::vector<log_effect>& Logged() const { return logged_; }
  const std::vector<leaf_figure>& Figures() const { return figures_; }
  const std::vector<connect_leaf_effect>& Connects() const { return connects_; }
  const std::vector<stop_sending_effect>& Stops() const { return stops_; }
  const std::vector<leaf_call>& Withdrawals() const { return withdrawals_; }
  gateway& Core() { return *core_; }
  time_point Now() const { return now_; }

  void Reduce(event input) {
    effect_list effects;
    core_->Reduce(std::move(input), now_, effects);
    for (effect& one : effects) std::visit([&](auto& e) { Collect(e); }, one);
    while (!connecting_.empty()) {
      const leaf_handle leaf = connecting_.back();
      connecting_.pop_back();
      Reduce(leaf_connected_event{leaf, !refuse_connections});
    }
  }

  bool complete = true;       ///< Whether the registry was read completely.
  duration change_age{};      ///< Of changes of the registry, at most.
  bool after_outage = false;  ///< The registry was out of reach before them.
  std::optional<duration> round_trip;  ///< To the clients.
  bool new_connection = false;         ///< Of the requests from now on.
  bool refuse_connections = false;     ///< Whether connections to leafs fail.

 private:
  registry_timing Timing() const { return {now_ - change_age, after_outage}; }

  void Collect(send_leaf_effect& one) { sends_.push_back(std::move(one)); }
  void Collect(cancel_leaf_effect& one) { cancelled_.push_back(one.call); }
  void Collect(connect_leaf_effect& one) {
    connects_.push_back(one);
    connecting_.push_back(one.leaf);
  }
  void Collect(disconnect_leaf_effect&) {}
  void Collect(stop_sending_effect& one) { stops_.push_back(one); }
  void Collect(withdraw_call_effect& one) { withdrawals_.push_back(one.call); }
  void Collect(answer_effect& one) { answers_.push_back(std::move(one)); }
  void Collect(send_figures_effect& one) {
    figures_.insert(figures_.end(), one.figures.begin(), one.figures.end());
  }
  void Collect(log_effect& one) { logged_.push_back(std::move(one)); }

  std::unique_ptr<gateway> core_;
  time_point now_{std::chrono::seconds(100)};
  std::uint64_t revision_ = 0;
  std::uint64_t exchanges_ = 0;
  std::vector<send_leaf_effect> sends_;
  std::vector<answer_effect> answers_;
  std::vector<leaf_call> cancelled_;
  std::vector<connect_leaf_effect> connects_;
  std::vector<leaf_handle> connecting_;
  std::vector<log_effect> logged_;
  std::vector<leaf_figure> figures_;  ///< Sent to other hosts.
  std::vector<stop_sending_effect> stops_;
  std::vector<leaf_call> withdrawals_;
};

/** A gateway with a leaf of each service in three zones. */
class plain_fixture : public gateway_fixture {
 public:
  plain_fixture() {
    Configure(Config());
    RegisterAll({"a-1", "b-1", "c-1"});
    DrainSends();
  }

  /** The only leaf request since the last call. */
  send_leaf_effect OnlySend() {
    auto sends = DrainSends();
    REQUIRE(sends.size() == 1);
    return sends[0];
  }

  static leaf_answer NotRunAnswer() {
    leaf_answer answer;
    answer.status = 503;
    answer.not_run = true;
    return answer;
  }
};

}  // namespace corianderrail::gateway
