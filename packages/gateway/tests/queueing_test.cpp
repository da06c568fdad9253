/** @file queueing_test.cpp Concurrency windows, queues and load shedding. */

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "gateway/admission/load_shedding.h"
#include "gateway/admission/part_queue.h"
#include "gateway/leafs/concurrency_window.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(50)};

/** A window that receives answers one at a time. */
class window_fixture {
 protected:
  void Answer(duration latency, std::uint32_t open) {
    now_ += latency;
    window_.OnAnswer({latency, milliseconds(10), milliseconds(10), open}, now_);
  }

  concurrency_window window_;
  time_point now_ = kStart;
};

/** A queue whose service has a free leaf every 5 ms. */
class queue_fixture {
 protected:
  static waiting_part Part(std::uint32_t rank, std::uint64_t exchange) {
    return {false, rank, true, exchange, 0};
  }
  void Add(std::uint32_t rank, std::uint64_t exchange) {
    queue_.Add(Part(rank, exchange), milliseconds(5), now_);
  }
  void FreeLeaf() {
    now_ += milliseconds(5);
    queue_.OnLeafFree(now_);
  }

  part_queue queue_;
  time_point now_ = kStart;
};

}  // namespace

// Guards against a limit while leafs have no queue.
TEST_CASE_METHOD(window_fixture, "Window_AnswersAsUsual_HasNoLimit") {
  for (int i = 0; i < 100; ++i) Answer(milliseconds(12), 8);
  CHECK(window_.Limit(now_) > 1000);
}

// Guards against long queues at leafs, which do not know ranks.
TEST_CASE_METHOD(window_fixture, "Window_AnswersWereQueued_Shrinks") {
  for (int i = 0; i < 20; ++i) Answer(milliseconds(80), 8);
  CHECK(window_.Limit(now_) < 8);
}

// Guards against hosts that refill the queue of a slow leaf before an answer
// shows their effect.
TEST_CASE_METHOD(window_fixture, "Window_AnswersTakeLong_GrowsSlowly") {
  for (int i = 0; i < 20; ++i) Answer(milliseconds(300), 2);
  const double shrunk = window_.Limit(now_);
  CHECK(window_.Limit(now_ + milliseconds(300)) < shrunk + 0.5);
}

// Guards against limiting a leaf because of a single slow answer.
TEST_CASE_METHOD(window_fixture, "Window_OneSlowAnswer_HasNoLimit") {
  for (int i = 0; i < 20; ++i) Answer(milliseconds(12), 8);
  Answer(milliseconds(60), 8);
  for (int i = 0; i < 5; ++i) Answer(milliseconds(12), 8);
  CHECK(window_.Limit(now_) > 1000);
}

// Guards against a limit that remains after the queue is gone.
TEST_CASE_METHOD(window_fixture, "Window_QueueGone_GrowsAndEnds") {
  window_.OnRefusal(8, now_);
  CHECK(window_.Limit(now_) <= 4);
  CHECK(window_.Limit(now_ + milliseconds(500)) > 5);
  CHECK(window_.Limit(now_ + seconds(10)) > 1000);
}

// Guards against a limit so low that a leaf never gets a request again.
TEST_CASE_METHOD(window_fixture, "Window_RefusalsInARow_AllowsOneSoon") {
  for (int i = 0; i < 10; ++i) window_.OnRefusal(1, now_);
  CHECK(window_.Limit(now_ + milliseconds(250)) >= 1);
}

// Guards against urgent parts waiting behind less urgent ones.
TEST_CASE_METHOD(queue_fixture, "Queue_UrgentComesLater_GoesFirst") {
  Add(1, 1);
  Add(0, 2);
  REQUIRE(queue_.First());
  CHECK(queue_.First()->exchange == 2);
}

// Guards against late parts delaying those that can still be on time.
TEST_CASE_METHOD(queue_fixture, "Queue_PartIsLate_GoesBehindOthers") {
  Add(0, 1);
  Add(1, 2);
  queue_.MarkLate(Part(0, 1));
  REQUIRE(queue_.First());
  CHECK(queue_.First()->exchange == 2);
}

// Guards against starving lower ranks during a flood of urgent parts.
TEST_CASE_METHOD(queue_fixture, "Queue_ManyTurns_ServesLowerRanks") {
  Add(0, 1);
  Add(1, 2);
  int floors = 0;
  for (int i = 0; i < 100; ++i) {
    if (const auto turn = queue_.NextFloorPart()) {
      CHECK(turn->exchange == 2);
      ++floors;
    }
  }
  CHECK(floors == 10);
}

// Guards against an expected wait that ignores the rate at which leafs answer.
TEST_CASE_METHOD(queue_fixture, "Queue_SteadyRate_ForecastsWait") {
  for (std::uint64_t i = 1; i <= 10; ++i) Add(1, i);
  for (int i = 0; i < 50; ++i) FreeLeaf();
  const duration wait = queue_.ExpectedWait(Part(1, 99), now_);
  CHECK(wait >= milliseconds(50));
  CHECK(wait <= milliseconds(60));
  CHECK(queue_.ExpectedWait(Part(0, 99), now_) <= milliseconds(6));
}

// Guards against queueing at a service whose leafs stopped answering.
TEST_CASE_METHOD(queue_fixture, "Queue_NoAnswers_ForecastGrows") {
  Add(1, 1);
  now_ += milliseconds(400);
  CHECK(queue_.ExpectedWait(Part(1, 2), now_) >= milliseconds(400));
}

// Guards against refusing a query because of shards that may be missing.
TEST_CASE("Estimate_OneShardIsFull_IsIgnored") {
  std::vector<queue_estimate> services(10);
  services[3] = {seconds(2), milliseconds(100)};
  CHECK(EstimateRequest(services, 1).wait == duration{});
  services[4] = {seconds(1), milliseconds(50)};
  CHECK(EstimateRequest(services, 1).wait == seconds(1));
}

// Guards against queueing a request that will be late.
TEST_CASE("Refusal_WaitExceedsObjective_IsNotWorthQueueing") {
  const request_estimate estimate{milliseconds(100), milliseconds(5)};
  CHECK_FALSE(IsWorthQueueing(estimate, milliseconds(20), milliseconds(130)));
  CHECK(IsWorthQueueing(estimate, milliseconds(20), milliseconds(400)));
  CHECK(IsWorthQueueing({}, milliseconds(200), milliseconds(130)));
}

// Guards against sending a query whose leafs answer too late although no part
// waits in this host.
TEST_CASE("Refusal_LeafsAnswerTooLate_IsNotWorthQueueing") {
  queue_estimate estimate;
  estimate.answer = milliseconds(300);
  CHECK_FALSE(IsWorthQueueing(estimate, milliseconds(20), milliseconds(200)));
  CHECK(IsWorthQueueing(estimate, milliseconds(20), milliseconds(300)));
}

// Guards against late parts that take leafs from parts that can be on time.
TEST_CASE_METHOD(queue_fixture,
                 "Queue_OnTimePartWaited_HasNoSpareRoomForLate") {
  CHECK(queue_.HasSpareRoom(now_));
  Add(1, 1);
  CHECK_FALSE(queue_.HasSpareRoom(now_));
  queue_.Remove(Part(1, 1));
  CHECK_FALSE(queue_.HasSpareRoom(now_ + milliseconds(100)));
  CHECK(queue_.HasSpareRoom(now_ + milliseconds(200)));
}

// Guards against late parts that never run.
TEST_CASE_METHOD(queue_fixture, "Queue_OnlyLatePartsWait_HasSpareRoom") {
  waiting_part late = Part(0, 1);
  late.late = true;
  queue_.Add(late, milliseconds(5), now_);
  CHECK(queue_.HasSpareRoom(now_));
}

// Guards against a returning client that waits behind new ones where the order
// is asked for, and against one that overtakes a more urgent request.
TEST_CASE_METHOD(queue_fixture, "Queue_ClientReturned_GoesBeforeItsRankOnly") {
  Add(1, 1);
  Add(0, 2);
  waiting_part returned = Part(1, 3);
  returned.fresh = false;
  queue_.Add(returned, milliseconds(5), now_);
  REQUIRE(queue_.First()->exchange == 2);
  CHECK(queue_.After(*queue_.First())->exchange == 3);
}

// Guards against taking the delay of a slow lookup for a refusal.
TEST_CASE("Client_LessTimeThanRetryAfterGone_HasNotReturned") {
  CHECK_FALSE(HasReturned(milliseconds(2500), milliseconds(2500)));
  CHECK_FALSE(HasReturned(milliseconds(2460), milliseconds(2500)));
  CHECK(HasReturned(milliseconds(2440), milliseconds(2500)));
}

// Guards against an urgent rank that is refused while others are served, and
// against old refusals that still count.
TEST_CASE("Shares_UrgentWasRefused_LessUrgentYieldsForAWhile") {
  rank_shares shares;
  for (int i = 0; i < 10; ++i) shares.Add(1, false, kStart);
  for (int i = 0; i < 10; ++i) shares.Add(2, true, kStart);
  CHECK(shares.Yields(2, kStart));
  CHECK_FALSE(shares.Yields(1, kStart));
  CHECK_FALSE(shares.Yields(2, kStart + seconds(2)));
}

// Guards against refused clients that all return at the latest time.
TEST_CASE("Retry_ManyMoreRefusedThanServed_AreSpread") {
  retry_schedule schedule;
  const request_estimate estimate{milliseconds(100), milliseconds(10)};
  int latest = 0;
  for (int i = 0; i < 1000; ++i) {
    if (schedule.Next(estimate, kStart) >= milliseconds(990)) ++latest;
  }
  CHECK(latest <= 30);
}

// Guards against refused clients that all retry at the same time.
TEST_CASE("Retry_ManyRefused_AreSpacedAtTheRateOfLeafs") {
  retry_schedule schedule;
  const request_estimate estimate{milliseconds(200), milliseconds(10)};
  const duration first = schedule.Next(estimate, kStart);
  const duration second = schedule.Next(estimate, kStart);
  CHECK(first == milliseconds(200));
  CHECK(second == milliseconds(210));
}

// Guards against a Retry-After that lasts longer than a flood.
TEST_CASE("Retry_VeryManyRefused_IsBounded") {
  retry_schedule schedule;
  const request_estimate estimate{milliseconds(200), milliseconds(10)};
  duration last{};
  for (int i = 0; i < 1000; ++i) last = schedule.Next(estimate, kStart);
  CHECK(last <= seconds(1));
}

}  // namespace corianderrail::gateway
