/** @file byte_budget_test.cpp Who gives way when messages fill the memory. */

#include "gateway/admission/byte_budget.h"

#include <catch2/catch.hpp>
#include <map>

#include "core/random.h"

namespace corianderrail::gateway {

namespace {

constexpr std::size_t kBound = 1000;
constexpr sender_id kFaulty{1};
constexpr sender_id kSound{2};

using ids = std::vector<message_id>;

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

}  // namespace corianderrail::gateway
