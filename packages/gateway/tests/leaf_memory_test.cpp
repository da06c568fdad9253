/** @file leaf_memory_test.cpp Entries that lapse and return. */

#include "gateway/leafs/leaf_memory.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "core/random.h"
#include "gateway/leafs/leaf_directory.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

constexpr duration kDrainTime = seconds(3);

/** Longest time between two reads of a host that is in touch. */
constexpr std::uint64_t kMaxReadGapMs = 1700;

/**
 * A leaf, its entry in the store and a host, in virtual time. The leaf drains,
 * takes that back, restarts, lapses and returns, and gives up its address; the
 * host reads the store at intervals or is cut off from it.
 */
class registration_model {
 public:
  explicit registration_model(std::uint64_t seed)
      : random_(seed), directory_({kDrainTime}) {
    record_ = gateway_fixture::Leaf("plain", "a-1");
    record_.born_unix_ms = 1;
    Read();
  }

  /** One step; false when a request reached the leaf beyond a bound. */
  bool Step() {
    now_ += milliseconds(random_.Below(500));
    ChangeLeaf();
    if (random_.Below(20) == 0) cut_ = !cut_;
    if (cut_) in_touch_since_ = kNever;
    const bool due = now_ >= read_at_ + milliseconds(kMaxReadGapMs - 500);
    if (!cut_ && (due || random_.Below(4) == 0)) Read();
    directory_.RemoveExpired(now_);
    return Request();
  }

 private:
  void ChangeLeaf() {
    switch (random_.Below(14)) {
      case 0:  // Drains.
        if (listed_ && !record_.draining) {
          record_.draining = true;
          drain_ack_ = now_;
        }
        break;
      case 1:  // Takes it back, before it has said so itself.
        if (record_.draining && !says_leaving_) {
          record_.draining = false;
          drain_ack_ = kNever;
        }
        break;
      case 2:  // Its entry lapses.
        listed_ = false;
        break;
      case 3:
      case 4:  // Its entry returns.
        listed_ = true;
        break;
      case 5:  // Says in its answers that it leaves.
        says_leaving_ = true;
        break;
      case 6:  // Restarts, sometimes at another address.
        if (random_.Below(3) != 0) break;
        ++record_.born_unix_ms;
        if (random_.Below(2) == 0) {
          record_.address =
              "10.0.0." + std::to_string(1 + random_.Below(3)) + ":1";
        }
        record_.draining = false;
        listed_ = true;
        says_leaving_ = false;
        drain_ack_ = kNever;
        told_leaving_ = kNever;
        break;
      default:
        break;
    }
  }

  void Read() {
    const registry_timing timing{read_at_, false};
    if (!listed_ && seen_listed_) {
      directory_.Apply({"k", ++revision_, std::nullopt, false}, timing, now_);
    } else if (listed_ && (!seen_listed_ || !(seen_ == record_))) {
      directory_.Apply({"k", ++revision_, record_, false}, timing, now_);
    }
    seen_listed_ = listed_;
    seen_ = record_;
    read_at_ = now_;
    if (in_touch_since_ == kNever) in_touch_since_ = now_;
  }

  bool Request() {
    for (leaf_state* leaf : directory_.LeafsOf("plain")) {
      if (directory_.Eligibility(*leaf, now_) == leaf_eligibility::unusable) {
        continue;
      }
      // Another process at the address rejects the request.
      if (leaf->record.born_unix_ms != record_.born_unix_ms) continue;
      const bool told_late =
          told_leaving_ != kNever && now_ > told_leaving_ + kDrainTime;
      const bool in_touch = in_touch_since_ != kNever &&
                            in_touch_since_ + seconds(5) <= drain_ack_;
      const bool drained =
          in_touch && drain_ack_ != kNever && now_ > drain_ack_ + kDrainTime;
      if (told_late || drained) return false;
      if (!says_leaving_) {
        leaf->departure.OnServing(now_);
      } else if (leaf->departure.OnStatedLeaving()) {
        told_leaving_ = now_;
      }
    }
    return true;
  }

  random_source random_;
  leaf_directory directory_;
  leaf_record record_;
  bool listed_ = true;
  bool says_leaving_ = false;
  time_point drain_ack_ = kNever;
  time_point told_leaving_ = kNever;  ///< When the host first heard it.
  leaf_record seen_;
  bool seen_listed_ = false;
  bool cut_ = false;
  time_point read_at_{};
  time_point in_touch_since_ = kNever;
  time_point now_{seconds(100)};
  std::uint64_t revision_ = 0;
};

leaf_record Record(std::int64_t born) {
  leaf_record record = gateway_fixture::Leaf("plain", "a-1");
  record.born_unix_ms = born;
  return record;
}

}  // namespace

// Guards against requests to a leaf beyond its time, whatever its entry and its
// answers did before.
TEST_CASE("Memory_RandomSequences_NoRequestIsBeyondTheBounds") {
  constexpr std::uint64_t kSequences = 10'000;
  constexpr int kSteps = 120;
  std::uint64_t late = 0;
  for (std::uint64_t seed = 1; seed <= kSequences; ++seed) {
    registration_model model(seed);
    for (int i = 0; i < kSteps; ++i) {
      if (model.Step()) continue;
      ++late;
      UNSCOPED_INFO("seed " << seed << " step " << i);
      break;
    }
  }
  CHECK(late == 0);
}

// Guards against a leaf that said that it leaves and gets fresh time when its
// entry lapses and returns.
TEST_CASE("Memory_EntryLapsesAndReturns_LeafStaysLeaving") {
  leaf_directory directory({kDrainTime});
  time_point now(seconds(50));
  directory.Apply({"k", 1, Record(7), false}, {now, false}, now);
  directory.Find(leaf_handle{1})->departure.OnServing(now);
  directory.Find(leaf_handle{1})->departure.OnStatedLeaving();
  directory.Apply({"k", 2, std::nullopt, false}, {now, false}, now);
  now += seconds(4);
  CHECK(directory.RemoveExpired(now).size() == 1);
  CHECK(directory.Remembered() == 1);
  directory.Apply({"k", 3, Record(7), false}, {now, false}, now);
  CHECK(directory.Remembered() == 0);
  CHECK(directory.Eligibility(*directory.FindKey("k"), now) ==
        leaf_eligibility::unusable);
  directory.Apply({"k", 4, Record(8), false}, {now, false}, now);
  CHECK(directory.Eligibility(*directory.FindKey("k"), now) ==
        leaf_eligibility::healthy);
}

// Guards against trusting a failing leaf anew because its entry was written
// again, also after another writer had taken the key.
TEST_CASE("Memory_KeyIsWrittenAnew_FailuresAreKept") {
  leaf_directory directory({kDrainTime});
  const time_point now(seconds(50));
  directory.Apply({"k", 1, Record(7), false}, {now, false}, now);
  leaf_state* leaf = directory.Find(leaf_handle{1});
  leaf->monitor.OnSent({leaf_call{1}, now, {}, {}, {}, {}});
  leaf->monitor.OnFailure(leaf_call{1}, leaf_failure::timed_out, now);
  REQUIRE(leaf->monitor.OnProbation());
  leaf_record other = Record(9);
  other.address = "10.0.0.9:1";
  directory.Apply({"k", 2, other, false}, {now, false}, now);
  CHECK(directory.Eligibility(*directory.FindKey("k"), now) ==
        leaf_eligibility::healthy);
  directory.Apply({"k", 3, Record(7), false}, {now, false}, now);
  CHECK(directory.Eligibility(*directory.FindKey("k"), now) ==
        leaf_eligibility::unusable);
}

// Guards against memory that grows with each leaf that ever was.
TEST_CASE("Memory_ManyLeafsLeave_IsBoundedInSizeAndTime") {
  leaf_directory directory({kDrainTime});
  time_point now(seconds(50));
  for (int i = 0; i < 5000; ++i) {
    const std::string key = std::to_string(i);
    directory.Apply({key, 1, Record(i + 1), false}, {now, false}, now);
    directory.Apply({key, 2, std::nullopt, false}, {now, false}, now);
    now += milliseconds(10);
    directory.RemoveExpired(now);
  }
  now += seconds(4);
  directory.RemoveExpired(now);
  CHECK(directory.Size() == 0);
  CHECK(directory.Remembered() == 2048);
  now += seconds(120);
  directory.RemoveExpired(now);
  CHECK(directory.Remembered() == 0);
}

// Guards against a fresh budget for a service that leaves the configuration for
// a moment.
TEST_CASE("Budget_RequestsInTheWindow_IsNotIdle") {
  repeat_budget budget({0.2, 1, seconds(10)});
  const time_point now(seconds(50));
  CHECK(budget.Idle(now));
  budget.OnFirst(now);
  CHECK_FALSE(budget.Idle(now + seconds(9)));
  CHECK(budget.Idle(now + seconds(12)));
}

}  // namespace corianderrail::gateway
