/** @file connection_test.cpp Connections to leafs, also of a cold fleet. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "flood_simulation.h"
#include "gateway/hosts/fleet_view.h"
#include "gateway/leafs/connection_warmup.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

/** Hosts of which each zone has a third, all started at the same moment. */
class cold_fleet_fixture {
 protected:
  static constexpr std::size_t kUrgent = 0;
  static constexpr std::size_t kNormal = 1;

  /** Resets over all leafs that are acceptable after a start. */
  static constexpr std::uint64_t kMaxResets = 500;

  /** Time in which all hosts start. */
  static constexpr duration kStartSpread = milliseconds(300);

  /** Requests that were interrupted by the power loss and come again. */
  static constexpr std::size_t kInterrupted = 200;

  /** Capacity of each leaf. */
  struct leaf_size {
    std::uint32_t slots;
    std::uint32_t queue;
    std::uint32_t max_connections;
  };

  static flood_setup Setup(std::uint32_t hosts, const leaf_size& leafs) {
    flood_setup setup;
    setup.hosts = hosts;
    setup.slots = leafs.slots;
    setup.queue = leafs.queue;
    setup.max_connections = leafs.max_connections;
    setup.one_way = milliseconds(8);
    setup.cold_start = true;
    setup.stale_connections = 12;
    flood_kind urgent;
    urgent.name = "urgent";
    urgent.work = std::chrono::microseconds(2500);
    urgent.objective = milliseconds(80);
    urgent.time_limit = milliseconds(1200);
    urgent.per_second = 35;
    for (int i = 0; i < 36; ++i) {
      urgent.services.push_back("s" + std::to_string(i));
    }
    urgent.min_shard_ratio = 0.85;
    flood_kind normal = urgent;
    normal.name = "normal";
    normal.rank = 1;
    normal.work = std::chrono::microseconds(7500);
    normal.objective = milliseconds(100);
    normal.time_limit = milliseconds(1500);
    normal.per_second = 106;
    normal.min_shard_ratio = 0.95;
    setup.kinds = {urgent, normal};
    return setup;
  }

  static double ShareOnTime(const flood_result& result) {
    return result.on_time / static_cast<double>(result.offered);
  }

  /** Starts the hosts and lets them serve the interrupted requests and the
   *  usual ones. */
  static void CheckStart(std::uint32_t hosts, const leaf_size& leafs) {
    flood_simulation simulation(Setup(hosts, leafs), 11);
    simulation.SendAtOnce(kNormal, kInterrupted);
    simulation.SendToEachHost(kUrgent, kStartSpread);
    const auto results = simulation.Run({1, 1}, milliseconds(600), seconds(3));
    CHECK(simulation.Resets() < kMaxResets);
    CHECK(ShareOnTime(results[kUrgent]) >= 0.95);
    CHECK(ShareOnTime(results[kNormal]) >= 0.95);
  }
};

}  // namespace

// Guards against leafs at their connection limit after all hosts lost power,
// because each host takes the limits of the leafs for itself.
TEST_CASE_METHOD(cold_fleet_fixture, "ColdFleet_8Hosts_LeafsResetFew") {
  CheckStart(8, {4, 24, 66});
}
TEST_CASE_METHOD(cold_fleet_fixture, "ColdFleet_68Hosts_LeafsResetFew") {
  CheckStart(68, {4, 24, 66});
}
TEST_CASE_METHOD(cold_fleet_fixture, "ColdFleet_300Hosts_LeafsResetFew") {
  CheckStart(300, {7, 42, 195});
}

// Guards against a start in which hosts without clients connect to all leafs.
TEST_CASE("Warmup_ProcessJustStarted_TakesNone") {
  connection_warmup warmup;
  const time_point started(seconds(100));
  warmup.Add(leaf_handle{1}, true);
  CHECK(warmup.Take(started, started + milliseconds(4900)).empty());
  CHECK(warmup.Take(started, started + milliseconds(5100)).size() == 1);
  CHECK(warmup.Size() == 0);
}

// Guards against a burst of handshakes when a host becomes an entry host, and
// against far leafs before near ones.
TEST_CASE("Warmup_ManyLeafs_TakesNearOnesFirstInBatches") {
  connection_warmup warmup;
  for (std::uint32_t i = 0; i < 100; ++i) {
    warmup.Add(leaf_handle{i}, i >= 80);
    warmup.Add(leaf_handle{i}, i >= 80);
  }
  const time_point now(seconds(100));
  const auto first = warmup.Take({}, now);
  CHECK(first.size() <= 20);
  CHECK(std::all_of(first.begin(), first.end(), [](leaf_handle leaf) {
    return static_cast<std::uint32_t>(leaf) >= 80;
  }));
  std::size_t taken = first.size();
  for (int i = 0; i < 20; ++i) taken += warmup.Take({}, now).size();
  CHECK(taken == 100);
}

// Guards against a host that takes the limits of all leafs for itself because
// it knows no other host yet.
TEST_CASE("Fleet_OnlySelfKnown_AssumesEntriesInAllZones") {
  const location here{
      "a1", "a", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}}};
  fleet_view view(here, "10.0.0.1:1", {2});
  member_record self;
  self.peer_address = "10.0.0.1:1";
  self.caller_address = self.peer_address;
  self.zone = "a1";
  self.region = "a";
  self.ready = true;
  const auto event = view.Update(std::vector{self}, true);
  CHECK(event.is_entry);
  CHECK(event.entries == 8);
  CHECK(event.hosts == 8);
  CHECK(event.own_region.near_hosts == 4);
  CHECK(event.own_region.far_hosts == 4);
  self.ready = false;
  CHECK_FALSE(view.Update(std::vector{self}, true).is_entry);
  CHECK(view.Update(std::vector{self}, false).own_region.near_hosts == 1);
}

// Guards against each request trying a leaf that accepts no connection.
TEST_CASE_METHOD(gateway_fixture,
                 "Leaf_AtConnectionLimit_IsTriedAgainOnlyAfterAPause") {
  Configure(Config());
  RegisterAll({"a-1", "b-1"});
  Request("/read/x");
  const auto refused = DrainSends();
  REQUIRE(refused.size() == 1);
  const leaf_handle full = refused[0].leaf;
  Fail(refused[0], leaf_failure::full);
  for (int i = 0; i < 5; ++i) Request("/read/x");
  for (const auto& send : DrainSends()) {
    CHECK(send.leaf != full);
    Reply(send, Success(send));
  }
  AdvanceTime(milliseconds(900));
  bool tried = false;
  for (int i = 0; i < 5; ++i) Request("/read/x");
  for (const auto& send : DrainSends()) tried |= send.leaf == full;
  CHECK(tried);
}

// Guards against parts that wait until their deadline for a leaf that was at
// its connection limit for a moment.
TEST_CASE_METHOD(gateway_fixture,
                 "Leaf_OnlyOneAndAtConnectionLimit_RequestIsSentAfterAPause") {
  Configure(Config());
  Register(Leaf("plain", "a-1"));
  Request("/read/x");
  const auto first = DrainSends();
  REQUIRE(first.size() == 1);
  Fail(first[0], leaf_failure::full);
  CHECK(DrainSends().empty());
  AdvanceTime(milliseconds(250));
  CHECK(DrainSends().size() == 1);
}

// Guards against refusing a request only because this host held it too long
// while it started.
TEST_CASE_METHOD(gateway_fixture, "Request_HeldPastItsObjective_IsServedLate") {
  Build({});
  std::vector<exchange_id> held;
  held.reserve(8);
  for (int i = 0; i < 8; ++i) held.push_back(Request("/query/x"));
  AdvanceTime(milliseconds(200));
  Configure(Config());
  complete = false;
  RegisterAll({"a-1"});
  complete = true;
  Register(Leaf("plain", "b-1"));
  CHECK(DrainSends().size() < 4 * held.size());  // The other parts wait.
  for (const exchange_id one : held) CHECK(AnswerOf(one) == nullptr);
}

// Guards against a large fleet whose idle hosts fill each leaf with
// connections, so that the leaf resets those of the hosts that serve clients.
TEST_CASE_METHOD(gateway_fixture,
                 "Send_IdleHostOfLargeFleet_KeepsNoConnection") {
  Configure(Config());
  RegisterAll({"a-1"});
  const auto keeps = [&](std::uint32_t hosts, bool is_entry) {
    Reduce(fleet_event{hosts, 2, is_entry, {1, 1}, {1, 1}});
    Request("/read/x");
    const auto sends = DrainSends();
    REQUIRE(sends.size() == 1);
    Reply(sends[0], Success(sends[0]));
    return sends[0].keep_idle;
  };
  CHECK(keeps(6, false));
  CHECK_FALSE(keeps(24, false));  // The leafs accept 24 connections.
  CHECK(keeps(24, true));
}

// Guards against hosts that use processor time while they have nothing to do:
// most hosts of a large fleet take no clients.
TEST_CASE_METHOD(gateway_fixture, "Gateway_NothingToDo_WakesOnceASecond") {
  Configure(Config());
  RegisterAll({"a-1", "b-1"});
  AdvanceTime(seconds(10));
  const auto wakes_in = [&](duration length) {
    const time_point end = Now() + length;
    int wakes = 0;
    for (; Core().NextWake() <= end; ++wakes) {
      AdvanceTime(Core().NextWake() - Now());
    }
    AdvanceTime(end - Now());
    return wakes;
  };
  CHECK(wakes_in(seconds(10)) <= 11);
  // A leaf that has to be probed is checked soon.
  refuse_connections = true;
  Request("/read/x");
  Fail(DrainSends().at(0), leaf_failure::not_sent);
  const std::size_t before = Connects().size();
  AdvanceTime(milliseconds(600));
  CHECK(Connects().size() > before);
}

}  // namespace corianderrail::gateway
