/** @file contract_fleet_test.cpp Tests of contract sync with several hosts. */

#include <catch2/catch.hpp>
#include <chrono>
#include <set>

#include "support/fleet_host.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Eight hosts with revision 1 in force. */
class contract_fleet_fixture {
 protected:
  explicit contract_fleet_fixture(double loss = 0.05) : fleet(8, {loss}, 1) {
    fleet.service.Publish(1, fleet.addresses, {{"acme/1", "100 10"}});
    fleet.service.Put("topology", "1");
    fleet.StartAll();
    fleet.Run(seconds(15));
  }

  duration TimeUntilAllAt(std::uint64_t revision, duration limit) {
    const time_point start = fleet.net.Now();
    while (!fleet.AllAt(revision) && fleet.net.Now() < start + limit) {
      fleet.Run(milliseconds(50));
    }
    return fleet.net.Now() - start;
  }

  void PublishSecond() {
    fleet.service.Publish(2, fleet.addresses, {{"acme/2", "50 10"}});
  }

  test_fleet fleet;
};

// Guards against a change that reaches only the readers or arrives late.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_ChangePublished_InForceEverywhereInTwoSeconds") {
  REQUIRE(fleet.AllAt(1));
  for (std::uint64_t revision = 2; revision < 22; ++revision) {
    fleet.service.Publish(revision, fleet.addresses,
                          {{"acme/" + std::to_string(revision), "100 10"}});
    CHECK(TimeUntilAllAt(revision, seconds(10)) <= seconds(2));
    fleet.Run(seconds(3));
  }
}

// Guards against a change that is lost while hosts restart.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_ThirdRestarts_InForceInFiveSeconds") {
  PublishSecond();
  for (std::size_t i = 0; i < 3; ++i) fleet.Stop(i);
  fleet.Run(milliseconds(200));
  for (std::size_t i = 0; i < 3; ++i) fleet.Start(i);
  CHECK(TimeUntilAllAt(2, seconds(20)) <= seconds(5));
}

// Guards against a revert when the service serves an older head.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_ServiceServesOlderHead_NeverReverts") {
  PublishSecond();
  TimeUntilAllAt(2, seconds(10));
  fleet.service.Put("contracts/head", "1");
  bool reverted = false;
  fleet.Run(seconds(60), [&] { reverted = reverted || !fleet.AllAt(2); });
  CHECK_FALSE(reverted);
}

// Guards against a restarted host that keeps the revision of an outdated head
// although its peers have a newer one.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_FreshHostAtStaleService_AdoptsPeerRevision") {
  PublishSecond();
  TimeUntilAllAt(2, seconds(10));
  fleet.service.Put("contracts/head", "1");
  fleet.Stop(4);
  fleet.Run(seconds(8));
  fleet.Start(4);
  CHECK(TimeUntilAllAt(2, seconds(20)) <= seconds(5));
}

// Guards against a restarted host that needs the service to start.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_ServiceDownForAnHour_FreshHostAsksPeers") {
  fleet.service.up = false;
  fleet.Run(std::chrono::hours(1));
  CHECK(fleet.AllAt(1));
  fleet.Stop(6);
  fleet.Run(seconds(1));
  fleet.Start(6);
  CHECK(TimeUntilAllAt(1, seconds(20)) <= seconds(5));
  CHECK(fleet.At(6).contracts.Topology() != nullptr);
}

// Guards against an invalid contract that stops a host, takes effect, or is
// missing from an audit trail.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_RefusedSet_AllAuditOnceAndKeepNewestValid") {
  fleet.service.Publish(2, fleet.addresses, {{"acme/2", "bad"}});
  fleet.Run(seconds(30));
  CHECK(fleet.AllAt(1));
  std::set<std::string> reasons;
  for (const auto& [address, host] : fleet.hosts) {
    std::size_t refusals = 0;
    for (const audit_entry& entry : host->audits) {
      if (entry.accepted) continue;
      ++refusals;
      reasons.insert(entry.reason);
      CHECK(entry.revision == revision_id{2});
    }
    CHECK(refusals == 1);
    CHECK_FALSE(host->contracts.Behind());
  }
  CHECK(reasons.size() == 1);
  fleet.service.Publish(3, fleet.addresses, {{"acme/3", "70 10"}});
  CHECK(TimeUntilAllAt(3, seconds(10)) <= seconds(2));
}

// Guards against an invalid head or topology that only the readers audit.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_RefusedHeadAndTopology_AllAuditOnce") {
  fleet.service.Put("contracts/head", "no number");
  fleet.service.Put("topology", "no number");
  fleet.Run(seconds(40));
  for (const auto& [address, host] : fleet.hosts) {
    std::multiset<std::string> reasons;
    for (const audit_entry& entry : host->audits) {
      if (!entry.accepted) reasons.insert(entry.reason);
    }
    CHECK(reasons ==
          std::multiset<std::string>{"head: no number", "topology: syntax"});
    CHECK(host->contracts.Topology()->version == 1);
  }
}

// Guards against hosts that cannot read the format of the newest documents and
// do not report it.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_NewerFormat_HostsReportTooOldUntilReplaced") {
  fleet.service.Publish(2, fleet.addresses, {{"acme/2", "format 2"}});
  fleet.Run(seconds(20));
  CHECK(fleet.AllAt(1));
  for (const auto& [address, host] : fleet.hosts) {
    CHECK(host->contracts.FormatTooOld());
  }
  fleet.service.Publish(3, fleet.addresses, {{"acme/3", "70 10"}});
  fleet.Run(seconds(20));
  CHECK(fleet.AllAt(3));
  CHECK_FALSE(fleet.At(0).contracts.FormatTooOld());
}

// Guards against hosts that revert during a network partition or stay behind
// after it.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_HalfCutOff_CatchesUpAndNeverReverts") {
  fake_service cut_off;
  cut_off.up = false;
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.net.SetGroup(fleet.addresses[i], 1);
    fleet.At(i).settings.service = &cut_off;
  }
  PublishSecond();
  fleet.Run(seconds(30));
  CHECK(fleet.At(7).Revision() == 2);
  CHECK(fleet.At(0).Revision() == 1);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.net.SetGroup(fleet.addresses[i], 0);
  }
  CHECK(TimeUntilAllAt(2, seconds(60)) <= seconds(30));
}

// Guards against a host that resumes after a pause and admits under its old
// revision although a message advertised a newer one.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ContractSync_PausedHostResumes_BehindUntilCaughtUp") {
  fleet.net.Pause(fleet.addresses[2]);
  fleet.Run(seconds(1));
  PublishSecond();
  fleet.Run(seconds(60));
  const peer_message newer = fleet.At(0).Envelope({{}, "", {}, probe{}});
  effect_list effects;
  fleet.At(2).Receive(newer, fleet.net.Now(), effects);
  CHECK(fleet.At(2).Revision() == 1);
  CHECK(fleet.At(2).contracts.Behind());
  fleet.net.Resume(fleet.addresses[2]);
  fleet.net.ApplyEffects(fleet.At(2), effects);
  CHECK(TimeUntilAllAt(2, seconds(10)) <= seconds(5));
  CHECK_FALSE(fleet.At(2).contracts.Behind());
}

// Guards against a fleet that makes more than one platform call per second,
// both in normal operation and while the service is down.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ConfigReader_EightHostsInThreeZones_AtMostOneCallPerSecond") {
  std::uint64_t before = fleet.service.calls;
  fleet.Run(seconds(1200));
  CHECK(fleet.service.calls - before <= 1200);
  fleet.service.up = false;
  fleet.Run(seconds(120));
  before = fleet.service.calls;
  fleet.Run(seconds(1200));
  CHECK(fleet.service.calls - before <= 1200);
}

// Guards against zones without a reader, and against hosts that all watch.
TEST_CASE_METHOD(contract_fleet_fixture,
                 "ConfigReader_ThreeZones_TwoReadersInEach") {
  std::map<std::string, int> readers;
  for (const auto& [address, host] : fleet.hosts) {
    if (host->reader.IsReader()) ++readers[host->settings.zone];
  }
  CHECK(readers ==
        std::map<std::string, int>{{"zone0", 2}, {"zone1", 2}, {"zone2", 2}});
}

}  // namespace
}  // namespace corianderrail
