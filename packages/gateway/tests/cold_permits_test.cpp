/** @file cold_permits_test.cpp Cold time, permits, and a gateway with both. */

#include "gateway/leafs/cold_permits.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/tests/gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr time_point kStart{seconds(50)};

/** Six zones in three regions, with two strong hosts in each zone. */
class six_zones_fixture {
 protected:
  six_zones_fixture() {
    for (int i = 0; i < 6; ++i) {
      regions_["z" + std::to_string(i)] = "r" + std::to_string(i / 2);
    }
    service_.name = "s";
    leaf_.record.service = "s";
    leaf_.record.zone = "z0";
    leaf_.cold.OnStated(minutes(5), kStart);
  }

  std::unique_ptr<cold_permits> Host(const std::string& zone) {
    auto host = std::make_unique<cold_permits>(
        location{zone, regions_.at(zone), regions_});
    host->Configure({1.5, 5, seconds(6)});
    host->SetServices(std::span(&service_, 1));
    return host;
  }

  static std::vector<zone_host> Zone(std::uint64_t self) {
    std::vector<zone_host> hosts;
    for (std::uint64_t id = 0; id < 14; ++id) {
      hosts.push_back({host_id{id}, id < 2 ? 500u : 120u, false, id == self});
    }
    return hosts;
  }

  std::map<std::string, std::string, std::less<>> regions_;
  upstream_service service_;
  leaf_state leaf_;
};

/** A gateway whose service "plain" tolerates one request a second at a cold
 *  leaf; its bound is 6, and this host holds 2 permits for a leaf in its zone.
 */
class cold_fixture : public gateway_fixture {
 protected:
  cold_fixture() { Start(1, {{host_id{1}, 500, false, true}}); }

  void Start(double cold_per_second, std::vector<zone_host> hosts) {
    gateway_settings settings;
    settings.cold = {1.5, 5, seconds(6)};
    Build(settings);
    auto config = Config();
    config->services.back().cold_time = seconds(8);
    config->services.back().cold_per_second = cold_per_second;
    for (route& one : config->routes) {
      one.timeout = seconds(10);
      one.objective = seconds(8);
    }
    Configure(config);
    Reduce(fleet_event{2, 2, true, {1, 1}, {1, 1}, std::move(hosts)});
    AdvanceTime(seconds(4));
  }

  void RegisterCold(const std::string& zone) {
    leaf_record leaf = Leaf("plain", zone);
    leaf.slots = 8;
    leaf.cold_left = seconds(60);
    Register(leaf);
  }
  void RegisterWarm(const std::string& zone) {
    leaf_record leaf = Leaf("plain", zone);
    leaf.slots = 8;
    Register(leaf);
  }

  /** Requests that were sent to the leaf in a zone. */
  std::vector<send_leaf_effect> SendsTo(const std::string& zone) {
    std::vector<send_leaf_effect> found;
    for (const auto& one : DrainSends()) {
      if (one.instance == "plain@" + zone) found.push_back(one);
    }
    return found;
  }

  bool Logged(decision kind) const {
    return std::any_of(gateway_fixture::Logged().begin(),
                       gateway_fixture::Logged().end(),
                       [&](const log_effect& one) { return one.kind == kind; });
  }
};

}  // namespace

// Guards against permits that exceed the bound when one host of each zone is
// cut off and holds what it can hold at most.
TEST_CASE_METHOD(six_zones_fixture, "Plan_AnyBound_KeepsAReserve") {
  const location here{"z0", "r0", regions_};
  for (std::uint32_t bound = 0; bound < 500; ++bound) {
    for (const char* leaf_zone : {"z0", "z3", "unknown"}) {
      const permit_plan plan(here, bound, leaf_zone);
      std::uint32_t total = 0;
      std::uint32_t cut_off = 0;
      for (const auto& [zone, region] : regions_) {
        const std::uint32_t share = plan.ZoneShare(zone);
        total += share;
        cut_off += permit_plan::HostShare(share, 0);
        CHECK(permit_plan::HostShare(share, 0) +
                  permit_plan::HostShare(share, 1) ==
              share);
      }
      CHECK(total <= bound - bound / 4);
      CHECK(total + cut_off <= bound);
    }
  }
}

// Guards against a zone that comes back and starves because the hosts that get
// requests hold too few permits for its cold leafs.
TEST_CASE_METHOD(six_zones_fixture, "Zone_ComesBack_GetsHalfOfTheBound") {
  service_.cold_per_second = GENERATE(2.0, 5.0, 10.0, 40.0, 200.0);
  struct entry_host {
    std::unique_ptr<cold_permits> permits;
    leaf_state leaf;
    std::vector<time_point> ends;  ///< Of its open requests.
  };
  std::vector<entry_host> hosts;
  for (const auto& [zone, region] : regions_) {
    for (std::uint64_t id = 0; id < 2; ++id) {
      entry_host& host = hosts.emplace_back();
      host.permits = Host(zone);
      host.leaf.record = leaf_.record;
      host.leaf.cold = leaf_.cold;
      // The hosts of the zone have lost power too and start now.
      const time_point started = zone == "z0" ? kStart : kStart - minutes(1);
      host.permits->SetHosts(Zone(id), started);
    }
  }
  std::uint32_t sent = 0;
  const time_point begin = kStart + kHoldTime;
  const time_point end = begin + seconds(20);
  for (time_point now = begin; now < end; now += milliseconds(10)) {
    for (entry_host& host : hosts) {
      std::erase_if(host.ends, [&](time_point at) {
        if (at <= now) host.permits->OnEnded(host.leaf, now);
        return at <= now;
      });
      const auto held = host.permits->Held(host.leaf, now);
      REQUIRE(held);
      while (host.ends.size() + host.leaf.permits.Resting(now) < *held) {
        host.ends.push_back(now + milliseconds(120));
        ++sent;
      }
    }
  }
  INFO("bound " << hosts[0].permits->Bound("s") << ", sent in 20 s " << sent);
  CHECK(sent >= 20 * hosts[0].permits->Bound("s") / 2);
}

// Guards against hosts that use a permit while its former holder may still do
// so: a new process, a host that is not seen, or one that stops as planned.
TEST_CASE("Order_HostsComeAndGo_GainsAreDelayedAndLossesAreNot") {
  permit_order order;
  order.SetPlannedStop(seconds(6));
  const zone_host self{host_id{2}, 100, false, true};
  const zone_host strong{host_id{1}, 500, false, false};
  zone_host leaving = strong;
  leaving.leaving = true;
  order.Update(std::vector{self}, kStart);
  CHECK_FALSE(order.Position(kStart + milliseconds(2999)));
  CHECK(order.Position(kStart + seconds(3)) == 0u);
  order.Update(std::vector{strong, self}, kStart + seconds(4));
  CHECK(order.Position(kStart + seconds(4)) == 1u);
  order.Update(std::vector{self}, kStart + seconds(5));
  CHECK(order.Position(kStart + minutes(10)) == 1u);
  CHECK(order.Position(kStart + minutes(10) + seconds(6)) == 1u);
  CHECK(order.Position(kStart + minutes(10) + seconds(10)) == 0u);
  const time_point back = kStart + minutes(11);
  order.Update(std::vector{strong, self}, back);
  order.Update(std::vector{leaving, self}, back + seconds(1));
  order.Update(std::vector{self}, back + seconds(3));
  CHECK(order.Position(back + seconds(8)) == 1u);
  CHECK(order.Position(back + seconds(11)) == 0u);
}

// Guards against leafs that get their usual load while they are cold, and
// against warm leafs that are spared after each start of a host.
TEST_CASE("ColdTime_SeveralSources_LatestEndApplies") {
  const duration length = seconds(8);
  cold_time started;
  started.OnStarted(kStart);
  started.OnEntry(seconds(2), kStart, kStart);
  CHECK(started.Until(length) == kStart + seconds(8));
  started.OnStated(seconds(20), kStart);
  CHECK(started.Until(length) == kStart + seconds(20));
  cold_time warm;
  warm.OnStarted(kStart);
  warm.OnEntry({}, kStart, kStart);
  CHECK(warm.Until(length) <= kStart);
  warm.OnEvacuationEnd(kStart + seconds(10));
  const duration none{};
  // This entry may have been written during the evacuation.
  warm.OnEntry(none, kStart + seconds(9), kStart + seconds(11));
  CHECK(warm.Until(length) == kStart + seconds(18));
  warm.OnEntry(none, kStart + seconds(10), kStart + seconds(12));
  CHECK(warm.Until(length) <= kStart + seconds(12));
}

// Guards against a limit where the configuration or the settings ask for none.
TEST_CASE_METHOD(cold_fixture, "ColdLeaf_NoRateConfigured_GetsAllRequests") {
  Start(0, {{host_id{1}, 500, false, true}});
  RegisterCold("a-1");
  for (int i = 0; i < 6; ++i) Request("/read/1");
  CHECK(SendsTo("a-1").size() == 6);
  CHECK(Core().ColdLeafs() == 0);
}

// Guards against a cold leaf that gets more than the permits of this host while
// another leaf has capacity, and against use without count and log.
TEST_CASE_METHOD(cold_fixture, "ColdLeaf_PermitsInUse_RequestsGoElsewhere") {
  RegisterCold("a-1");
  RegisterWarm("b-1");
  AdvanceTime(milliseconds(200));
  for (int i = 0; i < 6; ++i) Request("/read/1");
  const auto sends = DrainSends();
  CHECK(sends.size() == 6);
  const auto cold = std::count_if(
      sends.begin(), sends.end(),
      [](const auto& one) { return one.instance == "plain@a-1"; });
  CHECK(cold <= 2);
  CHECK(Core().Counters().cold_requests == static_cast<std::uint64_t>(cold));
  CHECK(Core().Counters().permit_skips > 0);
  CHECK(Core().ColdLeafs() == 1);
  CHECK(Logged(decision::leaf_cold));
  AdvanceTime(seconds(61));
  CHECK(Logged(decision::leaf_warm));
}

// Guards against a part that is forgotten until its deadline, or sent within a
// second after the request that used its permit before.
TEST_CASE_METHOD(cold_fixture, "Part_WaitsForPermit_IsSentWhenOneIsFree") {
  RegisterCold("a-1");
  for (int i = 0; i < 2; ++i) Request("/read/1");
  const auto first = SendsTo("a-1");
  REQUIRE(first.size() == 2);
  AdvanceTime(milliseconds(130));
  const exchange_id waiting = Request("/read/1");
  CHECK(DrainSends().empty());
  CHECK(AnswerOf(waiting) == nullptr);
  Reply(first[0], Success(first[0]));
  AdvanceTime(milliseconds(999));
  CHECK(DrainSends().empty());
  AdvanceTime(milliseconds(1));
  CHECK(SendsTo("a-1").size() == 1);
}

// Guards against permits that are free at once after a failed or canceled
// request, which may have reached the leaf.
TEST_CASE_METHOD(cold_fixture, "Permit_RequestFailedOrCanceled_RestsASecond") {
  RegisterCold("a-1");
  const exchange_id canceled = Request("/read/1");
  Request("/read/1");
  const auto first = SendsTo("a-1");
  REQUIRE(first.size() == 2);
  Disconnect(canceled);
  Fail(first[1], leaf_failure::broken);
  // While one request waits, a second one would be refused on arrival.
  Request("/read/1");
  AdvanceTime(milliseconds(999));
  CHECK(DrainSends().empty());
  AdvanceTime(milliseconds(1));
  CHECK(SendsTo("a-1").size() == 1);
  Request("/read/1");
  CHECK(SendsTo("a-1").size() == 1);
}

// Guards against requests that wait for their whole deadline at a host that can
// never send them.
TEST_CASE_METHOD(cold_fixture, "Service_OnlyColdAndNoPermit_IsRefusedAtOnce") {
  Start(1, {{host_id{1}, 500, false, false},
            {host_id{2}, 500, false, false},
            {host_id{3}, 500, false, true}});
  RegisterCold("a-1");
  const exchange_id refused = Request("/read/1");
  REQUIRE(AnswerOf(refused) != nullptr);
  CHECK(AnswerOf(refused)->status == 503);
  CHECK(AnswerOf(refused)->retry_after > duration{});
  CHECK(DrainSends().empty());
}

// Guards against requests that wait for their whole deadline although the
// permits of this host rest for longer.
TEST_CASE_METHOD(cold_fixture, "Service_PermitsFreeTooLate_IsRefusedAtOnce") {
  RegisterWarm("a-1");
  for (int i = 0; i < 20; ++i) {  // Answers usually take 5 ms.
    Request("/read/1");
    AdvanceTime(milliseconds(5));
    for (const auto& one : SendsTo("a-1")) Reply(one, Success(one));
  }
  AdvanceTime(seconds(2));
  RegisterCold("a-1");
  for (int i = 0; i < 2; ++i) Request("/read/1");
  const auto first = SendsTo("a-1");
  REQUIRE(first.size() == 2);
  const exchange_id refused = Request("/read/1", milliseconds(900));
  REQUIRE(AnswerOf(refused) != nullptr);
  CHECK(AnswerOf(refused)->status == 503);
  CHECK(AnswerOf(refused)->retry_after > duration{});
  Reply(first[0], Success(first[0]));
  AdvanceTime(milliseconds(500));
  const exchange_id waits = Request("/read/1", milliseconds(9000));
  CHECK(AnswerOf(waits) == nullptr);
  AdvanceTime(milliseconds(500));
  CHECK(SendsTo("a-1").size() == 1);
}

// Guards against repeats that reach a cold leaf without a permit.
TEST_CASE_METHOD(cold_fixture, "Repeat_ColdLeafWithoutPermit_IsNotSentThere") {
  Start(1, {{host_id{1}, 500, false, false},
            {host_id{2}, 500, false, false},
            {host_id{3}, 500, false, true}});
  RegisterCold("a-1");
  RegisterWarm("b-1");
  for (int i = 0; i < 4; ++i) Request("/read/1");
  const auto first = SendsTo("b-1");
  REQUIRE(first.size() == 4);
  for (const auto& one : first) Fail(one, leaf_failure::broken);
  AdvanceTime(seconds(2));  // Also hedges.
  CHECK(SendsTo("a-1").empty());
}

// Guards against a leaf that states that it is cold and is not believed until
// its entry changes.
TEST_CASE_METHOD(cold_fixture, "Leaf_StatesThatItIsCold_IsLimitedAtOnce") {
  RegisterWarm("a-1");
  Request("/read/1");
  const auto first = SendsTo("a-1");
  REQUIRE(first.size() == 1);
  leaf_answer answer = Success(first[0]);
  answer.cold_left = seconds(5);
  Reply(first[0], answer);
  for (int i = 0; i < 4; ++i) Request("/read/1");
  // The answered request counts as one of the two permits.
  CHECK(SendsTo("a-1").size() == 1);
}

// Guards against the usual load on the leafs of a zone whose evacuation has
// just ended.
TEST_CASE_METHOD(cold_fixture, "Evacuation_Ends_LeafsOfTheZoneAreCold") {
  RegisterWarm("a-1");
  RegisterWarm("b-1");
  Core().OnEvacuationEnd("a-1", Now());
  AdvanceTime(milliseconds(100));
  CHECK(Core().ColdLeafs() == 1);
  AdvanceTime(seconds(9));
  CHECK(Core().ColdLeafs() == 0);
}

// Guards against requests for the previous process of a leaf that wait for a
// connection and then count at the new one.
TEST_CASE_METHOD(cold_fixture, "Leaf_Restarts_WaitingRequestsAreWithdrawn") {
  leaf_record leaf = Leaf("plain", "a-1");
  leaf.born_unix_ms = 1;
  Register(leaf);
  Request("/read/1");
  const auto first = SendsTo("a-1");
  REQUIRE(first.size() == 1);
  leaf.born_unix_ms = 2;
  leaf.cold_left = seconds(8);
  Register(leaf);
  CHECK(std::any_of(Stops().begin(), Stops().end(), [&](const auto& one) {
    return one.leaf == first[0].leaf && one.send_before <= Now();
  }));
}

}  // namespace corianderrail::gateway
