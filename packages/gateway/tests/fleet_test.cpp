/** @file fleet_test.cpp Entry hosts, store sources, lag, load and shutdown. */

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/host_address.h"
#include "gateway/hosts/clock_gap.h"
#include "gateway/hosts/entry_choice.h"
#include "gateway/hosts/load_signal.h"
#include "gateway/leafs/connection_share.h"
#include "gateway/store/lag_detector.h"
#include "gateway/store/source_choice.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class fleet_fixture {
 public:
  /** Hosts a0 to a4 in zone a and b0 and b1 in zone b of region r, and c0 in
   *  zone c of region s. */
  fleet_fixture() {
    for (int i = 0; i < 5; ++i) Add("a" + std::to_string(i), "a", "r");
    for (int i = 0; i < 2; ++i) Add("b" + std::to_string(i), "b", "r");
    Add("c0", "c", "s");
  }

  void Add(const std::string& name, const std::string& zone,
           const std::string& region) {
    member_record member;
    member.peer_address = name;
    member.caller_address = name;
    member.ref.host = HostIdOf(name);
    member.zone = zone;
    member.region = region;
    member.capacity = 100;
    member.ready = true;
    members_.push_back(member);
  }

  member_record& Host(const std::string& name) {
    for (member_record& member : members_) {
      if (member.peer_address == name) return member;
    }
    throw std::out_of_range(name);
  }

  std::vector<std::string> Entries(const std::string& zone,
                                   const std::string& region) const {
    return ChooseEntries(members_, {zone, region, homes_}, {}, 64);
  }

 protected:
  std::vector<member_record> members_;
  std::vector<std::string> homes_;  ///< Of the routes; empty for none.
};

}  // namespace

// Guards against spreading few clients over so many hosts that none sends
// enough requests to detect a slow leaf.
TEST_CASE_METHOD(fleet_fixture, "Entries_HostsNotBusy_ReturnsFewStrongOnes") {
  Host("a3").capacity = 500;
  Host("a1").capacity = 400;
  const auto entries = Entries("a", "r");
  CHECK(entries == std::vector<std::string>{"a3", "a1"});
}

// Guards against using only busy hosts while others are idle.
TEST_CASE_METHOD(fleet_fixture, "Entries_HostsBusy_ReturnsMore") {
  Host("a3").capacity = 500;
  Host("a3").busy = true;
  Host("a1").capacity = 400;
  CHECK(Entries("a", "r").size() == 3);
  for (int i = 0; i < 5; ++i) Host("a" + std::to_string(i)).busy = true;
  CHECK(Entries("a", "r").size() == 5);
}

// Guards against sending all clients to the weak hosts that are ready first
// after the whole fleet was started.
TEST_CASE_METHOD(fleet_fixture, "Entries_FewReadyYet_ReturnsStrongOnes") {
  Host("a3").capacity = 500;
  Host("a1").capacity = 400;
  for (int i = 0; i < 5; ++i) Host("a" + std::to_string(i)).ready = false;
  Host("a2").ready = true;
  CHECK(Entries("a", "r") == std::vector<std::string>{"a3", "a1"});
  // A minority that cannot read the store is left out.
  for (int i = 0; i < 5; ++i) Host("a" + std::to_string(i)).ready = true;
  Host("a3").ready = false;
  CHECK(Entries("a", "r").front() == "a1");
}

// Guards against clients on all weak hosts while the store is unreachable for a
// fleet that has just started.
TEST_CASE_METHOD(fleet_fixture, "Entries_NoneReady_ReturnsFewStrongOnes") {
  for (member_record& member : members_) member.ready = false;
  Host("a3").capacity = 500;
  Host("a1").capacity = 400;
  CHECK(Entries("a", "r") == std::vector<std::string>{"a3", "a1"});
}

// Guards against clients that go to hosts without a leaf for them in reach,
// while hosts in a home region, or in their own one, take clients or will soon.
TEST_CASE_METHOD(fleet_fixture, "Entries_HomeRegions_GoBeforeOthers") {
  Add("d0", "d", "t");
  homes_ = {"t"};
  using addresses = std::set<std::string>;
  const auto entries = [&](const char* zone, const char* region) {
    const auto found = Entries(zone, region);
    return addresses(found.begin(), found.end());
  };
  CHECK(entries("x", "u") == addresses{"d0"});
  CHECK(entries("b", "r") == addresses{"b1", "b0"});
  CHECK(entries("e", "s") == addresses{"c0"});
  Host("c0").state = member_state::gone;
  CHECK(entries("e", "s") == addresses{"d0"});
  Host("d0").ready = false;
  CHECK(entries("e", "s") == addresses{"d0"});
  Host("d0").state = member_state::suspect;
  CHECK(entries("e", "s").size() == 7);
  for (member_record& member : members_) member.ready = member.zone == "b";
  CHECK(entries("e", "s") == addresses{"b1", "b0"});
  for (member_record& member : members_) member.state = member_state::suspect;
  CHECK(entries("e", "s") == addresses{"c0"});
  Host("c0").state = member_state::gone;
  CHECK(entries("e", "s") == addresses{"d0"});
  homes_.clear();
  for (member_record& member : members_) member.state = member_state::alive;
  CHECK(entries("e", "s") == addresses{"b1", "b0"});
}

// Guards against a starting host that names only itself, and against a lone
// host that never answers.
TEST_CASE("Lookup_NoOtherHostHeardYet_IsAnsweredAfterATime") {
  CHECK_FALSE(AnswersLookups(false, milliseconds(300)));
  CHECK(AnswersLookups(true, milliseconds(300)));
  CHECK(AnswersLookups(false, milliseconds(1000)));
}

// Guards against sending clients to stopping hosts, and against an empty
// answer.
TEST_CASE_METHOD(fleet_fixture, "Entries_ZoneLost_ReturnsRegionThenAll") {
  for (int i = 0; i < 5; ++i) {
    Host("a" + std::to_string(i)).state = member_state::leaving;
  }
  CHECK(Entries("a", "r") == std::vector<std::string>{"b0", "b1"});
  Host("b0").state = member_state::gone;
  Host("b1").ready = false;
  CHECK(Entries("a", "r") == std::vector<std::string>{"c0"});
  Host("c0").state = member_state::leaving;
  CHECK(Entries("a", "r") == std::vector<std::string>{"b1"});
}

// Guards against more than two readers of the store per zone, and against a
// zone without a reader.
TEST_CASE_METHOD(fleet_fixture, "Sources_AllHealthy_TwoReadersInEachZone") {
  std::map<std::string, int> readers;
  std::set<std::string> sources;
  for (const member_record& member : members_) {
    source_choice choice(member.ref.host, {});
    const auto source =
        choice.Choose(members_, member.zone, true, time_point(seconds(9)));
    if (!source) ++readers[member.zone];
    if (source) sources.insert(*source);
  }
  CHECK(readers == std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 1}});
  CHECK(sources.size() == 1);
}

// Guards against a configuration that takes many seconds to reach a large zone,
// because one weak host sends it to all others.
TEST_CASE_METHOD(fleet_fixture, "Sources_LargeZone_EachHostFeedsFewOthers") {
  for (int i = 5; i < 600; ++i) Add("a" + std::to_string(i), "a", "r");
  for (const char* name : {"a11", "a222", "a333"}) Host(name).capacity = 500;
  std::map<std::string, std::string> source_of;
  std::map<std::string, int> fed;
  for (const member_record& member : members_) {
    if (member.zone != "a") continue;
    source_choice choice(member.ref.host, {});
    const auto source =
        choice.Choose(members_, "a", true, time_point(seconds(9)));
    source_of[member.peer_address] = source.value_or("store");
    ++fed[source.value_or("store")];
  }
  CHECK(fed["store"] == 2);
  for (const auto& [host, count] : fed) CHECK(count <= 16);
  for (const auto& [host, source] : source_of) {
    if (source == "store") CHECK(Host(host).capacity == 500);
    int hops = 0;
    for (std::string at = host; at != "store"; at = source_of[at]) {
      REQUIRE(++hops <= 4);
    }
  }
}

// Guards against a zone without updates after its readers failed.
TEST_CASE_METHOD(fleet_fixture, "Sources_ReadersFail_NextHostReplacesThem") {
  const time_point now(seconds(9));
  for (const member_record& member : members_) {
    std::set<std::string> used;
    source_choice choice(member.ref.host, {});
    auto source = choice.Choose(members_, member.zone, true, now);
    while (source) {
      CHECK(used.insert(*source).second);
      choice.OnFailure(now);
      source = choice.Choose(members_, member.zone, true, now);
    }
    CHECK(choice.ReadsStore());
    CHECK(used.size() < 4);
  }
}

// Guards against a host without updates because the store rejects it and its
// zone has no other host.
TEST_CASE_METHOD(fleet_fixture, "Sources_StoreRejectsHost_ReadsFromAnyPeer") {
  const time_point now(seconds(9));
  source_choice choice(Host("c0").ref.host, {});
  CHECK_FALSE(choice.Choose(members_, "c", true, now));
  choice.OnFailure(now);
  CHECK(choice.Choose(members_, "c", true, now));
  CHECK_FALSE(choice.Choose(members_, "c", true, now + seconds(3)));
}

// Guards against hosts without items that wait for each other while the store
// returns.
TEST_CASE_METHOD(fleet_fixture,
                 "Sources_NobodyHasItems_ReadersKeepAskingStore") {
  const time_point now(seconds(9));
  for (const member_record& member : members_) {
    source_choice choice(member.ref.host, {});
    if (choice.Choose(members_, member.zone, false, now)) continue;
    choice.OnFailure(now);
    CHECK_FALSE(choice.Choose(members_, member.zone, false, now));
  }
}

// Guards against a starting fleet in which each host lists all items from the
// store, and against a host that never starts.
TEST_CASE_METHOD(fleet_fixture,
                 "Sources_FleetStarts_FewHostsReadTheStoreFirst") {
  for (int i = 5; i < 50; ++i) Add("a" + std::to_string(i), "a", "r");
  // Weak hosts wait for the strong ones.
  for (const char* name : {"a7", "a21", "b0", "b1"}) Host(name).capacity = 500;
  int at_once = 0;
  for (const member_record& member : members_) {
    source_choice choice(member.ref.host, {});
    const std::vector<member_record> alone{member};
    if (choice.MayStart(alone, member.zone, milliseconds(30))) ++at_once;
    CHECK(choice.MayStart(alone, member.zone, milliseconds(150)));
  }
  CHECK(at_once >= 1);
  CHECK(at_once <= 20);
}

// Guards against a restarted host that waits although its zone has readers.
TEST_CASE_METHOD(fleet_fixture, "Sources_PeersKnown_HostStartsAtOnce") {
  int at_once = 0;
  for (const member_record& member : members_) {
    if (member.zone != "a") continue;
    source_choice choice(member.ref.host, {});
    if (choice.MayStart(members_, "a", {})) ++at_once;
  }
  CHECK(at_once == 3);  // All but the two readers.
  Host("c0").revision = revision_id{4};
  source_choice choice(Host("a0").ref.host, {});
  CHECK(choice.MayStart(members_, "a", {}));
}

// Guards against asking a silent store while a peer elsewhere has the items.
TEST_CASE_METHOD(fleet_fixture, "Sources_OnePeerHasItems_StartingHostReadsIt") {
  const time_point now(seconds(9));
  Host("a4").revision = revision_id{7};
  source_choice choice(Host("c0").ref.host, {});
  CHECK_FALSE(choice.Choose(members_, "c", false, now));
  choice.OnFailure(now);
  CHECK(choice.Choose(members_, "c", false, now) == "a4");
  for (const char* name : {"a0", "a1", "a2", "a3"}) {
    source_choice near(Host(name).ref.host, {});
    const auto source = near.Choose(members_, "a", false, now);
    CHECK((!source || *source == "a4"));
  }
}

// Guards against a change that is known elsewhere, while a host tries one
// source after the other that misses it too, each for a second.
TEST_CASE_METHOD(fleet_fixture, "Sources_ChangeMissing_ReadsAHostThatHasIt") {
  const time_point now(seconds(99));
  for (member_record& member : members_) member.revision = revision_id{8};
  Host("c0").revision = revision_id{9};
  source_choice choice(Host("a1").ref.host, {});
  CHECK(choice.Choose(members_, "a", true, now, 9) == "c0");
  Host("a3").revision = revision_id{10};
  CHECK(choice.Choose(members_, "a", true, now, 9) == "a3");
  choice.OnFailure(now);
  CHECK(choice.Choose(members_, "a", true, now, 9) == "c0");
  choice.OnFailure(now);
  const auto usual = choice.Choose(members_, "a", true, now, 0);
  CHECK(choice.Choose(members_, "a", true, now, 9) == usual);
}

// Guards against hosts that read outdated items from each other in a loop.
TEST_CASE_METHOD(fleet_fixture, "Sources_ItemsTooOld_AreNotTrusted") {
  const time_point now(seconds(99));
  source_choice choice(Host("c0").ref.host, {});
  choice.Choose(members_, "c", true, now);
  choice.OnFailure(now);
  const auto first = choice.Choose(members_, "c", true, now);
  REQUIRE(first);
  choice.OnAnswer(seconds(8), now);
  CHECK(choice.Age(now) == seconds(8));
  CHECK(choice.Choose(members_, "c", true, now) != first);
}

// Guards against keeping a source that misses changes, and against switching
// the source while a change is still propagating.
TEST_CASE("Lag_ChangeMissing_IsOverdueAfterPropagationTime") {
  lag_detector lag;
  const time_point now(seconds(5));
  CHECK_FALSE(lag.Overdue(10, 10, now));
  CHECK_FALSE(lag.Overdue(10, 12, now));
  CHECK_FALSE(lag.Overdue(10, 12, now + milliseconds(900)));
  CHECK(lag.Overdue(10, 12, now + milliseconds(1000)));
  CHECK_FALSE(lag.Overdue(10, 12, now + milliseconds(1200)));
  CHECK(lag.Overdue(10, 12, now + milliseconds(2000)));
}

// Guards against a host that waits for a source which lost the store, although
// a peer has the change.
TEST_CASE("Lag_ItemsAreStale_IsOverdueAtOnce") {
  lag_detector lag;
  const time_point now(seconds(5));
  CHECK(lag.Overdue(10, 12, now, true));
  CHECK_FALSE(lag.Overdue(10, 12, now + milliseconds(300), true));
  CHECK(lag.Overdue(10, 12, now + milliseconds(400), true));
}

// Guards against a starting host that waits for a silent source although a peer
// has the items.
TEST_CASE("Lag_NothingKnown_IsOverdueSooner") {
  lag_detector lag;
  const time_point now(seconds(5));
  CHECK_FALSE(lag.Overdue(0, 12, now));
  CHECK_FALSE(lag.Overdue(0, 12, now + milliseconds(300)));
  CHECK(lag.Overdue(0, 12, now + milliseconds(400)));
}

// Guards against mistaking a series of changes for a source that misses them.
TEST_CASE("Lag_SeriesOfChanges_NoneIsOverdue") {
  lag_detector lag;
  time_point now(seconds(5));
  for (std::uint64_t revision = 10; revision < 100; ++revision) {
    now += milliseconds(100);
    CHECK_FALSE(lag.Overdue(revision - 5, revision, now));
  }
}

// Guards against a host that flaps between busy and not busy.
TEST_CASE("Load_UseBetweenLimits_KeepsItsState") {
  load_signal load({0.5, 0.5, 0.25, seconds(1)});
  time_point now(seconds(1));
  duration used{};
  const auto run = [&](double share, int steps) {
    bool busy = false;
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(100);
      used += duration(static_cast<duration::rep>(100'000 * 0.5 * share));
      busy = load.Update(used, now);
    }
    return busy;
  };
  CHECK_FALSE(run(0.4, 60));
  CHECK(run(0.9, 60));
  CHECK(run(0.4, 60));
  CHECK_FALSE(run(0.1, 60));
}

// Guards against a host that may not open any connection to a leaf.
TEST_CASE("Share_ManyHosts_IsNeverZero") {
  CHECK(ConnectionShare(25, {300, 3000}, true) == 1);
  CHECK(ConnectionShare(25, {2, 4}, true) == 6);
  CHECK(ConnectionShare(25, {2, 4}, false) == 5);
}

// Guards against a resumed host that serves with outdated state.
TEST_CASE("Clock_HostWasSuspended_GapIsReportedOnce") {
  const time_point start{seconds(50)};
  clock_gap gap(milliseconds(200));
  CHECK_FALSE(gap.Check(start));
  CHECK_FALSE(gap.Check(start + milliseconds(200)));
  const auto missing = gap.Check(start + milliseconds(4400));
  REQUIRE(missing);
  CHECK(*missing == milliseconds(4000));
  CHECK_FALSE(gap.Check(start + milliseconds(4600)));
}

// Guards against mistaking the delay of a busy host for a suspension.
TEST_CASE("Clock_HostIsBusy_IsNoGap") {
  const time_point start{seconds(50)};
  clock_gap gap(milliseconds(200));
  gap.Check(start);
  CHECK_FALSE(gap.Check(start + milliseconds(900)));
}

}  // namespace corianderrail::gateway
