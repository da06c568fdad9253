/** @file placement_test.cpp Leaf selection, health, repeats, answer timing. */

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "gateway/admission/answer_stats.h"
#include "gateway/admission/answer_timing.h"
#include "gateway/admission/hedge_timing.h"
#include "gateway/admission/record_merge.h"
#include "gateway/admission/repeat_budget.h"
#include "gateway/leafs/answer_kind.h"
#include "gateway/leafs/leaf_choice.h"
#include "gateway/leafs/leaf_monitor.h"
#include "gateway/routing/route_table.h"
#include "gateway/routing/weighted_round_robin.h"
#include "gateway/store/store_cache.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

leaf_candidate Candidate(duration expected) {
  leaf_candidate candidate;
  candidate.expected = expected;
  candidate.failure_cost = milliseconds(150);
  candidate.limit = 8;
  candidate.slots = 2;
  return candidate;
}

constexpr time_point kStart{seconds(50)};

/** Time until the objective with which no choice is urgent. */
constexpr duration kAmple = seconds(1);

/** A leaf monitor and functions that send and answer calls. */
class monitor_fixture {
 public:
  leaf_call Send(duration suspect_after = milliseconds(30)) {
    const leaf_call call{++calls_};
    open_call open;
    open.call = call;
    open.sent = now_;
    open.expected = milliseconds(10);
    open.unloaded = milliseconds(10);
    open.work = milliseconds(10);
    open.suspect_after = suspect_after;
    monitor_.OnSent(open);
    return call;
  }
  void Answer(duration latency) {
    const leaf_call call = Send();
    now_ += latency;
    monitor_.OnAnswer(call, now_);
  }

 protected:
  leaf_monitor monitor_;
  time_point now_ = kStart;
  std::uint64_t calls_ = 0;
};

}  // namespace

// Guards against classifying an answer wrongly, such as a refusal as a request
// that ran.
TEST_CASE("Answer_AnyStatus_IsClassified") {
  struct sample {
    int status;
    const char* signature;
    bool not_run;
    answer_kind kind;
  };
  const std::vector<sample> samples = {
      {200, "p", false, answer_kind::success},
      {200, "", false, answer_kind::failed},
      {404, "p", false, answer_kind::client_fault},
      {404, "", false, answer_kind::failed},
      {400, "", true, answer_kind::client_fault},
      {421, "", false, answer_kind::misdirected},
      {429, "", true, answer_kind::not_run},
      {429, "p", false, answer_kind::failed},
      {503, "", true, answer_kind::not_run},
      {503, "", false, answer_kind::failed},
      {500, "p", false, answer_kind::failed},
  };
  for (const sample& one : samples) {
    leaf_answer answer;
    answer.status = one.status;
    answer.signature = one.signature;
    answer.not_run = one.not_run;
    INFO(one.status << one.signature << one.not_run);
    CHECK(KindOf(answer) == one.kind);
  }
}

// Guards against choosing a far leaf while a near one is healthy.
TEST_CASE("Choice_AllHealthy_SelectsTheNearest") {
  const std::vector<leaf_candidate> leafs = {Candidate(milliseconds(50)),
                                             Candidate(milliseconds(10))};
  const auto choice = ChooseLeaf(leafs, kAmple);
  CHECK(choice.outcome == choice_outcome::chosen);
  CHECK(choice.index == 1);
}

// Guards against choosing a near leaf that is slow, failing, stalled, full or
// leaving while a far one is expected to answer earlier.
TEST_CASE("Choice_NearLeafImpaired_SelectsAFarOne") {
  std::vector<leaf_candidate> leafs = {Candidate(milliseconds(10)),
                                       Candidate(milliseconds(50))};
  SECTION("slow") { leafs[0].slowness = 6; }
  SECTION("failing") { leafs[0].failure_rate = 0.4; }
  SECTION("stalled") { leafs[0].eligibility = leaf_eligibility::stalled; }
  SECTION("full") { leafs[0].open = leafs[0].limit; }
  SECTION("leaving") { leafs[0].eligibility = leaf_eligibility::last_resort; }
  CHECK(ChooseLeaf(leafs, kAmple).index == 1);
}

// Guards against traffic between regions on a calm day: a near leaf that is a
// little slower for a moment loses its requests to a far one, although both
// answer long before the objective.
TEST_CASE("Choice_NearLeafOnTime_IsKept") {
  std::vector<leaf_candidate> leafs = {Candidate(milliseconds(25)),
                                       Candidate(milliseconds(20))};
  leafs[0].near = true;
  CHECK(ChooseLeaf(leafs, milliseconds(86)).index == 0);
}

// Guards against late answers and long detours for the sake of distance.
TEST_CASE("Choice_NearLeafLateOrMuchSlower_SelectsAFarOne") {
  std::vector<leaf_candidate> leafs = {Candidate(milliseconds(25)),
                                       Candidate(milliseconds(20))};
  leafs[0].near = true;
  SECTION("no time for a second leaf") {
    CHECK(ChooseLeaf(leafs, milliseconds(60)).index == 1);
  }
  SECTION("much slower") {
    leafs[0].slowness = 2;
    CHECK(ChooseLeaf(leafs, kAmple).index == 1);
  }
  SECTION("stalled") {
    leafs[0].eligibility = leaf_eligibility::stalled;
    CHECK(ChooseLeaf(leafs, kAmple).index == 1);
  }
  SECTION("full") {
    leafs[0].open = leafs[0].limit;
    CHECK(ChooseLeaf(leafs, kAmple).index == 1);
  }
}

// Guards against refusing a request that a stalled or leaving leaf could serve.
TEST_CASE("Choice_OnlyImpairedLeafs_SelectsTheBest") {
  std::vector<leaf_candidate> leafs = {Candidate(milliseconds(10)),
                                       Candidate(milliseconds(10)),
                                       Candidate(milliseconds(10))};
  leafs[0].eligibility = leaf_eligibility::unusable;
  leafs[1].eligibility = leaf_eligibility::last_resort;
  leafs[2].eligibility = leaf_eligibility::stalled;
  CHECK(ChooseLeaf(leafs, kAmple).index == 2);
  leafs[2].open = 8;
  CHECK(ChooseLeaf(leafs, kAmple).index == 1);
  leafs[1].open = 8;
  CHECK(ChooseLeaf(leafs, kAmple).outcome == choice_outcome::full);
}

// Guards against sending requests to a leaf during a pause, when its latency
// statistics still look good.
TEST_CASE_METHOD(monitor_fixture, "Monitor_NoAnswerInTime_LeafIsStalled") {
  const leaf_call call = Send(milliseconds(30));
  CHECK_FALSE(monitor_.Stalled(now_ + milliseconds(29)));
  CHECK(monitor_.Stalled(now_ + milliseconds(30)));
  now_ += milliseconds(200);
  monitor_.OnAnswer(call, now_);
  CHECK_FALSE(monitor_.Stalled(now_));
}

// Guards against counting one pause several times, once per waiting request.
TEST_CASE_METHOD(monitor_fixture, "Monitor_RequestsDuringOnePause_CountOnce") {
  const leaf_call first = Send();
  const leaf_call second = Send();
  const leaf_call third = Send();
  now_ += milliseconds(200);
  monitor_.OnAnswer(first, now_);
  const double after_one = monitor_.Performance().Slowness(now_);
  monitor_.OnAnswer(second, now_);
  monitor_.OnAnswer(third, now_);
  CHECK(after_one > 1.5);
  CHECK(monitor_.Performance().Slowness(now_) <= after_one);
}

// Guards against never trying a slow leaf again.
TEST_CASE_METHOD(monitor_fixture, "Monitor_SlowThenIdle_Recovers") {
  for (int i = 0; i < 5; ++i) Answer(milliseconds(120));
  CHECK(monitor_.Performance().Slowness(now_) > 5);
  CHECK(monitor_.Performance().Slowness(now_ + seconds(20)) < 1.5);
}

// Guards against preferring a leaf that refuses often but answers fast.
TEST_CASE_METHOD(monitor_fixture, "Monitor_LeafRefuses_CountsAsFailure") {
  for (int i = 0; i < 10; ++i) {
    monitor_.OnShed(Send(), now_);
    Answer(milliseconds(10));
  }
  CHECK(monitor_.FailureRate(now_) > 0.3);
  CHECK(monitor_.Window().Limit(now_) < 3);
  CHECK_FALSE(monitor_.OnProbation());
}

// Guards against ejecting a leaf because this host has too many connections to
// it.
TEST_CASE_METHOD(monitor_fixture, "Monitor_LeafFull_IsNotEjected") {
  for (int i = 0; i < 6; ++i) {
    monitor_.OnFailure(Send(), leaf_failure::full, now_);
  }
  CHECK_FALSE(monitor_.OnProbation());
}

// Guards against a burst of hedges that leaves no budget for retries.
TEST_CASE("Budget_HedgesExhaustTheirShare_RetriesAreLeft") {
  repeat_budget budget({0.2, 10, seconds(10)});
  for (int i = 0; i < 100; ++i) budget.OnFirst(kStart);
  int hedges = 0;
  while (budget.TrySpend(repeat_reason::hedge, kStart)) ++hedges;
  int retries = 0;
  while (budget.TrySpend(repeat_reason::failure, kStart)) ++retries;
  CHECK(hedges > 10);
  CHECK(retries > 0);
  CHECK(hedges + retries <= 30);
}

// Guards against more repeats in any window than the budget allows.
TEST_CASE("Budget_AnyWindow_KeepsTheBound") {
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 4;
  repeat_budget budget({kRatio, kSlack, seconds(10)});
  std::vector<time_point> first;
  std::vector<time_point> repeats;
  for (int step = 0; step < 6000; ++step) {
    const time_point now = kStart + milliseconds(10) * step;
    const bool flood = step / 500 % 2 == 0;
    if (flood || step % 10 == 0) {
      budget.OnFirst(now);
      first.push_back(now);
    }
    if (budget.TrySpend(repeat_reason::failure, now)) repeats.push_back(now);
  }
  const auto within = [](const std::vector<time_point>& all, time_point end) {
    return std::count_if(all.begin(), all.end(), [&](time_point at) {
      return at <= end && at > end - seconds(10);
    });
  };
  // The repeats of a window are compared with the first requests of the same
  // window or of the one that ended 5 s earlier, whichever had more.
  for (const time_point end : repeats) {
    const auto requests =
        std::max(within(first, end), within(first, end - seconds(5)));
    CHECK(within(repeats, end) <=
          kRatio * static_cast<double>(requests) + kSlack);
  }
}

// Guards against hedges that are sent too early or too late to help.
TEST_CASE("Hedge_ObjectiveNear_IsSentWhileASecondLeafCanAnswer") {
  hedge_inputs inputs;
  inputs.sent = kStart;
  inputs.predicted = inputs.expected = milliseconds(10);
  inputs.tail = milliseconds(60);
  inputs.alternative = milliseconds(50);
  inputs.objective_at = kStart + milliseconds(90);
  CHECK(HedgeAt(inputs) == kStart + milliseconds(40));
  inputs.objective_at = kStart + milliseconds(500);
  CHECK(HedgeAt(inputs) == kStart + milliseconds(60));
  inputs.objective_at = kStart;
  CHECK(HedgeAt(inputs) == kStart + milliseconds(15));
}

// Guards against answering with too few parts, and against answering late
// although enough parts arrived on time.
TEST_CASE("Gather_Progress_DecidesWhenToAnswer") {
  gather_progress progress{
      10, 8, 2, 0.89, kStart + milliseconds(100), kStart + milliseconds(800)};
  const auto at = [&](int ms) {
    return DecideGather(progress, kStart + milliseconds(ms));
  };
  CHECK(at(50) == gather_step::wait);
  CHECK(at(150) == gather_step::wait);
  CHECK(at(800) == gather_step::fail);
  progress.answered = 9;
  progress.open = 1;
  CHECK(at(50) == gather_step::wait);
  CHECK(at(100) == gather_step::answer);
  progress.open = 0;
  CHECK(at(50) == gather_step::answer);
  progress.answered = 7;
  progress.open = 1;
  CHECK(at(50) == gather_step::fail);
}

// Guards against a split that deviates from its weights.
TEST_CASE("Split_ManyRequests_FollowsTheWeights") {
  const std::vector<weighted_service> targets = {{"a", 3}, {"b", 1}};
  weighted_round_robin split;
  int first = 0;
  for (int i = 0; i < 400; ++i) {
    if (split.Next(targets) == 0) ++first;
  }
  CHECK(first == 300);
}

// Guards against requests for a service that a newer configuration took out of
// use by the weight 0, as long as it has credit left.
TEST_CASE("Split_WeightBecomesZero_GetsNothing") {
  weighted_round_robin split;
  const std::vector<weighted_service> before = {{"a", 1}, {"b", 1}};
  CHECK(split.Next(before) == 0);
  const std::vector<weighted_service> after = {{"a", 1}, {"b", 0}};
  for (int i = 0; i < 10; ++i) CHECK(split.Next(after) == 0);
}

// Guards against a prefix that matches only part of a path segment.
TEST_CASE("Routes_LongestPrefix_Wins") {
  auto config = std::make_shared<routing_config>();
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    route one;
    one.name = prefix;
    one.host = "h";
    one.prefix = prefix;
    config->routes.push_back(one);
  }
  const route_table table(config);
  CHECK(table.Find("h", "/a/b/c")->name == "/a/b/");
  CHECK(table.Find("h", "/a/bc")->name == "/a/");
  CHECK(table.Find("h", "/x")->name == "/");
  CHECK(table.Find("h", "x") == nullptr);
  CHECK(table.Find("other", "/a/") == nullptr);
}

// Guards against counting a latency in the wrong bucket or rank.
TEST_CASE("Stats_Latencies_AreCountedByRankAndOutcome") {
  answer_stats stats;
  stats.Add(0, answer_outcome::whole, milliseconds(5));
  stats.Add(0, answer_outcome::whole, milliseconds(6));
  stats.Add(9, answer_outcome::refused, seconds(9));
  const auto& whole = stats.Of(0, answer_outcome::whole);
  CHECK(whole.buckets[0] == 1);
  CHECK(whole.buckets[1] == 1);
  CHECK(whole.sum == milliseconds(11));
  CHECK(stats.Of(3, answer_outcome::refused).buckets.back() == 1);
}

// Guards against a reader that misses a removal between two reads.
TEST_CASE("Cache_ChangesAfter_HoldsRemovalsAndNoGap") {
  store_cache cache;
  CHECK_FALSE(cache.List());
  const std::vector<store_item> listing = {{"a", 3, false, "x"},
                                           {"b", 4, false, "y"}};
  cache.Apply(listing, 10);
  const std::vector<store_item> changes = {{"a", 11, true, ""},
                                           {"c", 12, false, "z"}};
  cache.Apply(changes, 12);
  CHECK(cache.List()->items.size() == 2);
  const auto after = cache.ChangesAfter(10);
  REQUIRE(after);
  CHECK(after->items.size() == 2);
  CHECK(after->revision == 12);
  CHECK_FALSE(cache.ChangesAfter(9));
}

}  // namespace corianderrail::gateway
