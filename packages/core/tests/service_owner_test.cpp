/** @file service_owner_test.cpp Tests of dispatch, hedges and outcomes. */

#include "core/service_owner.h"

#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace corianderrail {
namespace {

// Guards against parts that are lost or answered twice without any fault.
TEST_CASE("ServiceOwner_PlainQuery_AnswersEachPartOnce") {
  owner_fixture bench(3);
  bench.Query();
  bench.RunFor(milliseconds(20));
  CHECK(bench.results.size() == 3);
  CHECK(bench.Count(part_status::ok) == 3);
  CHECK(bench.LeafRequests() == 3);
  CHECK(bench.owner.Idle());
}

// Guards against more requests than a leaf has slots, which it would shed.
TEST_CASE("ServiceOwner_Burst_KeepsSlotLimit") {
  owner_fixture bench;
  for (int i = 0; i < 100; ++i) bench.Query(milliseconds(2000));
  bench.RunFor(milliseconds(2000));
  CHECK(bench.Count(part_status::ok) == 100);
  for (std::uint32_t i = 0; i < 3; ++i) {
    CHECK(bench.At(0, i).max_running <= 2);
  }
}

// Guards against one slow leaf that determines the tail latency of its service,
// and against more than 5% of extra requests to avoid that.
TEST_CASE("ServiceOwner_Straggler_BoundsTailAndExtraLoad") {
  owner_fixture healthy;
  healthy.SetLatency(milliseconds(8), milliseconds(4));
  healthy.Load(5000, milliseconds(4));
  owner_fixture bench;
  bench.SetLatency(milliseconds(8), milliseconds(4));
  bench.At(0, 0).behave = [&](const leaf_request&) {
    leaf_script script;
    script.latency = milliseconds(200);
    return script;
  };
  bench.Load(5000, milliseconds(4));
  bench.RunFor(milliseconds(1000));
  CHECK(bench.Count(part_status::ok) == 5000);
  INFO("p99 " << bench.Percentile(0.99).count() << " healthy "
              << healthy.Percentile(0.99).count() << " requests "
              << bench.LeafRequests());
  CHECK(bench.Percentile(0.99) < 2 * healthy.Percentile(0.99));
  CHECK(bench.LeafRequests() <= 5250);
}

// Guards against excessive hedging: when all replicas slow down at the same
// time, hedges bring no gain and would double the load.
TEST_CASE("ServiceOwner_EverythingSlow_KeepsExtraLoadBelowBudget") {
  owner_fixture bench;
  bench.SetLatency(milliseconds(8), milliseconds(4));
  bench.Load(2000, milliseconds(5));
  const std::uint64_t before = bench.LeafRequests();
  bench.SetLatency(milliseconds(160), milliseconds(80));
  bench.Load(1000, milliseconds(50), milliseconds(2000));
  bench.RunFor(milliseconds(2000));
  CHECK(bench.LeafRequests() - before <= 1050);
  CHECK(bench.Count(part_status::ok) == 3000);
}

// Guards against an overload of urgent work that starves the other ranks, and
// against slots used for work that expires before its reply.
TEST_CASE("ServiceOwner_UrgentFlood_KeepsFloorsAndGoodput") {
  owner_fixture bench;
  bench.SetLatency(milliseconds(8), milliseconds(4));
  bench.owner.SetFloors({100'000, 200'000, 100'000});
  // The capacity is 6 slots at 10 ms, 600 parts/s. Urgent work arrives at 10
  // times that rate, the other ranks stay below their floors.
  for (int step = 0; step < 2000; ++step) {
    for (int i = 0; i < 30; ++i) bench.Query(milliseconds(500), rank::urgent);
    if (step % 2 == 0) bench.Query(milliseconds(500), rank::normal);
    if (step % 4 == 0) bench.Query(milliseconds(500), rank::background);
    bench.RunFor(milliseconds(5));
  }
  per_rank<int> ok{};
  for (const auto& [query, part] : bench.results) {
    if (part.status == part_status::ok) {
      ++ok[RankIndex(bench.rank_of.at(query))];
    }
  }
  CHECK(ok[RankIndex(rank::normal)] >= 980);
  CHECK(ok[RankIndex(rank::background)] >= 490);
  CHECK(bench.Count(part_status::ok) >= 5700);
  CHECK(bench.Count(part_status::ok) * 100 >= bench.LeafRequests() * 95);
  const rank_wait& wait = bench.results.back().second.wait;
  CHECK(wait[RankIndex(rank::urgent)] > 500'000);
  CHECK(wait[RankIndex(rank::normal)] < 250'000);
}

// Guards against work at leafs for a cancelled query.
TEST_CASE("ServiceOwner_Cancel_StopsQueuedAndRunningParts") {
  owner_fixture bench(1, 1);
  const query_id running = bench.Query();
  const query_id queued = bench.Query();
  bench.RunFor(milliseconds(1));
  for (const query_id query : {running, queued}) {
    bench.owner.OnSubqueryCancel(bench.FromEntry(), {query}, bench.now,
                                 bench.effects);
    bench.ApplyEffects();
  }
  bench.RunFor(milliseconds(100));
  CHECK(bench.results.empty());
  CHECK(bench.cancelled.size() == 1);
  CHECK(bench.LeafRequests() == 1);
  CHECK(bench.owner.Idle());
}

// Guards against a late or duplicate reply that is mistaken for the reply to
// the next request in the same slot of the call table.
TEST_CASE("ServiceOwner_ReplyTwice_IsIgnored") {
  owner_fixture bench(1, 1);
  bench.Query();
  bench.RunFor(milliseconds(20));
  bench.Query();
  leaf_reply late;
  late.snapshot = kSnapshot;
  late.payload = "other";
  bench.owner.OnLeafReply({bench.calls.at(0), late}, bench.now, bench.effects);
  bench.ApplyEffects();
  CHECK(bench.results.size() == 1);
  bench.RunFor(milliseconds(20));
  REQUIRE(bench.results.size() == 2);
  CHECK(bench.results[1].second.payload.empty());
}

// Guards against full load on a new process whose caches are cold.
TEST_CASE("ServiceOwner_Reconnect_RampsFromOneSlot") {
  owner_fixture bench(1, 1);
  bench.Load(50, milliseconds(10));
  for (const std::uint32_t open : {0U, 4U})
    bench.SetOpen(bench.Leaf(0, 0), open);
  bench.At(0, 0).max_running = 0;
  for (int i = 0; i < 4; ++i) bench.Query();
  CHECK(bench.At(0, 0).max_running == 1);
  bench.Load(50, milliseconds(5));
  CHECK(bench.At(0, 0).max_running == 2);
}

// Guards against more connections than the share of this owner.
TEST_CASE("ServiceOwner_Connections_StayWithinShare") {
  owner_settings settings;
  settings.connection_share = 100'000;
  owner_fixture bench(1, 1, settings);
  CHECK(bench.At(0, 0).target == 2);
  bench.owner.SetOwned({}, bench.now, bench.effects);
  bench.ApplyEffects();
  CHECK(bench.At(0, 0).target == 0);
}

// Guards against an answer from another partition when the requested one does
// not exist or belongs to another service.
TEST_CASE("ServiceOwner_UnknownPart_IsReported") {
  owner_fixture bench(2);
  subquery_batch batch;
  batch.query = query_id{1};
  batch.snapshot = kSnapshot;
  batch.remaining = milliseconds(100);
  batch.parts = {{partition_id{0}, service_id{1}},
                 {partition_id{9}, service_id{0}}};
  bench.owner.OnSubqueryBatch(bench.FromEntry(), batch, bench.now,
                              bench.effects);
  bench.ApplyEffects();
  CHECK(bench.Count(part_status::unknown_part) == 2);
  CHECK(bench.LeafRequests() == 0);
  CHECK(bench.owner.Idle());
}

// Guards against a wake-up per request for the timer of a finished call.
TEST_CASE("ServiceOwner_HealthyLoad_NeedsFewTicks") {
  owner_fixture bench;
  bench.SetLatency(milliseconds(8), milliseconds(4));
  bench.Load(1000, milliseconds(4));
  CHECK(bench.events <= 1300);
}

}  // namespace
}  // namespace corianderrail
