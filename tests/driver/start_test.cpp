/** @file start_test.cpp Tests of readiness and of rolling replacement. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "driver/deployment.h"
#include "driver/tier_host.h"
#include "driver/virtual_fleet.h"

namespace corianderrail::driver {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Hosts of the tier, and a caller that sends to the hosts listed in the last
 *  address answer. */
class start_fixture {
 protected:
  explicit start_fixture(deployment_plan plan = SmallPlan())
      : store_(std::move(plan)),
        fleet_(store_.Plan().hosts, store_.Plan().delays,
               TierFactory(store_, kSeed), kSeed) {
    store_.Install(fleet_, fake_leaf_settings{}, kSeed);
  }

  static constexpr std::uint64_t kSeed = 11;

  void Run(duration length) { fleet_.RunUntil(fleet_.Now() + length); }

  host_view View(std::size_t host) {
    return dynamic_cast<tier_host&>(*fleet_.Host(host)).View();
  }

  bool Ready(std::size_t host) { return View(host).phase == host_phase::ready; }

  /** Runs until the host is ready. @return False when it is not after 60 s. */
  bool RunUntilReady(std::size_t host) {
    const time_point end = fleet_.Now() + seconds(60);
    while (!Ready(host) && fleet_.Now() < end) Run(milliseconds(50));
    return Ready(host);
  }

  std::size_t IndexOf(const std::string& address) const {
    const auto& hosts = store_.Plan().hosts;
    const auto found = std::find_if(
        hosts.begin(), hosts.end(),
        [&](const auto& entry) { return entry.address == address; });
    return static_cast<std::size_t>(found - hosts.begin());
  }

  /** Requests addresses from a host; keeps the answer unless it is empty. */
  void RequestAddresses(std::size_t host) {
    caller_address_event request;
    request.customer = CustomerOf(rank::urgent);
    fleet_.Call(host, request, [this](const effect* answer) {
      if (answer == nullptr) return;
      const auto& reply = std::get<answer_addresses_effect>(*answer);
      if (reply.addresses.empty()) return;
      listed_hosts_.clear();
      for (const auto& entry : reply.addresses) {
        listed_hosts_.push_back(IndexOf(entry.address));
      }
      expires_ = fleet_.Now() + reply.time_to_live;
    });
  }

  void SendQuery(std::size_t host) {
    caller_query_event query;
    query.request.request_id = "q";
    query.request.customer = CustomerOf(rank::urgent);
    query.request.kind = QueryKind("wide");
    query.request.deadline = seconds(1);
    query.request.payload = "q";
    ++sent_;
    fleet_.Call(host, query, [this](const effect* answer) {
      if (answer == nullptr) {
        ++lost_;
        return;
      }
      if (const auto* refused = std::get_if<refuse_effect>(answer)) {
        refusals_.push_back(refused->reason.detail);
        return;
      }
      ++answered_;
    });
  }

  /** Sends a query to a listed host every 20 ms, and renews the addresses
   *  before they expire. */
  void StartCaller() {
    fleet_.After(milliseconds(20), [this] {
      // Renewed 1 s ahead, so that the addresses in use never expire.
      if (fleet_.Now() + seconds(1) > expires_) {
        RequestAddresses(listed_hosts_[sent_ % listed_hosts_.size()]);
      }
      SendQuery(listed_hosts_[sent_ % listed_hosts_.size()]);
      StartCaller();
    });
  }

  /** Stops a host as SIGTERM does. @return False when the host has not stopped
   *  after 60 s. */
  bool StopGracefully(std::size_t host) {
    fleet_.Deliver(host, fleet_.Incarnation(host), stop_event{});
    const time_point end = fleet_.Now() + seconds(60);
    while (View(host).phase != host_phase::stopped && fleet_.Now() < end) {
      Run(milliseconds(50));
    }
    return View(host).phase == host_phase::stopped;
  }

  document_store store_;
  virtual_fleet fleet_;
  std::vector<std::size_t> listed_hosts_;
  time_point expires_{};
  std::uint64_t sent_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::vector<std::string> refusals_;
};

// Guards against address answers that list a fresh host while it still refuses
// callers because it may not use its rate share yet.
TEST_CASE_METHOD(start_fixture, "Tier_FreshFleet_ListsOnlyAdmittingHosts") {
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) fleet_.StartHost(i);
  const time_point end = fleet_.Now() + seconds(15);
  while (fleet_.Now() < end) {
    Run(milliseconds(50));
    for (std::size_t i = 0; i < fleet_.HostCount(); ++i) RequestAddresses(i);
    for (const std::size_t host : listed_hosts_) SendQuery(host);
  }
  Run(seconds(2));
  CHECK(listed_hosts_.size() == 3);
  CHECK(answered_ > 100);
  CHECK(answered_ == sent_);
  INFO("first refusal: " << (refusals_.empty() ? "" : refusals_.front()));
  CHECK(refusals_.empty());
}

// Guards against a replaced host that never gets its rate share and so never
// becomes ready, and against callers that lose a request meanwhile.
TEST_CASE_METHOD(start_fixture,
                 "Tier_RollingReplacement_EachHostBecomesReady") {
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) fleet_.StartHost(i);
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) {
    REQUIRE(RunUntilReady(i));
  }
  Run(seconds(2));
  RequestAddresses(0);
  Run(milliseconds(100));
  REQUIRE(!listed_hosts_.empty());
  StartCaller();
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) {
    INFO("host " << i);
    REQUIRE(StopGracefully(i));
    fleet_.KillHost(i);
    fleet_.StartHost(i);
    REQUIRE(RunUntilReady(i));
  }
  const std::uint64_t sent = sent_;
  Run(seconds(2));
  CHECK(sent > 1000);
  CHECK(lost_ == 0);
  CHECK(answered_ >= sent);
  INFO("first refusal: " << (refusals_.empty() ? "" : refusals_.front()));
  CHECK(refusals_.empty());
}

/** The small deployment with 50% more hosts, as in a surge deployment. */
class surge_fixture : public start_fixture {
 protected:
  surge_fixture() : start_fixture(Plan()) {}

  static deployment_plan Plan() {
    deployment_plan plan = SmallPlan();
    const std::size_t usual = plan.hosts.size();
    for (std::size_t i = 0; i < usual / 2; ++i) {
      host_place place = plan.hosts[i];
      place.address = "10.0.1." + std::to_string(i + 1) + ":7000";
      plan.hosts.push_back(std::move(place));
    }
    return plan;
  }
};

// Guards against owners that together open more connections than a leaf accepts
// while services move to fresh hosts and back, and against requests that fail
// meanwhile, for example because they get no connection.
TEST_CASE_METHOD(surge_fixture, "Tier_SurgeOfHosts_KeepsLeafConnections") {
  const std::size_t all = fleet_.HostCount();
  const std::size_t usual = all * 2 / 3;
  for (std::size_t i = 0; i < usual; ++i) fleet_.StartHost(i);
  for (std::size_t i = 0; i < usual; ++i) REQUIRE(RunUntilReady(i));
  Run(seconds(2));
  RequestAddresses(0);
  Run(milliseconds(100));
  REQUIRE(!listed_hosts_.empty());
  StartCaller();
  for (int round = 0; round < 3; ++round) {
    INFO("round " << round);
    for (std::size_t i = usual; i < all; ++i) fleet_.StartHost(i);
    for (std::size_t i = usual; i < all; ++i) REQUIRE(RunUntilReady(i));
    for (std::size_t i = usual; i < all; ++i) {
      REQUIRE(StopGracefully(i));
      fleet_.KillHost(i);
    }
  }
  const std::uint64_t sent = sent_;
  Run(seconds(2));
  CHECK(sent > 1000);
  CHECK(lost_ == 0);
  CHECK(answered_ >= sent);
  CHECK(fleet_.leafs.Denied() == 0);
}

// Guards against a host without a seat that waits for a rate share before it
// becomes ready. It never gets a share, but it must serve as an owner.
TEST_CASE_METHOD(start_fixture, "Tier_HostWithoutSeat_ReadyBeforeTheSeats") {
  auto set = std::make_shared<contract_set>(*store_.Contracts());
  const std::string other = set->seats.back();
  std::erase(set->seats, other);
  store_.SetContracts(set);
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) fleet_.StartHost(i);
  REQUIRE(RunUntilReady(IndexOf(other)));
  const bool seat_ready = Ready(IndexOf(set->seats.front()));
  CHECK_FALSE(seat_ready);
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) {
    REQUIRE(RunUntilReady(i));
  }
  Run(seconds(2));
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) {
    RequestAddresses(i);
    Run(milliseconds(100));
    CHECK(listed_hosts_.size() == 3);
    CHECK(std::count(listed_hosts_.begin(), listed_hosts_.end(),
                     IndexOf(other)) == 0);
  }
}

}  // namespace
}  // namespace corianderrail::driver
