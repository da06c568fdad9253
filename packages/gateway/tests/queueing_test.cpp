/** @file queueing_test.cpp Windows, queues, and refusals by load. */

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "gateway/concurrency_window.h"
#include "gateway/load_shedding.h"
#include "gateway/part_queue.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(50)};

/** A window that gets answers of a leaf one after the other. */
class window_fixture {
 protected:
  void Answer(duration latency, std::uint32_t open) {
    now_ += latency;
    window_.OnAnswer({latency, milliseconds(10), milliseconds(10), open}, now_);
  }

  concurrency_window window_;
  time_point now_ = kStart;
};

/** A queue in which a leaf becomes free every 5 ms. */
class queue_fixture {
 protected:
  static waiting_part Part(std::uint32_t rank, std::uint64_t exchange) {
    return {false, rank, exchange, 0};
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

// Guards against bounds while leafs have no queue.
TEST_CASE_METHOD(window_fixture, "Window_AnswersAsUsual_HasNoBound") {
  for (int i = 0; i < 100; ++i) Answer(milliseconds(12), 8);
  CHECK(window_.Limit(now_) > 1000);
}

// Guards against long queues at leafs, where ranks are unknown.
TEST_CASE_METHOD(window_fixture, "Window_AnswersWaited_Shrinks") {
  for (int i = 0; i < 20; ++i) Answer(milliseconds(80), 8);
  CHECK(window_.Limit(now_) < 8);
}

// Guards against one slow answer that takes a leaf's room away.
TEST_CASE_METHOD(window_fixture, "Window_OneSlowAnswer_HasNoBound") {
  for (int i = 0; i < 20; ++i) Answer(milliseconds(12), 8);
  Answer(milliseconds(60), 8);
  for (int i = 0; i < 5; ++i) Answer(milliseconds(12), 8);
  CHECK(window_.Limit(now_) > 1000);
}

// Guards against a bound that stays after the queue has gone.
TEST_CASE_METHOD(window_fixture, "Window_QueueGone_GrowsAndEnds") {
  window_.OnRefusal(8, now_);
  CHECK(window_.Limit(now_) <= 4);
  CHECK(window_.Limit(now_ + milliseconds(500)) > 5);
  CHECK(window_.Limit(now_ + seconds(10)) > 1000);
}

// Guards against a leaf that gets no request any more.
TEST_CASE_METHOD(window_fixture, "Window_RefusalsInARow_AllowsOneSoon") {
  for (int i = 0; i < 10; ++i) window_.OnRefusal(1, now_);
  CHECK(window_.Limit(now_ + milliseconds(250)) >= 1);
}

// Guards against urgent parts behind others.
TEST_CASE_METHOD(queue_fixture, "Queue_UrgentComesLater_GoesFirst") {
  Add(1, 1);
  Add(0, 2);
  REQUIRE(queue_.First());
  CHECK(queue_.First()->exchange == 2);
}

// Guards against parts whose objective has passed before those still on time.
TEST_CASE_METHOD(queue_fixture, "Queue_PartIsLate_GoesBehindOthers") {
  Add(0, 1);
  Add(1, 2);
  queue_.MarkLate(Part(0, 1));
  REQUIRE(queue_.First());
  CHECK(queue_.First()->exchange == 2);
}

// Guards against floods of urgent work that leave others nothing.
TEST_CASE_METHOD(queue_fixture, "Queue_ManyTurns_GivesLowerRanksSome") {
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

// Guards against waits that do not follow from the pace of the leafs.
TEST_CASE_METHOD(queue_fixture, "Queue_SteadyPace_ForecastsWait") {
  for (std::uint64_t i = 1; i <= 10; ++i) Add(1, i);
  for (int i = 0; i < 50; ++i) FreeLeaf();
  const duration wait = queue_.ExpectedWait(Part(1, 99), now_);
  CHECK(wait >= milliseconds(50));
  CHECK(wait <= milliseconds(60));
  CHECK(queue_.ExpectedWait(Part(0, 99), now_) <= milliseconds(6));
}

// Guards against queueing at a service whose leafs answer nothing.
TEST_CASE_METHOD(queue_fixture, "Queue_NoAnswers_ForecastGrows") {
  Add(1, 1);
  now_ += milliseconds(400);
  CHECK(queue_.ExpectedWait(Part(1, 2), now_) >= milliseconds(400));
}

// Guards against refusals for the sake of shards that need not answer.
TEST_CASE("Room_OneShardIsFull_DoesNotDecide") {
  std::vector<queue_estimate> services(10);
  services[3] = {seconds(2), milliseconds(100)};
  CHECK(EstimateRequest(services, 1).wait == duration{});
  services[4] = {seconds(1), milliseconds(50)};
  CHECK(EstimateRequest(services, 1).wait == seconds(1));
}

// Guards against queueing what is late before it has room.
TEST_CASE("Refusal_WaitExceedsObjective_IsNotWorthQueueing") {
  const request_estimate estimate{milliseconds(100), milliseconds(5)};
  CHECK_FALSE(IsWorthQueueing(estimate, milliseconds(20), milliseconds(130)));
  CHECK(IsWorthQueueing(estimate, milliseconds(20), milliseconds(400)));
  CHECK(IsWorthQueueing({}, milliseconds(200), milliseconds(130)));
}

// Guards against refused clients that all return at the same moment.
TEST_CASE("Returns_ManyRefused_ComeBackInOrderAtThePaceOfLeafs") {
  retry_schedule schedule;
  const request_estimate estimate{milliseconds(200), milliseconds(10)};
  const duration first = schedule.Next(estimate, kStart);
  const duration second = schedule.Next(estimate, kStart);
  CHECK(first == milliseconds(200));
  CHECK(second == milliseconds(210));
}

// Guards against clients that are told to stay away for longer than a flood.
TEST_CASE("Returns_VeryManyRefused_AreBounded") {
  retry_schedule schedule;
  const request_estimate estimate{milliseconds(200), milliseconds(10)};
  duration last{};
  for (int i = 0; i < 1000; ++i) last = schedule.Next(estimate, kStart);
  CHECK(last <= seconds(1));
}

}  // namespace corianderrail::gateway
