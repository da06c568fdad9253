/** @file lifecycle_test.cpp Tests of host phases and address answers. */

#include "core/lifecycle.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <set>

#include "core/address_choice.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A lifecycle with all conditions for `ready` met. */
class lifecycle_fixture {
 protected:
  lifecycle_fixture() : phases({}, time_point{}) {
    inputs = {true, true, true, true, true, true, false};
  }

  bool Update() { return phases.Update(inputs, now, effects); }

  /** Advances the time in ticks, as the reducer does. */
  void Pass(duration span) {
    const time_point end = now + span;
    while (now < end) {
      now = std::min(phases.NextWake(), end);
      phases.ObserveClock(now);
      Update();
    }
  }

  lifecycle phases;
  lifecycle_inputs inputs;
  effect_list effects;
  time_point now{};
};

// Guards against a host that accepts requests before all conditions are met.
TEST_CASE_METHOD(lifecycle_fixture, "Lifecycle_AnyInputMissing_NotReady") {
  for (bool lifecycle_inputs::*input :
       {&lifecycle_inputs::contracts, &lifecycle_inputs::topology,
        &lifecycle_inputs::members, &lifecycle_inputs::reads_done,
        &lifecycle_inputs::format_ok, &lifecycle_inputs::shares}) {
    inputs.*input = false;
    CHECK_FALSE(Update());
    CHECK_FALSE(phases.AcceptsRequests());
    inputs.*input = true;
  }
  CHECK(Update());
  CHECK(phases.Phase() == host_phase::ready);
  CHECK(phases.AcceptsRequests());
}

// Guards against ready hosts that disappear from address answers during each
// change of contracts, members or shares.
TEST_CASE_METHOD(lifecycle_fixture,
                 "Lifecycle_ReadyHostFallsBehind_StaysReady") {
  Update();
  inputs.contracts = false;
  inputs.members = false;
  inputs.shares = false;
  CHECK_FALSE(Update());
  CHECK(phases.Phase() == host_phase::ready);
}

// Guards against a host that cannot read the newest documents and stays in
// address answers.
TEST_CASE_METHOD(lifecycle_fixture, "Lifecycle_FormatTooOld_LeavesReady") {
  Update();
  inputs.format_ok = false;
  CHECK(Update());
  CHECK_FALSE(phases.AcceptsRequests());
}

// Guards against a clock gap that is not detected, or detected more than once.
TEST_CASE_METHOD(lifecycle_fixture, "Lifecycle_ClockGap_ReportedOnce") {
  Update();
  now += seconds(60);
  CHECK(phases.ObserveClock(now));
  CHECK_FALSE(phases.ObserveClock(now));
  CHECK_FALSE(phases.AcceptsRequests());
  inputs.members = false;
  CHECK(Update());
  inputs.members = true;
  CHECK(Update());
  CHECK(phases.AcceptsRequests());
}

// Guards against an idle host that is mistaken for a paused one.
TEST_CASE_METHOD(lifecycle_fixture, "Lifecycle_IdleHost_WakesWithinTheGap") {
  Update();
  for (int i = 0; i < 100; ++i) {
    REQUIRE(phases.NextWake() <= now + milliseconds(500));
    now = phases.NextWake();
    REQUIRE_FALSE(phases.ObserveClock(now));
  }
}

// Guards against a stop that refuses callers whose address answers are still
// valid.
TEST_CASE_METHOD(lifecycle_fixture,
                 "Lifecycle_Stop_ServesUntilAnswersExpireThenStopsOnce") {
  Update();
  inputs.idle = true;
  phases.OnStop(now);
  CHECK(Update());
  CHECK(phases.Phase() == host_phase::draining);
  Pass(milliseconds(5900));
  CHECK(phases.AcceptsRequests());
  CHECK(effects.empty());
  inputs.idle = false;
  Pass(seconds(5));
  CHECK_FALSE(phases.AcceptsRequests());
  CHECK(effects.empty());
  inputs.idle = true;
  Pass(seconds(30));
  CHECK(phases.Phase() == host_phase::stopped);
  CHECK(effects.size() == 1);
}

// Guards against a drain that never ends because of one open request.
TEST_CASE_METHOD(lifecycle_fixture, "Lifecycle_NeverIdle_StopsAtDrainLimit") {
  Update();
  phases.OnStop(now);
  Pass(seconds(29));
  CHECK(effects.empty());
  Pass(seconds(2));
  CHECK(effects.size() == 1);
}

// Guards against a second stop that still waits for the drain.
TEST_CASE_METHOD(lifecycle_fixture,
                 "Lifecycle_SecondStop_StopsWithoutWaiting") {
  Update();
  inputs.idle = true;
  phases.OnStop(now);
  Update();
  phases.OnStop(now);
  CHECK(phases.StopAtOnce());
  CHECK(Update());
  CHECK(effects.size() == 1);
}

member_record Entry(std::uint64_t number, const std::string& zone,
                    const std::string& region) {
  member_record member;
  member.ref.host = host_id{number};
  member.zone = zone;
  member.region = region;
  member.ready = true;
  member.capacity = 1;
  member.caller_address = "c" + std::to_string(number);
  return member;
}

/** Six hosts in three zones. */
class address_fixture {
 protected:
  address_fixture() {
    for (std::uint64_t i = 0; i < 6; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 3));
      members.push_back(Entry(i + 1, zone, zone == "c" ? "far" : "near"));
    }
  }
  std::vector<entry_address> Choose(std::string_view customer,
                                    std::string_view zone) const {
    return ChooseAddresses(members, customer, zone, {});
  }
  std::vector<member_record> members;
};

// Guards against callers that are sent to distant hosts, and against answers
// with hosts of only one zone.
TEST_CASE_METHOD(address_fixture,
                 "AddressChoice_CallerInZone_OwnZoneFirstThenAnother") {
  const auto chosen = Choose("acme", "a");
  REQUIRE(chosen.size() == 3);
  CHECK(chosen[0].zone == "a");
  CHECK(chosen[1].zone == "a");
  CHECK(chosen[2].zone == "b");
}

// Guards against answers with hosts that do not accept requests.
TEST_CASE_METHOD(address_fixture, "AddressChoice_LeavingOrNotReady_NotChosen") {
  members[0].state = member_state::leaving;
  members[3].ready = false;
  members[1].state = member_state::suspect;
  for (const auto& one : Choose("acme", "a")) {
    CHECK(one.address != "c1");
    CHECK(one.address != "c4");
    CHECK(one.address != "c2");
  }
}

// Guards against answers with hosts that have no share of any rate limit, and
// against an empty answer when only such hosts are ready.
TEST_CASE_METHOD(address_fixture,
                 "AddressChoice_MembersWithoutSeat_OnlyWhenNoSeatIsReady") {
  const auto first_two = [](host_id host) { return Raw(host) <= 2; };
  auto entries = EntryMembers(members, first_two);
  REQUIRE(entries.size() == 2);
  CHECK(Raw(entries[0].ref.host) == 1);
  CHECK(Raw(entries[1].ref.host) == 2);
  members[0].ready = false;
  CHECK(EntryMembers(members, first_two).size() == 2);
  members[1].state = member_state::leaving;
  CHECK(EntryMembers(members, first_two).size() == 6);
  CHECK(EntryMembers(members, [](host_id) { return false; }).size() == 6);
}

// Guards against an empty answer while suspect hosts may still serve.
TEST_CASE_METHOD(address_fixture, "AddressChoice_OnlySuspects_AreChosen") {
  for (auto& one : members) one.state = member_state::suspect;
  CHECK(Choose("acme", "a").size() == 3);
}

// Guards against callers of one customer that are spread over all hosts, which
// would require leases between them.
TEST_CASE_METHOD(address_fixture, "AddressChoice_SameCustomer_SameFewHosts") {
  std::set<std::string> first;
  std::set<std::string> named;
  for (int i = 0; i < 50; ++i) {
    named.insert(Choose("acme", "")[0].address);
    first.insert(Choose("customer" + std::to_string(i), "")[0].address);
  }
  CHECK(named.size() == 1);
  CHECK(first.size() == 6);
}

}  // namespace
}  // namespace corianderrail
