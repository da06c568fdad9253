/** @file membership_fleet_test.cpp Tests of membership with several hosts. */

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "support/fleet_host.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Runs until all member tables are correct. @return The time that it took. */
duration TimeToConverge(test_fleet& fleet, duration limit) {
  const time_point start = fleet.net.Now();
  while (fleet.net.Now() < start + limit) {
    if (fleet.Converged()) break;
    fleet.Run(milliseconds(50));
  }
  return fleet.net.Now() - start;
}

// Guards against hosts that join through a seed and never discover each other.
TEST_CASE("Membership_ThirtyTwoHostsAtLoss_Converge") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    test_fleet fleet(32, {0.05}, seed);
    fleet.StartAll();
    CHECK(TimeToConverge(fleet, seconds(20)) < seconds(15));
  }
}

// Guards against a failed host that stays in a member table longer than 5 s.
TEST_CASE("Membership_HostFails_GoneFromAllViewsWithinFiveSeconds") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    test_fleet fleet(8, {0.05}, seed);
    fleet.StartAll();
    fleet.Run(seconds(10));
    REQUIRE(fleet.Converged());
    fleet.Stop(seed % 8);
    CHECK(TimeToConverge(fleet, seconds(10)) <= seconds(5));
  }
}

// Guards against the removal of a running host whose acknowledgements were
// lost.
TEST_CASE("Membership_FivePercentLoss_RemovesNoLiveHost") {
  std::size_t removals = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    test_fleet fleet(8, {0.05, 0.02}, seed);
    fleet.StartAll();
    fleet.Run(seconds(10));
    REQUIRE(fleet.Converged());
    fleet.Run(std::chrono::minutes(5), [&] {
      for (const auto& [address, host] : fleet.hosts) {
        for (const std::string& other : fleet.addresses) {
          if (host->StateOf(other) == member_state::gone) ++removals;
        }
      }
    });
  }
  CHECK(removals == 0);
}

// Guards against a host that does not refute a wrong record of itself.
TEST_CASE("Membership_ClaimedGone_RefutesWithHigherVersion") {
  test_fleet fleet(3, {}, 1);
  fleet.StartAll();
  fleet.Run(seconds(5));
  fleet_host& victim = fleet.At(2);
  probe claim;
  member_record record = victim.members.Self();
  record.state = member_state::gone;
  claim.updates.push_back(record);
  effect_list effects;
  peer_message message = fleet.At(0).Envelope({{}, "", {}, claim});
  victim.Receive(message, fleet.net.Now(), effects);
  CHECK(victim.members.Self().version > record.version);
  CHECK(victim.members.Self().state == member_state::alive);
}

// Guards against a host that cannot rejoin because the clock of its
// incarnations went back, so that its records never take precedence.
TEST_CASE("Membership_LowerIncarnationAfterRestart_RejoinsTheFleet") {
  test_fleet fleet(4, {}, 1);
  fleet.StartAll();
  fleet.Run(seconds(5));
  probe claim;
  member_record record = fleet.At(2).members.Self();
  record.ref.incarnation = incarnation_id{1000};
  claim.updates.push_back(record);
  effect_list effects;
  const peer_message message = fleet.At(0).Envelope({{}, "", {}, claim});
  fleet.At(1).Receive(message, fleet.net.Now(), effects);
  fleet.Run(seconds(10));
  CHECK(fleet.Converged());
  CHECK(fleet.At(2).members.Self().ref.incarnation > incarnation_id{1000});
}

// Guards against a wrong host list that removes hosts or stops the protocol.
TEST_CASE("Membership_EmptyStaleOrWrongHostList_RemovesNobody") {
  test_fleet fleet(8, {}, 2);
  fleet.StartAll();
  fleet.Run(seconds(10));
  fleet.service.hosts.clear();
  fleet.Run(seconds(40));
  CHECK(fleet.Converged());
  fleet.service.hosts = {{"10.9.9.9:1"}, {"no address"}, {"", true}};
  fleet.Run(seconds(40));
  CHECK(fleet.Converged());
}

// Guards against two halves that stay separate after a network partition ended.
TEST_CASE("Membership_PartitionHeals_ViewsMerge") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    test_fleet fleet(8, {0.05}, seed);
    fleet.StartAll();
    fleet.Run(seconds(10));
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.net.SetGroup(fleet.addresses[i], 1);
    }
    fleet.Run(seconds(60));
    CHECK(fleet.At(0).StateOf(fleet.addresses[7]) == member_state::gone);
    CHECK(fleet.At(0).StateOf(fleet.addresses[1]) == member_state::alive);
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.net.SetGroup(fleet.addresses[i], 0);
    }
    CHECK(TimeToConverge(fleet, seconds(60)) < seconds(30));
  }
}

// Guards against halves that stay separate after a network partition that
// lasted longer than gone members are kept.
TEST_CASE("Membership_LongPartitionHeals_ViewsMerge") {
  test_fleet fleet(6, {}, 3);
  fleet.StartAll();
  fleet.Run(seconds(10));
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.net.SetGroup(fleet.addresses[i], 1);
  }
  fleet.Run(std::chrono::minutes(8));
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.net.SetGroup(fleet.addresses[i], 0);
  }
  CHECK(TimeToConverge(fleet, seconds(90)) < seconds(60));
}

// Guards against a previous incarnation that hides the new one at its address.
TEST_CASE("Membership_RestartAtSameAddress_NewIncarnationReplacesOld") {
  test_fleet fleet(8, {}, 4);
  fleet.StartAll();
  fleet.Run(seconds(10));
  fleet.Stop(5);
  const host_ref fresh = fleet.Start(5).members.Self().ref;
  fleet.Run(seconds(3));
  for (const auto& [address, host] : fleet.hosts) {
    const member_record* seen = host->members.Find(fresh.host);
    REQUIRE(seen != nullptr);
    CHECK(seen->ref == fresh);
    CHECK(seen->state == member_state::alive);
  }
}

// Guards against a host that resumes after a pause and keeps its outdated
// member table or does not rejoin.
TEST_CASE("Membership_PauseOfSixtySeconds_HostRejoins") {
  test_fleet fleet(8, {0.05}, 5);
  fleet.StartAll();
  fleet.Run(seconds(10));
  fleet.net.Pause(fleet.addresses[3]);
  fleet.Run(seconds(60));
  CHECK(fleet.At(0).StateOf(fleet.addresses[3]) == member_state::gone);
  fleet.net.Resume(fleet.addresses[3]);
  CHECK(TimeToConverge(fleet, seconds(60)) < seconds(30));
}

// Guards against a leaving host that gets new work for more than 2 s.
TEST_CASE("Membership_HostLeaves_AllKnowWithinTwoSeconds") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    test_fleet fleet(8, {0.05}, seed);
    fleet.StartAll();
    fleet.Run(seconds(10));
    fleet.At(2).members.SetLeaving();
    fleet.Run(seconds(2));
    for (const auto& [address, host] : fleet.hosts) {
      CHECK(host->StateOf(fleet.addresses[2]) == member_state::leaving);
    }
  }
}

// Guards against a ready flag that reaches only the probed members.
TEST_CASE("Membership_HostBecomesReady_AllKnow") {
  test_fleet fleet(16, {0.05}, 6);
  fleet.StartAll();
  fleet.Run(seconds(10));
  fleet.At(9).members.SetReady(true);
  fleet.Run(seconds(5));
  const host_id host_nine = HostIdOf(fleet.addresses[9]);
  for (const auto& [address, host] : fleet.hosts) {
    CHECK(host->members.Find(host_nine)->ready);
  }
}

// Guards against a single host that never becomes confirmed.
TEST_CASE("Membership_NoOtherHostKnown_ConfirmsAlone") {
  test_fleet fleet(1, {}, 7);
  fleet.StartAll();
  fleet.Run(seconds(3));
  CHECK(fleet.At(0).members.Confirmed());
}

// Guards against a host that becomes confirmed alone before it retried the
// known peers.
TEST_CASE("Membership_KnownPeersSilent_ConfirmsOnlyAfterRetries") {
  test_fleet fleet(3, {}, 8);
  fleet.Start(0);
  fleet.Run(seconds(5));
  CHECK_FALSE(fleet.At(0).members.Confirmed());
  fleet.Run(seconds(10));
  CHECK(fleet.At(0).members.Confirmed());
}

// Guards against a host whose seeds are all replaced and that stays alone until
// it is restarted.
TEST_CASE("Membership_SeedsReplacedWhileAlone_AsksTheNewOnes") {
  member_record self;
  self.peer_address = "10.0.0.1:1";
  self.ref = {HostIdOf(self.peer_address), {}};
  membership_settings settings;
  settings.seeds = {"10.0.0.2:1"};
  membership members(self, settings, 9);
  effect_list effects;
  time_point now{seconds(50)};
  members.Start(now, effects);
  const std::vector<std::string> fresh = {"10.0.0.3:1", self.peer_address};
  members.SetSeeds(fresh);
  std::set<std::string> asked;
  const time_point end = now + seconds(30);
  while (now < end) {
    effects.clear();
    now = std::max(now + milliseconds(1), members.NextWake());
    members.OnTick(now, effects);
    for (const effect& one : effects) {
      if (const auto* send = std::get_if<send_peer_effect>(&one)) {
        asked.insert(send->address);
      }
    }
  }
  CHECK(asked.contains("10.0.0.3:1"));
  CHECK_FALSE(asked.contains(self.peer_address));
}

}  // namespace
}  // namespace corianderrail
