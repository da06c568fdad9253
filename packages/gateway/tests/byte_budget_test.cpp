/** @file byte_budget_test.cpp Who gives way when messages fill the memory. */

#include "gateway/admission/byte_budget.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>

#include "core/random.h"
#include "gateway/admission/memory_shares.h"

namespace corianderrail::gateway {

namespace {

constexpr std::size_t kBound = 1000;
constexpr sender_id kFaulty{1};
constexpr sender_id kSound{2};

using ids = std::vector<message_id>;
using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr std::size_t kPerStep = kUsualBytesPerSecond / 10;

/** Lets messages make progress in steps of 100 ms. */
class pace_fixture {
 public:
  /** One step of a message that holds `bytes` and moves `moved`. */
  std::vector<given_up_message> Step(message_id id, sender_id from,
                                     std::size_t bytes, std::size_t moved) {
    return budget_.Update(id, from, {bytes, moved, now_});
  }

  void Pass(milliseconds time) { now_ += time; }

 protected:
  byte_budget budget_{byte_bounds{100'000, 60'000, 50'000},
                      byte_flow::read_by_peer};
  time_point now_ = kStart;
};

}  // namespace

// Guards against sound messages that are dropped because one sender fills the
// bound.
TEST_CASE("Bytes_BoundExceeded_GreatestHolderGivesWay") {
  byte_budget budget(kBound);
  CHECK(budget.Set(message_id{1}, kFaulty, 300).empty());
  CHECK(budget.Set(message_id{2}, kFaulty, 600).empty());
  CHECK(budget.Set(message_id{3}, kSound, 150) == ids{message_id{2}});
  CHECK(budget.Total() == 450);
  CHECK(budget.Set(message_id{3}, kSound, 200).empty());
}

// Guards against a bound that one message alone exceeds.
TEST_CASE("Bytes_OneMessageTooLarge_GivesWayItself") {
  byte_budget budget(kBound);
  CHECK(budget.Set(message_id{1}, kFaulty, 1001) == ids{message_id{1}});
  CHECK(budget.Total() == 0);
}

// Guards against giving up a request that is being served.
TEST_CASE("Bytes_CompleteMessages_AreKept") {
  byte_budget budget(kBound);
  CHECK(budget.Set(message_id{1}, kFaulty, 900).empty());
  budget.Complete(message_id{1});
  CHECK(budget.Set(message_id{2}, kSound, 200) == ids{message_id{2}});
  CHECK(budget.Total() == 900);
  budget.Remove(message_id{1});
  CHECK(budget.Total() == 0);
}

// Guards against accounts that drift in any order of calls.
TEST_CASE("Bytes_RandomMessages_StayWithinTheBound") {
  random_source random(7);
  byte_budget budget(kBound);
  std::map<message_id, std::pair<std::size_t, bool>> held;
  for (int i = 0; i < 20'000; ++i) {
    const message_id id{random.Below(20)};
    const sender_id sender{static_cast<std::uint64_t>(id) % 5};
    switch (random.Below(4)) {
      case 0:
        budget.Remove(id);
        held.erase(id);
        break;
      case 1:
        budget.Complete(id);
        if (held.contains(id)) held[id].second = true;
        break;
      default: {
        if (held.contains(id) && held[id].second) break;
        const std::size_t bytes = random.Below(400);
        held[id] = {bytes, false};
        for (const message_id gone : budget.Set(id, sender, bytes)) {
          REQUIRE_FALSE(held.at(gone).second);
          held.erase(gone);
        }
      }
    }
    std::size_t total = 0;
    std::size_t complete = 0;
    for (const auto& [key, one] : held) {
      total += one.first;
      if (one.second) complete += one.first;
    }
    REQUIRE(budget.Total() == total);
    REQUIRE((total <= kBound || total == complete));
  }
}

// Guards against ending the largest transfer although a slower one exists, and
// against a peer that hides by moving a byte from time to time.
TEST_CASE_METHOD(pace_fixture, "Bytes_TotalExceeded_SlowestGivesWay") {
  for (int step = 0; step < 20; ++step, Pass(milliseconds(100))) {
    CHECK(Step(message_id{1}, kFaulty, 20'000, step % 5 == 0 ? 1 : 0).empty());
    CHECK(Step(message_id{2}, kSound, 45'000, 2 * kPerStep).empty());
  }
  const auto ended = Step(message_id{3}, sender_id{3}, 40'000, 0);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].message == message_id{1});
  CHECK(ended[0].bound == byte_bound::total);
  CHECK(ended[0].bytes == 20'000);
  CHECK(ended[0].behind >= milliseconds(1900));
}

// Guards against ending a sound transfer that has waited for a round trip in
// place of fresh ones of a peer that fills the memory.
TEST_CASE_METHOD(pace_fixture, "Bytes_NoneIsBehind_GreatestHolderGivesWay") {
  CHECK(Step(message_id{1}, kSound, 2'000, 0).empty());
  Pass(milliseconds(200));
  CHECK(Step(message_id{2}, kFaulty, 30'000, 0).empty());
  CHECK(Step(message_id{3}, kFaulty, 25'000, 0).empty());
  const auto ended = Step(message_id{4}, sender_id{3}, 45'000, 0);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].message == message_id{2});
}

// Guards against a bound of one peer or connection that ends another one, even
// a slower one.
TEST_CASE_METHOD(pace_fixture, "Bytes_PeerExceedsItsBound_OnlyItGivesWay") {
  CHECK(Step(message_id{1}, kSound, 100, 0).empty());
  Pass(milliseconds(5000));
  CHECK(Step(message_id{2}, kFaulty, 40'000, 0).empty());
  Pass(milliseconds(1000));
  const auto of_peer = Step(message_id{3}, kFaulty, 30'000, 0);
  REQUIRE(of_peer.size() == 1);
  CHECK(of_peer[0].message == message_id{2});
  CHECK(of_peer[0].bound == byte_bound::sender);
  const auto alone = Step(message_id{3}, kFaulty, 50'001, 0);
  REQUIRE(alone.size() == 1);
  CHECK(alone[0].message == message_id{3});
  CHECK(alone[0].bound == byte_bound::message);
}

// Guards against ending sound transfers beside slow ones, and against totals
// above the bound, for any order of events.
TEST_CASE_METHOD(pace_fixture, "Bytes_SlowBesideSound_SoundOnesAreKept") {
  random_source random(11);
  std::map<std::uint64_t, std::size_t> held;
  std::size_t ends = 0;
  for (int step = 0; step < 2000; ++step, Pass(milliseconds(100))) {
    for (std::uint64_t id = 0; id < 40; ++id) {
      const bool slow = id % 2 == 0;
      std::size_t& bytes = held[id];
      // A sound peer empties what it got by the next step.
      std::size_t moved = slow ? random.Below(3) : bytes;
      moved = std::min(moved, bytes);
      bytes -= moved;
      bytes += random.Below(slow ? 3000 : 1000);
      const auto ended = Step(message_id{id}, sender_id{id}, bytes, moved);
      for (const given_up_message& one : ended) {
        const auto gone = static_cast<std::uint64_t>(one.message);
        REQUIRE(gone % 2 == 0);
        held[gone] = 0;
        ++ends;
      }
      REQUIRE(budget_.Total() <= 100'000);
    }
  }
  CHECK(ends > 100);
}

// Guards against totals that no longer hold the largest answer of a leaf, or
// that together take most of the smallest host.
TEST_CASE("Shares_OfEachHostSize_HoldTheLargestAnswerWithinTheMemory") {
  for (const std::uint64_t megabytes : {112u, 160u, 512u}) {
    const memory_shares shares = SharesOf(memory_limit_mb{megabytes});
    const std::size_t together =
        shares.answers.total + shares.client_requests.total +
        shares.leaf_requests.total + shares.leaf_answers.total;
    CHECK(together <= megabytes * (1u << 20) * 36 / 100);
    CHECK(shares.answers.message >= 9u << 20);
    CHECK(shares.answers.sender <= shares.answers.total);
    CHECK(shares.leaf_answers.total > 8u << 20);
    CHECK(shares.client_requests.message >= 1u << 20);
    CHECK(shares.leaf_in_flight == kMinLeafBytesInFlight);
    const memory_shares large = SharesOf(memory_limit_mb{megabytes}, 8u << 20);
    CHECK(large.leaf_requests.message >= 16u << 20);
    CHECK(large.leaf_in_flight >= 32u << 20);
  }
}

}  // namespace corianderrail::gateway
