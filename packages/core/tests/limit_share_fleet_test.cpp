/** @file limit_share_fleet_test.cpp Tests of one limit divided among hosts. */

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "support/fleet_host.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 8;

/** A fleet with callers. Records when each request was admitted. */
class share_fleet {
 public:
  share_fleet(const std::string& contract, net_settings faults,
              std::uint64_t seed)
      : fleet(kHosts, faults, seed), random_(seed + 99) {
    fleet.service.Publish(1, fleet.addresses, {{"acme/1", contract}});
    fleet.StartAll();
    demand.assign(kHosts, 0);
  }

  /** Runs the fleet; callers send requests every 10 ms. */
  void Run(duration span) {
    fleet.Run(span, [this] { SendRequests(); });
  }

  /** Maximum number of requests admitted in any window of 10 s after `from`. */
  std::size_t MaxAdmittedInWindow(time_point from = {}) const {
    std::size_t most = 0;
    auto begin = std::lower_bound(admitted.begin(), admitted.end(), from);
    for (auto end = begin; end != admitted.end(); ++end) {
      while (*end - *begin >= seconds(10)) ++begin;
      most = std::max(most, static_cast<std::size_t>(end - begin) + 1);
    }
    return most;
  }

  /** Rate that all hosts together may use now. */
  double RateOfAll() {
    double sum = 0;
    for (const std::string& address : fleet.addresses) {
      sum += fleet.hosts.at(address)->shares.RatePerSecond("acme", "k",
                                                           fleet.net.Now());
    }
    return sum;
  }

  test_fleet fleet;
  std::vector<double> demand;  ///< Requests per second at each host.
  std::vector<bool> paused = std::vector<bool>(kHosts, false);
  std::vector<time_point> admitted;

 private:
  void SendRequests() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (paused[i] || !fleet.hosts.contains(fleet.addresses[i])) continue;
      double requests = demand[i] * 0.01;
      for (; requests > random_.Unit(); requests -= 1) Request(fleet.At(i));
    }
  }

  void Request(fleet_host& host) {
    // The host reducer refuses requests while a newer revision is fetched.
    if (host.contracts.Behind()) return;
    effect_list effects;
    duration retry{};
    const time_point now = fleet.net.Now();
    if (host.shares.TryAcquire("acme", "k", now, retry, effects)) {
      admitted.push_back(now);
    }
    fleet.net.ApplyEffects(host, effects);
  }

  random_source random_;
};

// Guards against a limit that is mostly unusable when all callers of a customer
// use one host.
TEST_CASE("LimitShare_AllDemandAtOneHost_NinetyPercentUsable") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    share_fleet test("100 10", {0.05}, seed);
    test.Run(seconds(15));
    test.demand[seed % kHosts] = 200;
    test.Run(seconds(3));
    const std::size_t before = test.admitted.size();
    test.Run(seconds(60));
    CHECK(test.admitted.size() - before >= std::size_t{60} * 90);
    CHECK(test.MaxAdmittedInWindow() <= 1010);
  }
}

// Guards against leases that do not follow when the demand moves to another
// host.
TEST_CASE("LimitShare_DemandMovesToAnotherHost_LeasesFollow") {
  share_fleet test("100 10", {0.05}, 6);
  test.Run(seconds(15));
  test.demand[1] = 200;
  test.Run(seconds(20));
  test.demand[1] = 0;
  test.demand[2] = 200;
  test.Run(seconds(8));
  const std::size_t before = test.admitted.size();
  test.Run(seconds(20));
  CHECK(test.admitted.size() - before >= std::size_t{20} * 90);
  CHECK(test.MaxAdmittedInWindow() <= 1010);
}

// Guards against leases from a previous, higher limit that stay in use.
TEST_CASE("LimitShare_ContractLowersLimit_SumFollowsAtOnce") {
  share_fleet test("100 10", {0.05}, 7);
  test.Run(seconds(15));
  test.demand[3] = 200;
  test.demand[4] = 50;
  test.Run(seconds(20));
  test.fleet.service.Publish(2, test.fleet.addresses, {{"acme/2", "20 10"}});
  while (!test.fleet.AllAt(2)) test.Run(milliseconds(100));
  const time_point from = test.fleet.net.Now();
  test.Run(seconds(60));
  CHECK(test.MaxAdmittedInWindow(from) <= 210);
  CHECK(test.MaxAdmittedInWindow(from) >= 150);
}

// Guards against a limit below one request per seat that is exceeded because
// each share is rounded up, or that admits nothing.
TEST_CASE("LimitShare_LimitBelowOnePerSeat_KeepsSumAndAdmits") {
  share_fleet test("2 2", {0.05}, 8);
  test.Run(seconds(15));
  std::fill(test.demand.begin(), test.demand.end(), 10);
  test.Run(seconds(120));
  CHECK(test.MaxAdmittedInWindow() <= 22);
  CHECK(test.admitted.size() >= std::size_t{120} * 2 * 8 / 10);
}

// Guards against a set that follows a change of seats and ends the wait of that
// change early, while leases under the previous seats are still in use.
TEST_CASE("LimitShare_NextSetDuringWait_KeepsWaiting") {
  share_fleet test("100 10", {}, 13);
  auto seats = test.fleet.addresses;
  seats.resize(4);
  test.Run(seconds(15));
  test.demand[0] = 300;
  test.Run(seconds(10));
  test.fleet.service.Publish(2, seats, {{"acme/2", "100 10"}});
  test.Run(seconds(2));
  test.fleet.service.Publish(3, seats, {{"acme/3", "100 10"}});
  for (int step = 0; step < 100; ++step) {
    test.Run(milliseconds(100));
    CHECK(test.RateOfAll() <= 100.001);
  }
}

// Guards against hosts without a seat that admit requests in excess of the
// limit.
TEST_CASE("LimitShare_HostWithoutSeat_AdmitsNothing") {
  share_fleet test("100 10", {}, 9);
  auto seats = test.fleet.addresses;
  seats.pop_back();
  test.fleet.service.Publish(2, seats, {{"acme/2", "100 10"}});
  test.Run(seconds(15));
  test.demand.back() = 100;
  test.Run(seconds(30));
  CHECK(test.admitted.empty());
}

// Guards against a set without seats under which each host uses the full limit.
TEST_CASE("LimitShare_NoSeats_AdmitsNothing") {
  share_fleet test("100 10", {}, 10);
  test.fleet.service.Publish(2, {}, {{"acme/2", "100 10"}});
  test.Run(seconds(15));
  test.demand[0] = 100;
  test.Run(seconds(30));
  CHECK(test.admitted.empty());
}

// Guards against a restarted host that uses a share which the previous process
// at its address has lent.
TEST_CASE("LimitShare_LenderRestarts_WaitsOneLease") {
  share_fleet test("100 10", {}, 11);
  test.Run(seconds(15));
  test.demand[0] = 200;
  test.Run(seconds(10));
  test.fleet.Stop(5);
  test.fleet.Start(5);
  test.demand[5] = 200;
  const std::size_t before = test.admitted.size();
  test.Run(seconds(4));
  CHECK(test.fleet.At(5).shares.RatePerSecond("acme", "k",
                                              test.fleet.net.Now()) == 0);
  CHECK(test.admitted.size() > before);
  test.Run(seconds(20));
  CHECK(test.MaxAdmittedInWindow() <= 1010);
}

// Guards against a partitioned host that keeps its share after its seat may
// have been assigned to another host.
TEST_CASE("LimitShare_NoMajority_StopsWithinOneLease") {
  share_fleet test("100 10", {}, 12);
  test.Run(seconds(15));
  for (std::size_t i = 0; i < 3; ++i) {
    test.fleet.net.SetGroup(test.fleet.addresses[i], 1);
  }
  test.Run(seconds(6));
  test.demand[0] = 100;
  test.Run(seconds(20));
  CHECK(test.admitted.size() <= 2);
  for (std::size_t i = 0; i < 3; ++i) {
    test.fleet.net.SetGroup(test.fleet.addresses[i], 0);
  }
  test.Run(seconds(30));
  CHECK(test.admitted.size() > 100);
}

/** Applies one random fault, change of demand or change of seats. */
void InjectFault(share_fleet& test, random_source& random,
                 std::uint64_t& revision) {
  const std::size_t host = random.Below(kHosts);
  const std::string& address = test.fleet.addresses[host];
  switch (random.Below(7)) {
    case 0:
    case 1:
      test.demand[host] = random.Below(3) == 0 ? 0 : 300;
      break;
    case 2:
      test.fleet.net.SetGroup(address, static_cast<int>(random.Below(2)));
      break;
    case 3:
      if (!test.paused[host]) test.fleet.Start(host);
      break;
    case 4:
      test.fleet.net.Pause(address);
      test.paused[host] = true;
      break;
    case 5:
      test.fleet.net.Resume(address);
      test.paused[host] = false;
      break;
    default:
      // Changes the seats but not the limit, so that one bound holds
      // throughout.
      auto seats = test.fleet.addresses;
      seats.resize(4 + random.Below(kHosts - 3));
      ++revision;
      test.fleet.service.Publish(
          revision, seats, {{"acme/" + std::to_string(revision), "100 10"}});
  }
}

// Guards against any sequence of faults in which all hosts together admit more
// than the contract allows in a window of 10 s.
TEST_CASE("LimitShare_AnyFaults_SumNeverExceedsContract") {
  CHECK(rc::check("sum over 10 s within the contract", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
    share_fleet test("100 10", {0.05, 0.05}, seed);
    random_source random(seed);
    std::uint64_t revision = 1;
    test.Run(seconds(8));
    for (int step = 0; step < 30; ++step) {
      InjectFault(test, random, revision);
      test.Run(milliseconds(200 + random.Below(4000)));
    }
    RC_ASSERT(test.MaxAdmittedInWindow() <= 1010U);
  }));
}

}  // namespace
}  // namespace corianderrail
