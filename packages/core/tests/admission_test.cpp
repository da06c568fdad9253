/** @file admission_test.cpp Tests of admission by contract, rate and load. */

#include "core/admission.h"

#include <catch2/catch.hpp>

#include "flood_simulation.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct admission_fixture : entry_fixture {
  std::optional<admission_ticket> Try(
      std::string_view customer, std::string_view kind, work_type type,
      duration deadline = {}, revision_id seen = {},
      std::optional<std::uint64_t> key = std::nullopt) {
    RefreshShares();
    return admission_control.Admit(customer, kind, type, deadline, seen, key,
                                   shares, now, refused, effects);
  }
};

// Guards against admission of requests that the contract does not allow, and
// against refusals that do not name a remedy.
TEST_CASE_METHOD(admission_fixture, "Admission_OutsideContract_IsRefused") {
  CHECK_FALSE(Try("nobody", "search", work_type::query));
  CHECK(refused.reason == refusal_reason::unknown_customer);
  CHECK(refused.detail.find("publish one") != std::string::npos);
  CHECK_FALSE(Try("acme", "nothing", work_type::query));
  CHECK(refused.reason == refusal_reason::unknown_kind);
  CHECK(refused.detail.find("add it to the contract") != std::string::npos);
  CHECK_FALSE(Try("acme", "buy", work_type::query));
  CHECK(refused.reason == refusal_reason::bad_request);
  CHECK(refused.detail.find("/v1/orders") != std::string::npos);
  CHECK_FALSE(Try("acme", "search", work_type::query, milliseconds(401)));
  CHECK(refused.reason == refusal_reason::deadline_too_long);
  CHECK(refused.detail.find("400000") != std::string::npos);
  CHECK_FALSE(Try("acme", "search", work_type::query, milliseconds(-1)));
  CHECK(refused.reason == refusal_reason::bad_request);
  CHECK_FALSE(Try("acme", "buy", work_type::order, {}, {}, kLastKey));
  CHECK(refused.reason == refusal_reason::bad_request);
  CHECK(admission_control.Counters().invalid == 6);
}

// Guards against a wrong deadline, revision or service in the ticket.
TEST_CASE_METHOD(admission_fixture, "Admission_ValidRequest_GetsTicket") {
  const auto query = Try("acme", "search", work_type::query);
  REQUIRE(query);
  CHECK(query->deadline == now + milliseconds(400));
  CHECK(query->revision == revision_id{7});
  CHECK(query->work->kind == "search");
  const auto order = Try("other", "buy", work_type::order, milliseconds(50),
                         revision_id{7}, kLastKey - 1);
  REQUIRE(order);
  CHECK(order->deadline == now + milliseconds(50));
  CHECK(order->service == service_id{3});
  CHECK(order->preference == answer_preference::coverage);
}

// Guards against admission under an outdated contract revision, and against a
// final refusal by a host that has not received the newest revision yet.
TEST_CASE_METHOD(admission_fixture, "Admission_NewerRevisionSeen_IsStale") {
  CHECK_FALSE(Try("new", "search", work_type::query, {}, revision_id{8}));
  CHECK(refused.reason == refusal_reason::contract_stale);
  CHECK(refused.retry_after > duration{});
  admission_control.SetContractStale(true);
  CHECK_FALSE(Try("acme", "search", work_type::query));
  CHECK(refused.reason == refusal_reason::contract_stale);
}

// Guards against use of a freed contract: a new set replaces the one that an
// open ticket points into.
TEST_CASE_METHOD(admission_fixture, "Admission_NewSet_KeepsOpenTicketsValid") {
  const auto ticket = Try("acme", "search", work_type::query);
  REQUIRE(ticket);
  const std::weak_ptr<const contract_set> previous = contracts;
  contracts.reset();
  PublishContracts();
  CHECK_FALSE(previous.expired());
  CHECK(ticket->work->kind == "search");
  admission_control.OnFinished(*ticket, true, now);
}

// Guards against admission of requests that would miss their deadline, and
// against refusals long after the load has ended.
TEST_CASE_METHOD(admission_fixture, "Admission_LongWait_RefusesUntilItDecays") {
  REQUIRE(Admit("search"));
  ReportWaits(milliseconds(200));
  CHECK_FALSE(Admit("search"));
  CHECK(refused.reason == refusal_reason::overloaded);
  CHECK(refused.retry_after >= milliseconds(100));
  CHECK(refused.retry_after <= seconds(4));
  now += seconds(5);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(50);
    CHECK(Admit("search"));
  }
}

// Guards against refusal of queries because of one slow service, if they reach
// their minimum coverage without it.
TEST_CASE_METHOD(admission_fixture, "Admission_OneSlowService_StillAdmits") {
  REQUIRE(Admit("search"));
  const std::uint32_t long_wait = 1'000'000;
  for (int i = 0; i < 20; ++i) {
    admission_control.OnServiceWait(service_id{0},
                                    {long_wait, long_wait, long_wait}, now);
  }
  CHECK(Admit("search"));
  // The first order is admitted as a probe.
  CHECK(Try("acme", "buy", work_type::order, {}, {}, 0));
  CHECK_FALSE(Try("acme", "buy", work_type::order, {}, {}, 0));
  CHECK(refused.reason == refusal_reason::overloaded);
  CHECK(Try("acme", "buy", work_type::order, {}, {}, kLastKey - 1));
}

// Guards against refusals by load that use up the rate of the customer.
TEST_CASE_METHOD(admission_fixture, "Admission_RefusedByLoad_KeepsRate") {
  auto limited = std::make_shared<contract_set>(*contracts);
  limited->revision = revision_id{8};
  limited->customers["acme"].work[0].rate_per_s = 0.1;
  limited->customers["acme"].work[0].burst = 3;
  admission_control.SetContracts(limited, now);
  shares.SetContracts(limited, now);
  REQUIRE(Admit("search"));
  ReportWaits(milliseconds(500));
  for (int i = 0; i < 10; ++i) CHECK_FALSE(Admit("search"));
  CHECK(refused.reason == refusal_reason::overloaded);
  ReportWaits(duration{}, 100);
  now += seconds(2);
  CHECK(Admit("search"));
  CHECK(Admit("search"));
  CHECK_FALSE(Admit("search"));
  CHECK(refused.reason == refusal_reason::rate_limit);
  CHECK(refused.retry_after > duration{});
}

// Guards against waits that are never updated because every request is refused:
// about 10 requests/s are admitted at any load.
TEST_CASE_METHOD(admission_fixture, "Admission_Overload_LetsProbesPass") {
  REQUIRE(Admit("search"));
  int admitted = 0;
  for (int i = 0; i < 1'000; ++i) {
    now += milliseconds(1);
    ReportWaits(seconds(1), 1);
    if (Admit("search")) ++admitted;
  }
  CHECK(admitted >= 8);
  CHECK(admitted <= 12);
}

double Goodput(const per_rank<flood_result>& results, double length) {
  std::uint64_t in_time = 0;
  for (const flood_result& result : results) in_time += result.in_time;
  return static_cast<double>(in_time) / length / flood_simulation::kCapacity;
}

// Guards against an overload of background work that delays urgent work or uses
// capacity for answers that are too late.
TEST_CASE("Admission_BackgroundFlood_KeepsUrgentFastAndGoodputHigh") {
  const auto seed = GENERATE(range(1, 6));
  flood_simulation flood(static_cast<std::uint64_t>(seed));
  auto healthy = flood.Run({200, 100, 100}, seconds(5));
  flood.Run({200, 100, 10'000}, seconds(1));
  auto loaded = flood.Run({200, 100, 10'000}, seconds(8));
  CHECK(Goodput(loaded, 8) >= 0.95);
  CHECK(loaded[0].Percentile(0.99) <= 1.2 * healthy[0].Percentile(0.99));
  CHECK(loaded[0].admitted == loaded[0].offered);
  CHECK(static_cast<double>(loaded[0].in_time) >=
        0.999 * static_cast<double>(loaded[0].offered) - 8);
}

// Guards against an overload of urgent work that takes the floors of the other
// ranks, both when they exceed their floors and when they arrive at random at
// 80% of them.
TEST_CASE("Admission_UrgentFlood_LeavesFloorsAndGoodputHigh") {
  const auto seed = GENERATE(range(1, 6));
  const bool below = GENERATE(true, false);
  const per_rank<double> floors = {100, 100, 50};
  per_rank<double> rates = {10'000, 1'000, 1'000};
  if (below) rates = {10'000, 0.8 * floors[1], 0.8 * floors[2]};
  flood_simulation flood(static_cast<std::uint64_t>(seed));
  flood.Run({200, 100, 100}, seconds(3));
  flood.Run(rates, seconds(2));
  const auto loaded = flood.Run(rates, seconds(8));
  CHECK(Goodput(loaded, 8) >= 0.95);
  for (std::size_t i = 1; i < kRankCount; ++i) {
    const double offered = static_cast<double>(loaded[i].offered) / 8;
    const double in_time = static_cast<double>(loaded[i].in_time) / 8;
    CHECK(in_time >= 0.95 * (below ? offered : floors[i]));
  }
}

// Guards against refusals that continue after the overload or outage has ended.
TEST_CASE("Admission_FloodOrOutageEnds_RecoversWithin5s") {
  const auto seed = GENERATE(range(1, 6));
  flood_simulation flood(static_cast<std::uint64_t>(seed));
  const per_rank<double> usual = {200, 200, 300};
  auto healthy = flood.Run(usual, seconds(5));
  SECTION("flood") { flood.Run({10'000, 2'000, 10'000}, seconds(5)); }
  SECTION("outage") {
    flood.SetSlots(2);
    flood.Run(usual, seconds(5));
    flood.SetSlots(flood_simulation::kSlots);
  }
  flood.Run(usual, seconds(5));
  auto after = flood.Run(usual, seconds(5));
  for (std::size_t i = 0; i < kRankCount; ++i) {
    CHECK(static_cast<double>(after[i].admitted) >=
          0.99 * static_cast<double>(after[i].offered));
    CHECK(after[i].Percentile(0.99) <=
          1.05 * healthy[i].Percentile(0.99) + milliseconds(2));
  }
}

}  // namespace
}  // namespace corianderrail
