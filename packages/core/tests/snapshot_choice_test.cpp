/** @file snapshot_choice_test.cpp Tests of the choice of a snapshot. */

#include "core/snapshot_choice.h"

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
using std::chrono::seconds;

/** query_gather with services that hold different snapshots. */
struct snapshot_fixture : query_gather_fixture {
  explicit snapshot_fixture(std::size_t services = 4)
      : query_gather_fixture(services), loaded(services, {snapshot_id{1}}) {}

  void Publish(const std::vector<snapshot_id>& snapshots) {
    PublishTopology(loaded.size(), snapshots);
    known.insert(snapshots.begin(), snapshots.end());
    gather.SetTopology(map, now);
    gather.OnOwnersChanged(owners, admission_control, now, effects);
  }

  void LoadAll(snapshot_id snapshot) {
    for (auto& each : loaded) each.insert(snapshot);
  }

  /** Result of an owner for one part. */
  part_result ResultFor(const subquery_batch& batch,
                        const subquery_part& part) const {
    const auto& service = loaded[Raw(part.service)];
    part_result result;
    result.partition = part.partition;
    result.service = part.service;
    if (!known.contains(batch.snapshot)) {
      result.status = part_status::unknown_part;
      return result;
    }
    if (reports_newest && !service.empty()) result.newest = *service.rbegin();
    if (!service.contains(batch.snapshot)) {
      result.status = part_status::wrong_snapshot;
      return result;
    }
    result.payload = PayloadOf(batch.snapshot, part.partition);
    return result;
  }

  /** Answers all batches, including those of later plans. */
  void AnswerAll() {
    for (auto sent = Sent<subquery_batch>(); answered < sent.size();
         sent = Sent<subquery_batch>()) {
      const auto& [send, batch] = sent[answered++];
      subquery_result result{batch.query, batch.snapshot, {}};
      for (const subquery_part& part : batch.parts) {
        result.parts.push_back(ResultFor(batch, part));
      }
      Deliver(send, result);
    }
  }

  /** Runs one query to its end. */
  query_answer RunQuery() {
    effects.clear();
    answered = 0;
    Start(++calls);
    AnswerAll();
    if (Collect<answer_query_effect>().empty()) Tick(milliseconds(400));
    return OnlyAnswer();
  }

  std::vector<std::set<snapshot_id>> loaded;    ///< Indexed by service_id.
  std::set<snapshot_id> known{snapshot_id{1}};  ///< Known to the owners.
  bool reports_newest = true;  ///< Whether replies name the newest.
  std::size_t answered = 0;    ///< Batches in `effects` already answered.
  std::uint64_t calls = 0;     ///< Calls started.
};

// Guards against queries on a snapshot that some services are known to lack,
// while all hold the previous one.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_PublishedBeforeLoading_PinsThePrevious") {
  RunQuery();
  Publish({snapshot_id{1}, snapshot_id{2}});
  loaded[0].insert(snapshot_id{2});
  const query_answer answer = RunQuery();
  CHECK(answer.status == answer_status::complete);
  CHECK(answer.snapshot == snapshot_id{1});
  CHECK(gather.Counters().replanned == 0);
}

// Guards against queries on the previous snapshot after all services have
// reported the newer one.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_AllServicesReportNewer_MovesWithoutTrial") {
  RunQuery();
  Publish({snapshot_id{1}, snapshot_id{2}});
  LoadAll(snapshot_id{2});
  CHECK(RunQuery().snapshot == snapshot_id{1});
  CHECK(RunQuery().snapshot == snapshot_id{2});
  CHECK(gather.Counters().replanned == 0);
}

// Guards against an incomplete answer from a host without reports on the
// services, and against an answer with parts of the newer snapshot.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_NoReports_ReplansOnThePrevious") {
  Publish({snapshot_id{1}, snapshot_id{2}});
  loaded[0].insert(snapshot_id{2});
  const query_answer answer = RunQuery();
  CHECK(answer.status == answer_status::complete);
  CHECK(answer.snapshot == snapshot_id{1});
  for (const auto& part : answer.parts) {
    CHECK(part.payload.substr(0, 2) == "1/");
  }
  CHECK(gather.Counters().replanned == 1);
}

// Guards against queries that stay on the previous snapshot after the leafs
// have dropped it.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_PreviousDropped_ReplansOnTheNewer") {
  RunQuery();
  Publish({snapshot_id{1}, snapshot_id{2}});
  loaded.assign(loaded.size(), {snapshot_id{2}});
  const query_answer answer = RunQuery();
  CHECK(answer.status == answer_status::complete);
  CHECK(answer.snapshot == snapshot_id{2});
  CHECK(gather.Counters().replanned == 1);
  CHECK(RunQuery().snapshot == snapshot_id{2});
  CHECK(gather.Counters().replanned == 1);
}

// Guards against a query that alternates between two snapshots that are each
// missing somewhere, and against an answer with parts of both.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_NeitherHeldInFull_ReplansAtMostOnce") {
  Publish({snapshot_id{1}, snapshot_id{2}});
  loaded[0] = {snapshot_id{2}};
  const query_answer answer = RunQuery();
  CHECK(gather.Counters().replanned <= 1);
  CHECK(answer.snapshot == snapshot_id{1});
  CHECK(answer.parts.size() == 3);
  CHECK(answer.coverage < kWholePpm);
}

// Guards against incomplete answers while an owner has an older topology.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_OwnerLacksTheMap_ReplansOnThePrevious") {
  Publish({snapshot_id{1}, snapshot_id{2}});
  LoadAll(snapshot_id{2});
  known.erase(snapshot_id{2});
  const query_answer answer = RunQuery();
  CHECK(answer.status == answer_status::complete);
  CHECK(answer.snapshot == snapshot_id{1});
  CHECK(gather.Counters().replanned == 1);
}

// Guards against a query that is planned again when the remaining time is too
// short for an answer.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_NoTimeLeft_AnswersFromThePinned") {
  Start(++calls);
  now += milliseconds(300);
  AnswerAll();
  effects.clear();
  answered = 0;
  Publish({snapshot_id{1}, snapshot_id{2}});
  now += seconds(2);
  Start(++calls);
  now += milliseconds(350);
  AnswerAll();
  CHECK(gather.Counters().replanned == 0);
  CHECK(OnlyAnswer().snapshot == snapshot_id{2});
}

// Guards against a service without working leafs, which reports nothing, that
// keeps the collection on the previous snapshot.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_SilentService_DoesNotDelayTheOthers") {
  RunQuery();
  Publish({snapshot_id{1}, snapshot_id{2}});
  for (std::size_t i = 1; i < loaded.size(); ++i) {
    loaded[i].insert(snapshot_id{2});
  }
  const auto silent = [&] {
    effects.clear();
    answered = 0;
    Start(++calls);
    for (const auto& [send, batch] : Sent<subquery_batch>()) {
      subquery_result result{batch.query, batch.snapshot, {}};
      for (const subquery_part& part : batch.parts) {
        result.parts.push_back(ResultFor(batch, part));
        if (Raw(part.service) != 0) continue;
        result.parts.back().status = part_status::failed;
        result.parts.back().payload.clear();
      }
      Deliver(send, result);
    }
    return OnlyAnswer().snapshot;
  };
  CHECK(silent() == snapshot_id{1});
  now += seconds(1);
  silent();
  CHECK(silent() == snapshot_id{2});
}

// Guards against a newer snapshot that is never tried, or is tried by each
// query, when leafs do not report their newest snapshot.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_NewestNotReported_TriesTheNewerOnFewQueries") {
  reports_newest = false;
  Publish({snapshot_id{1}, snapshot_id{2}});
  for (int i = 0; i < 100; ++i) {
    CHECK(RunQuery().status == answer_status::complete);
    now += milliseconds(50);
  }
  CHECK(gather.Counters().replanned >= 4);
  CHECK(gather.Counters().replanned <= 6);
  LoadAll(snapshot_id{2});
  now += seconds(1);
  CHECK(RunQuery().snapshot == snapshot_id{2});
}

// Guards against reports that count for the wrong service after a topology has
// renumbered the services.
TEST_CASE_METHOD(snapshot_fixture,
                 "SnapshotChoice_ServicesRenumbered_KeepsReportsByName") {
  Publish({snapshot_id{1}, snapshot_id{2}});
  snapshot_choice choice;
  choice.SetTopology(map);
  part_result lacking;
  lacking.service = service_id{0};
  lacking.status = part_status::wrong_snapshot;
  lacking.newest = snapshot_id{1};
  choice.OnResult(lacking, snapshot_id{2}, now);
  CHECK(choice.Best(collection_id{}, now)->snapshot == snapshot_id{1});
  auto changed = std::make_shared<topology>(*map);
  std::reverse(changed->services.begin(), changed->services.end());
  for (partition_map& each : changed->collections[0].maps) {
    each.partitions.pop_back();
  }
  // The previous service 0 is now the last one, which has no partition.
  choice.SetTopology(changed);
  CHECK(choice.Best(collection_id{}, now)->snapshot == snapshot_id{2});
}

// Guards against an incomplete answer while all services hold one of two
// published snapshots, for any earlier reports and any services that hold the
// other one. If replies do not report the newest snapshot, this applies once
// the reports from before the last load have expired.
TEST_CASE("SnapshotChoice_OneOfTwoHeldInFull_AnswersEachQuery") {
  CheckProperty(5, 200, [] {
    snapshot_fixture f(*rc::gen::inRange<std::size_t>(1, 9));
    f.reports_newest = *rc::gen::arbitrary<bool>();
    std::uint64_t newest = 1;
    for (int step = *rc::gen::inRange(1, 12); step > 0; --step) {
      const snapshot_id previous{newest};
      const snapshot_id fresh{++newest};
      if (!f.reports_newest) f.now += seconds(1);
      f.Publish({previous, fresh});
      const auto ask = [&] {
        const query_answer answer = f.RunQuery();
        RC_ASSERT(answer.status == answer_status::complete);
        for (const auto& part : answer.parts) {
          const std::string prefix = std::to_string(Raw(answer.snapshot)) + "/";
          RC_ASSERT(part.payload.substr(0, prefix.size()) == prefix);
        }
        f.now += milliseconds(*rc::gen::inRange(0, 1'500));
      };
      for (auto& each : f.loaded) {
        if (*rc::gen::arbitrary<bool>()) ask();
        each.insert(fresh);
      }
      if (!f.reports_newest) f.now += seconds(1);
      for (auto& each : f.loaded) {
        if (*rc::gen::arbitrary<bool>()) ask();
        each.erase(previous);
      }
    }
  });
}

// Guards against a choice that never finds the one of several snapshots that
// all services hold.
TEST_CASE("SnapshotChoice_OneOfSeveralHeldInFull_FindsItAndStays") {
  CheckProperty(6, 300, [] {
    snapshot_fixture f(*rc::gen::inRange<std::size_t>(1, 9));
    f.reports_newest = *rc::gen::arbitrary<bool>();
    const auto count = *rc::gen::inRange<std::uint64_t>(2, 6);
    const auto complete = *rc::gen::inRange<std::uint64_t>(1, count + 1);
    std::vector<snapshot_id> all;
    for (std::uint64_t i = 1; i <= count; ++i) all.push_back(snapshot_id{i});
    for (auto& each : f.loaded) {
      each = {snapshot_id{complete}};
      for (const snapshot_id snapshot : all) {
        if (*rc::gen::arbitrary<bool>()) each.insert(snapshot);
      }
    }
    f.Publish(all);
    std::uint64_t tries = 0;
    while (f.RunQuery().status != answer_status::complete) {
      RC_ASSERT(++tries < count);
    }
    for (int i = 0; i < 5; ++i) {
      RC_ASSERT(f.RunQuery().status == answer_status::complete);
    }
  });
}

// Guards against an answer that mixes snapshots or has a coverage other than
// that of its plan, for any order of publications, loads, drops, and partial,
// late or duplicate results.
TEST_CASE("SnapshotChoice_AnyChangeOfSnapshots_AnswersFromOnePlan") {
  CheckProperty(7, 300, [] {
    snapshot_fixture f(*rc::gen::inRange<std::size_t>(1, 7));
    f.reports_newest = *rc::gen::arbitrary<bool>();
    std::vector<snapshot_id> published{snapshot_id{1}};
    std::map<query_id, std::set<partition_id>> gathered;
    std::uint64_t newest = 1;
    for (int step = *rc::gen::inRange(0, 80); step > 0; --step) {
      auto& service =
          f.loaded[*rc::gen::inRange<std::size_t>(0, f.loaded.size())];
      const int action = *rc::gen::inRange(0, 12);
      if (action == 0) {
        published.push_back(snapshot_id{++newest});
        f.Publish(published);
      } else if (action == 1 && published.size() > 1) {
        published.erase(published.begin());
        f.Publish(published);
      } else if (action == 2) {
        service.insert(snapshot_id{newest});
      } else if (action == 3 && !service.empty()) {
        service.erase(service.begin());
      } else if (action == 4) {
        f.known.erase(snapshot_id{newest});
      } else if (action == 5) {
        f.Start(++f.calls);
      } else if (action == 6) {
        f.Tick(milliseconds(*rc::gen::inRange(0, 300)));
      } else {
        const auto sent = f.Sent<subquery_batch>();
        if (sent.empty()) continue;
        const auto& [send, batch] =
            sent[*rc::gen::inRange<std::size_t>(0, sent.size())];
        const auto& part =
            batch.parts[*rc::gen::inRange<std::size_t>(0, batch.parts.size())];
        const part_result result = f.ResultFor(batch, part);
        const std::uint64_t strays = f.gather.Counters().stray;
        f.Deliver(send, {batch.query, batch.snapshot, {result}});
        const bool accepted = f.gather.Counters().stray == strays;
        if (accepted && result.status == part_status::ok) {
          RC_ASSERT(gathered[batch.query].insert(part.partition).second);
        }
      }
    }
    f.Tick(seconds(1));
    const auto answers = f.Collect<answer_query_effect>();
    const auto sent = f.Sent<subquery_batch>();
    RC_ASSERT(answers.size() == f.calls);
    for (const auto& each : answers) {
      const query_answer& answer = each.answer;
      const std::string text = "text " + std::to_string(Raw(each.call));
      std::map<query_id, snapshot_id> plans;
      for (const auto& [send, batch] : sent) {
        if (batch.payload == text) plans[batch.query] = batch.snapshot;
      }
      RC_ASSERT(plans.size() <= 2);
      const partition_map map = f.MakeMap(f.loaded.size(), answer.snapshot);
      const bool from_one_plan =
          std::any_of(plans.begin(), plans.end(), [&](const auto& plan) {
            if (plan.second != answer.snapshot) return false;
            std::vector<std::uint8_t> flags(map.partitions.size());
            std::vector<std::string> payloads;
            for (const partition_id id : gathered[plan.first]) {
              flags[Raw(id)] = 1;
              payloads.push_back(f.PayloadOf(plan.second, id));
            }
            const coverage_result naive = MeasureCoverage(map, flags);
            return naive.share == answer.coverage &&
                   naive.missing == answer.missing &&
                   std::equal(payloads.begin(), payloads.end(),
                              answer.parts.begin(), answer.parts.end(),
                              [](const std::string& one, const auto& other) {
                                return one == other.payload;
                              });
          });
      RC_ASSERT(from_one_plan);
    }
    RC_ASSERT(f.gather.Idle());
  });
}

}  // namespace
}  // namespace corianderrail
