/** @file entry_fixture.h Small fleet for tests of the entry side. */

#pragma once

#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/effect_type.h"
#include "core/index_type.h"
#include "core/limit_share.h"
#include "core/member_type.h"
#include "core/ownership.h"

namespace corianderrail {

/** Contracts, topology, members and the components that the entry side uses. */
struct entry_fixture {
  static constexpr std::uint64_t kLastKey =
      std::numeric_limits<std::uint64_t>::max();

  explicit entry_fixture(std::size_t services = 4, std::size_t hosts = 3)
      : shares(MakeMember(1), {}, time_point{}) {
    for (std::size_t i = 1; i <= hosts; ++i) members.push_back(MakeMember(i));
    PublishTopology(services, {snapshot_id{1}});
    PublishContracts();
    // A new host may use its share of a rate one lease time after its start.
    for (int second = 0; second < 10; ++second) {
      now += std::chrono::seconds(1);
      RefreshShares();
    }
    owners.SetMembers(members);
  }

  static member_record MakeMember(std::uint64_t host) {
    member_record member;
    member.ref = {host_id{host}, incarnation_id{100 + host}};
    member.ready = true;
    member.peer_address = "127.0.0.1:" + std::to_string(7000 + host);
    member.zone = "a";
    member.region = "r";
    member.capacity = 1;
    return member;
  }

  /** Publishes one partition of equal size per service, for each snapshot. */
  void PublishTopology(std::size_t count,
                       const std::vector<snapshot_id>& snapshots) {
    auto fresh = std::make_shared<topology>();
    fresh->version = map ? map->version + 1 : 1;
    collection_info collection;
    collection.name = "stock";
    for (std::size_t i = 0; i < count; ++i) {
      service_info service;
      service.name = "s" + std::to_string(i);
      service.zone = "a";
      service.leafs.push_back({leaf_id{i},
                               "127.0.0.1:" + std::to_string(9000 + i), "a", 2,
                               25, false});
      fresh->services.push_back(std::move(service));
    }
    for (const snapshot_id snapshot : snapshots) {
      collection.maps.push_back(MakeMap(count, snapshot));
    }
    fresh->collections.push_back(std::move(collection));
    map = std::move(fresh);
    admission_control.SetTopology(map, now);
    owners.SetServices(map->services);
  }

  static partition_map MakeMap(std::size_t count, snapshot_id snapshot) {
    partition_map result;
    result.snapshot = snapshot;
    const std::uint64_t step = kLastKey / count;
    for (std::size_t i = 0; i < count; ++i) {
      const std::uint64_t begin = i * step;
      const std::uint64_t end = i + 1 == count ? kLastKey : begin + step;
      result.partitions.push_back(
          {{begin, end}, static_cast<service_id>(i), {leaf_id{i}}});
    }
    return result;
  }

  static work_contract MakeWork(std::string kind, work_type type,
                                rank urgency) {
    work_contract work;
    work.kind = std::move(kind);
    work.type = type;
    work.collection = "stock";
    work.urgency = urgency;
    work.rate_per_s = 1e6;
    work.burst = 1'000'000;
    work.latency_target = std::chrono::milliseconds(100);
    work.deadline_max = std::chrono::milliseconds(400);
    work.min_coverage = 500'000;
    return work;
  }

  void PublishContracts() {
    auto fresh = std::make_shared<contract_set>();
    fresh->revision = revision_id{7};
    fresh->seats = {MakeMember(1).peer_address};
    customer_contract contract;
    contract.customer = "acme";
    contract.floor = {100'000, 100'000, 50'000};
    contract.work = {MakeWork("search", work_type::query, rank::urgent),
                     MakeWork("report", work_type::query, rank::background),
                     MakeWork("browse", work_type::query, rank::normal),
                     MakeWork("buy", work_type::order, rank::normal)};
    fresh->customers["acme"] = contract;
    contract.customer = "other";
    contract.preference = answer_preference::coverage;
    fresh->customers["other"] = contract;
    contracts = std::move(fresh);
    admission_control.SetContracts(contracts, now);
    shares.SetContracts(contracts, now);
    shares.SetMembers(members, now);
  }

  /** Reports a wait for all services and ranks, repeated `times` times so that
   *  the smoothed wait approaches it. */
  void ReportWaits(duration wait, int times = 20) {
    const auto value = static_cast<std::uint32_t>(wait.count());
    for (int i = 0; i < times; ++i) {
      for (std::size_t s = 0; s < map->services.size(); ++s) {
        admission_control.OnServiceWait(static_cast<service_id>(s),
                                        {value, value, value}, now);
      }
    }
  }

  /** Ticks the rate shares, which expire without ticks. */
  void RefreshShares() { shares.OnTick(now, effects); }

  std::optional<admission_ticket> Admit(std::string_view kind,
                                        duration deadline = {}) {
    RefreshShares();
    return admission_control.Admit("acme", kind, work_type::query, deadline, {},
                                   std::nullopt, shares, now, refused, effects);
  }

  /** All effects of one type, in order. */
  template <typename Effect>
  std::vector<Effect> Collect() const {
    std::vector<Effect> result;
    for (const effect& each : effects) {
      if (const auto* match = std::get_if<Effect>(&each)) {
        result.push_back(*match);
      }
    }
    return result;
  }

  /** All messages with one type of body, with their effect. */
  template <typename Body>
  std::vector<std::pair<send_peer_effect, Body>> Sent() const {
    std::vector<std::pair<send_peer_effect, Body>> result;
    for (const auto& send : Collect<send_peer_effect>()) {
      if (const auto* body = std::get_if<Body>(&send.body)) {
        result.emplace_back(send, *body);
      }
    }
    return result;
  }

  peer_message From(host_ref sender) const {
    peer_message message;
    message.from = sender;
    message.from_address =
        "127.0.0.1:" + std::to_string(7000 + Raw(sender.host));
    return message;
  }

  time_point now{std::chrono::seconds(100)};
  std::vector<member_record> members;
  std::shared_ptr<const topology> map;
  std::shared_ptr<const contract_set> contracts;
  ownership owners;
  admission admission_control{1};
  limit_share shares;
  admission_refusal refused;
  effect_list effects;
};

}  // namespace corianderrail
