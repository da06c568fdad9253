/** @file fleet_fault_test.cpp Tests of replaced and failing host processes. */

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <thread>

#include "process/address_client.h"
#include "process/test_fleet.h"

namespace corianderrail {
namespace {

// Guards against callers that are disconnected or refused while hosts are
// replaced, and against a replaced host that never becomes ready.
TEST_CASE("Fleet_RollingReplacementUnderLoad_NoRequestFails") {
  constexpr int kHosts = 8;
  test_fleet fleet(kHosts);
  REQUIRE(fleet.WaitUntilReady());
  address_client client(fleet.CallerAddress(0));
  for (int i = 0; i < kHosts; ++i) {
    INFO("host " << i);
    fleet.Host(i).Signal(SIGTERM);
    REQUIRE(fleet.Host(i).Wait() == 0);
    fleet.RestartHost(i);
    REQUIRE(fleet.WaitUntilReady());
  }
  const auto result = client.Finish();
  CHECK(result.answered > 20);
  INFO("first failure: " << result.first_failure);
  CHECK(result.failed == 0);
}

// Guards against a fresh host that does not get the revision in force from its
// peers while the configuration service is down.
TEST_CASE("Fleet_ServiceDownAndHostFresh_GetsRevisionFromPeers") {
  test_fleet fleet(3);
  REQUIRE(fleet.WaitUntilReady());
  fleet.Publish(2);
  REQUIRE(fleet.WaitUntilRevision(2));
  fleet.PlatformControl("down=1");
  fleet.Host(2).Signal(SIGKILL);
  fleet.Host(2).Wait();
  fleet.RestartHost(2);
  REQUIRE(fleet.WaitUntilReady());
  for (int i = 0; i < 3; ++i) CHECK(fleet.Revision(i) == 2);
  const auto reply = fleet.Query(2, 2);
  INFO(reply.body);
  CHECK(reply.code == 200);
}

// Guards against a host that reverts to an older revision when the
// configuration service serves an older head than the one in force.
TEST_CASE("Fleet_ServiceServesOlderHead_NoHostReverts") {
  test_fleet fleet(3);
  REQUIRE(fleet.WaitUntilReady());
  fleet.Publish(2);
  REQUIRE(fleet.WaitUntilRevision(2));
  fleet.PublishHead(1);
  fleet.Host(2).Signal(SIGKILL);
  fleet.Host(2).Wait();
  fleet.RestartHost(2);
  // The fresh host reads the older head. It must not become ready with it,
  // since its peers have a newer revision, and no other host may adopt it.
  const bool kept = Eventually([&] {
    CHECK(fleet.Revision(0) == 2);
    CHECK(fleet.Revision(1) == 2);
    return fleet.IsReady(2);
  });
  REQUIRE(kept);
  CHECK(fleet.Revision(2) == 2);
  REQUIRE(fleet.WaitUntilReady());
  for (int i = 0; i < 3; ++i) CHECK(fleet.Revision(i) == 2);
}

// Guards against a paused host that admits work under the revision from before
// its pause, although the request states that the caller has seen a newer
// revision.
TEST_CASE("Fleet_PausedHostResumes_AdmitsNothingUnderOlderRevision") {
  test_fleet fleet(3);
  REQUIRE(fleet.WaitUntilReady());
  fleet.Host(2).Signal(SIGSTOP);
  fleet.Publish(2);
  REQUIRE(Eventually(
      [&] { return fleet.Revision(0) == 2 && fleet.Revision(1) == 2; }));
  // Longer than the clock gap of 2 s after which a host rejoins the fleet.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  fleet.Host(2).Signal(SIGCONT);
  const bool resumed = Eventually([&] {
    const auto reply = fleet.Query(2, 2);
    INFO(reply.body);
    if (reply.code != 200) return false;
    CHECK(test_fleet::AnswerRevision(reply) == 2);
    return true;
  });
  REQUIRE(resumed);
  CHECK(fleet.Revision(2) == 2);
}

}  // namespace
}  // namespace corianderrail
