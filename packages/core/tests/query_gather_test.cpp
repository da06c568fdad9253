/** @file query_gather_test.cpp Tests of planning, gathering and answering. */

#include "core/query_gather.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "core/coverage.h"
#include "gather_fixture.h"
#include "property.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;

// Guards against a message per part, a part that is not sent, and a message
// that another incarnation of the owner would accept.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_Start_SendsOneBatchPerOwner") {
  Start();
  std::set<host_id> owners_seen;
  std::set<partition_id> parts;
  for (const auto& [send, batch] : Sent<subquery_batch>()) {
    CHECK(owners_seen.insert(send.to).second);
    CHECK(Raw(send.to_incarnation) == 100 + Raw(send.to));
    CHECK_FALSE(send.address.empty());
    CHECK(batch.remaining == milliseconds(400));
    for (const auto& part : batch.parts) {
      CHECK(parts.insert(part.partition).second);
      CHECK(owners.OwnerOf(part.service)->host == send.to);
    }
  }
  CHECK(parts.size() == 4);
}

// Guards against an answer that is incomplete although all parts arrived, or
// not in key order.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_AllParts_AnswersCompleteInKeyOrder") {
  Start();
  AnswerAllBut();
  const query_answer answer = OnlyAnswer();
  CHECK(answer.status == answer_status::complete);
  CHECK(answer.coverage == kWholePpm);
  CHECK(answer.missing.empty());
  CHECK(answer.snapshot == snapshot_id{1});
  CHECK(answer.request_id == "r1");
  CHECK(answer.revision == revision_id{7});
  REQUIRE(answer.parts.size() == 4);
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(answer.parts[i].range ==
          map->collections[0].maps[0].partitions[i].range);
    CHECK(answer.parts[i].payload ==
          PayloadOf(snapshot_id{1}, static_cast<partition_id>(i)));
  }
  CHECK(gather.Idle());
  CHECK(gather.NextWake() == kNever);
}

// Guards against planning on a map that is not completely published.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_NewestMapHasGap_PinsTheOlder") {
  auto changed = std::make_shared<topology>(*map);
  partition_map gap = MakeMap(4, snapshot_id{2});
  gap.partitions.erase(gap.partitions.begin() + 1);
  changed->collections[0].maps.push_back(gap);
  gather.SetTopology(changed, now);
  Start();
  CHECK(Sent<subquery_batch>().at(0).second.snapshot == snapshot_id{1});
}

// Guards against a query that is answered, or gets no reply at all, instead of
// a refusal when there is no topology.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_NoTopology_RefusesAsNotRun") {
  gather.SetTopology(nullptr, now);
  Start();
  const auto refusals = Collect<refuse_effect>();
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason.reason == refusal_reason::no_topology);
  CHECK(refusals[0].reason.ran == run_state::not_run);
}

// Guards against an answer below the minimum coverage before the deadline, and
// against one that is not marked as incomplete.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_TooFewParts_AnswersIncompleteAtDeadline") {
  Start();
  Tick(milliseconds(399));
  CHECK(Collect<answer_query_effect>().empty());
  Tick(milliseconds(1));
  const query_answer answer = OnlyAnswer();
  CHECK(answer.status == answer_status::incomplete);
  CHECK(answer.coverage == 0);
  CHECK(answer.missing == std::vector<key_range>{{0, kLastKey}});
  CHECK(answer.elapsed == milliseconds(400));
}

// Guards against owners that continue to work on a query that has been
// answered.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_EarlyAnswer_CancelsOpenParts") {
  Start();
  const auto sent = Sent<subquery_batch>();
  const auto smallest = std::min_element(
      sent.begin(), sent.end(), [](const auto& a, const auto& b) {
        return a.second.parts.size() < b.second.parts.size();
      });
  AnswerAllBut(smallest->first.to);
  REQUIRE(Collect<answer_query_effect>().empty());
  Tick(milliseconds(100));
  CHECK(OnlyAnswer().status == answer_status::partial);
  const auto cancels = Sent<subquery_cancel>();
  REQUIRE(cancels.size() == 1);
  CHECK(cancels[0].first.to == smallest->first.to);
  CHECK(cancels[0].second.query == sent[0].second.query);
}

// Guards against work for a caller that has closed its connection.
TEST_CASE_METHOD(query_gather_fixture, "QueryGather_CallerGone_CancelsAll") {
  Start();
  gather.OnCallerGone(call_id{1}, admission_control, now, effects);
  CHECK(Sent<subquery_cancel>().size() == Sent<subquery_batch>().size());
  CHECK(gather.Idle());
  AnswerAllBut();
  CHECK(Collect<answer_query_effect>().empty());
}

// Guards against results that are counted twice, or accepted from the wrong
// sender, service or snapshot or for a partition that does not exist.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_MismatchedResults_AreIgnoredAndCounted") {
  Start();
  const auto [send, batch] = Sent<subquery_batch>().at(0);
  subquery_result wrong = ResultOf(batch);
  wrong.parts.resize(1);
  SECTION("service") { wrong.parts[0].service = service_id{99}; }
  SECTION("snapshot") { wrong.snapshot = snapshot_id{2}; }
  SECTION("partition") { wrong.parts[0].partition = partition_id{99}; }
  SECTION("query") { wrong.query = query_id{99}; }
  Deliver(send, wrong);
  CHECK(gather.Counters().stray == 1);
  send_peer_effect elsewhere = send;
  elsewhere.to_incarnation = incarnation_id{1};
  subquery_result other_incarnation = ResultOf(batch);
  Deliver(elsewhere, other_incarnation);
  CHECK(gather.Counters().stray == 1 + other_incarnation.parts.size());
  AnswerAllBut();
  CHECK(OnlyAnswer().status == answer_status::complete);
}

// Guards against an answer with parts of two snapshots: results of the first
// plan must not count for the second.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_WrongSnapshot_ReplansWholeQueryOnce") {
  Start();
  const auto first = Sent<subquery_batch>();
  effects.clear();
  PublishTopology(4, {snapshot_id{1}, snapshot_id{2}});
  gather.SetTopology(map, now);
  Deliver(first[0].first,
          ResultOf(first[0].second, part_status::wrong_snapshot));
  CHECK(gather.Counters().replanned == 1);
  const auto second = Sent<subquery_batch>();
  REQUIRE(second.size() == first.size());
  CHECK(second[0].second.snapshot == snapshot_id{2});
  CHECK(second[0].second.query != first[0].second.query);
  for (std::size_t i = 1; i < first.size(); ++i) {
    Deliver(first[i].first, ResultOf(first[i].second));
  }
  CHECK(Collect<answer_query_effect>().empty());
  for (const auto& [send, batch] : second) Deliver(send, ResultOf(batch));
  const query_answer answer = OnlyAnswer();
  CHECK(answer.snapshot == snapshot_id{2});
  CHECK(answer.status == answer_status::complete);
  for (const auto& part : answer.parts)
    CHECK(part.payload.substr(0, 2) == "2/");
}

// Guards against the loss of gathered parts when there is no other snapshot to
// plan on.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_WrongSnapshotWithoutNewer_AnswersWithPinned") {
  Start();
  const auto sent = Sent<subquery_batch>();
  std::size_t answered = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    const auto status = i == 0 ? part_status::wrong_snapshot : part_status::ok;
    if (i != 0) answered += sent[i].second.parts.size();
    Deliver(sent[i].first, ResultOf(sent[i].second, status));
  }
  const query_answer answer = OnlyAnswer();
  CHECK(answer.snapshot == snapshot_id{1});
  CHECK(answer.parts.size() == answered);
  CHECK(answer.coverage < kWholePpm);
}

// Guards against an incomplete answer when leafs have loaded a newer snapshot
// whose map has not reached this host yet.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_NewerSnapshotNamed_WaitsForItsMap") {
  Start();
  for (const auto& [send, batch] : Sent<subquery_batch>()) {
    auto result = ResultOf(batch, part_status::wrong_snapshot);
    for (auto& part : result.parts) part.newest = snapshot_id{2};
    Deliver(send, result);
  }
  CHECK(Collect<answer_query_effect>().empty());
  effects.clear();
  now += milliseconds(50);
  PublishTopology(4, {snapshot_id{2}});
  gather.SetTopology(map, now);
  gather.OnOwnersChanged(owners, admission_control, now, effects);
  AnswerAllBut();
  CHECK(OnlyAnswer().snapshot == snapshot_id{2});
}

// Guards against waiting for the parts of a lost owner, and against sending
// parts again more than once or beyond 5% of all parts.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_OwnerGone_ResendsMissingPartsWithinBudget") {
  // 40 queries with 4 parts each allow 8 parts to be sent again.
  for (std::uint64_t call = 1; call <= 40; ++call) Start(call);
  const host_id lost = Sent<subquery_batch>().at(0).first.to;
  const auto before = Sent<subquery_batch>();
  effects.clear();
  std::erase_if(members, [&](const auto& m) { return m.ref.host == lost; });
  owners.SetMembers(members);
  gather.SetMembers(members);
  gather.OnOwnersChanged(owners, admission_control, now, effects);
  std::size_t resent = 0;
  for (const auto& [send, batch] : Sent<subquery_batch>()) {
    CHECK(send.to != lost);
    resent += batch.parts.size();
  }
  CHECK(resent == 8);
  CHECK(gather.Counters().resent == 8);
  for (const auto& [send, batch] : before) {
    if (send.to != lost) Deliver(send, ResultOf(batch));
  }
  AnswerAllBut();
  CHECK_FALSE(Collect<answer_query_effect>().empty());
  effects.clear();
  gather.OnOwnersChanged(owners, admission_control, now, effects);
  CHECK(Sent<subquery_batch>().empty());
}

// Guards against sending parts again when their owner is only leaving: it still
// finishes the parts that it has.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_OwnerLeaving_DoesNotResend") {
  for (std::uint64_t call = 1; call <= 40; ++call) Start(call);
  const host_id leaving = Sent<subquery_batch>().at(0).first.to;
  effects.clear();
  for (auto& member : members) {
    if (member.ref.host == leaving) member.state = member_state::leaving;
  }
  owners.SetMembers(members);
  gather.SetMembers(members);
  gather.OnOwnersChanged(owners, admission_control, now, effects);
  CHECK(Sent<subquery_batch>().empty());
}

// Guards against queries that stay open after a pause of the process beyond
// their deadline.
TEST_CASE_METHOD(query_gather_fixture,
                 "QueryGather_ClockGap_AnswersExpiredQueries") {
  Start();
  now += std::chrono::seconds(60);
  gather.OnClockGap(admission_control, now, effects);
  CHECK(OnlyAnswer().status == answer_status::incomplete);
  CHECK(gather.Idle());
}

// Guards against wrong answers after late, duplicate, mismatched or foreign
// results. An answer must hold exactly the valid parts that arrived while its
// query was open, from one snapshot, with the coverage of a separate count.
TEST_CASE("QueryGather_AnyArrivalOrder_MatchesNaiveMerge") {
  CheckProperty(3, 300, [] {
    query_gather_fixture f(*rc::gen::inRange<std::size_t>(1, 12));
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 4);
    for (std::uint64_t call = 1; call <= count; ++call) f.Start(call);
    const auto sent = f.Sent<subquery_batch>();
    std::map<query_id, std::set<partition_id>> delivered;
    std::map<query_id, std::uint64_t> call_of;
    std::uint64_t next = 0;
    for (const auto& [send, batch] : sent) {
      if (!call_of.contains(batch.query)) call_of[batch.query] = ++next;
    }
    std::uint64_t strays = 0;
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      const auto& [send, batch] =
          sent[*rc::gen::inRange<std::size_t>(0, sent.size())];
      subquery_result result = f.ResultOf(batch);
      const auto keep = *rc::gen::inRange<std::size_t>(0, result.parts.size());
      result.parts = {result.parts[keep]};
      const int fault = *rc::gen::inRange(0, 8);
      if (fault == 0) result.snapshot = snapshot_id{9};
      if (fault == 1) result.parts[0].service = service_id{9'999};
      if (fault == 2) result.query = query_id{9'999};
      if (fault == 3) result.parts[0].payload.clear();
      send_peer_effect from = send;
      if (fault == 4) from.to_incarnation = incarnation_id{1};
      const auto open = [&, query = batch.query] {
        const auto answers = f.Collect<answer_query_effect>();
        const std::uint64_t call = call_of[query];
        return std::none_of(answers.begin(), answers.end(),
                            [&](auto& a) { return Raw(a.call) == call; });
      }();
      const bool valid = fault == 3 || fault > 4;
      bool counts = false;
      if (valid && open) {
        if (fault == 3) {
          result.parts[0].payload =
              f.PayloadOf(batch.snapshot, result.parts[0].partition);
        }
        counts =
            delivered[batch.query].insert(result.parts[0].partition).second;
      }
      if (!counts) ++strays;
      f.Deliver(from, result);
    }
    RC_ASSERT(f.gather.Counters().stray == strays);
    // No time has passed, so only complete answers may have been sent.
    for (const auto& early : f.Collect<answer_query_effect>()) {
      RC_ASSERT(early.answer.status == answer_status::complete);
    }
    f.Tick(std::chrono::seconds(1));
    const auto answers = f.Collect<answer_query_effect>();
    RC_ASSERT(answers.size() == count);
    const partition_map& pinned = f.map->collections[0].maps[0];
    for (const auto& [query, call] : call_of) {
      const auto found =
          std::find_if(answers.begin(), answers.end(),
                       [&, c = call](auto& a) { return Raw(a.call) == c; });
      RC_ASSERT(found != answers.end());
      const query_answer& answer = found->answer;
      const auto& expected = delivered[query];
      RC_ASSERT(answer.request_id == "r" + std::to_string(call));
      RC_ASSERT(answer.snapshot == pinned.snapshot);
      RC_ASSERT(answer.parts.size() == expected.size());
      std::vector<std::uint8_t> flags(pinned.partitions.size());
      std::size_t position = 0;
      for (const partition_id id : expected) {
        flags[Raw(id)] = 1;
        RC_ASSERT(answer.parts[position].payload ==
                  f.PayloadOf(pinned.snapshot, id));
        RC_ASSERT(answer.parts[position].range ==
                  pinned.partitions[Raw(id)].range);
        ++position;
      }
      const coverage_result naive = MeasureCoverage(pinned, flags);
      RC_ASSERT(answer.coverage == naive.share);
      RC_ASSERT(answer.missing == naive.missing);
    }
    RC_ASSERT(f.gather.Idle());
  });
}

}  // namespace
}  // namespace corianderrail
