/** @file store_probe_test.cpp When a lost store is probed. */

#include "gateway/store/store_probe.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "gateway/store/store_reader.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class probe_fixture {
 protected:
  store_probe probe_{1};
  time_point now_{seconds(1)};
};

}  // namespace

// Guards against a host that waits before it tests whether only its connection
// was lost.
TEST_CASE_METHOD(probe_fixture, "Probe_Started_IsDueAtOnceAndOnlyOnce") {
  CHECK(probe_.NextWake() == kNever);
  probe_.Start(now_);
  REQUIRE(probe_.Next(now_));
  CHECK_FALSE(probe_.Next(now_));
  CHECK(probe_.NextWake() == kNever);
}

// Guards against many calls to a store that refuses this host, and against a
// return that is noticed late.
TEST_CASE_METHOD(probe_fixture, "Probe_StoreStaysAway_AsksEachSecond") {
  probe_.Start(now_);
  int probes = 0;
  const time_point end = now_ + seconds(10);
  for (; now_ < end; now_ = probe_.NextWake()) {
    REQUIRE(probe_.Next(now_));
    probe_.OnFailure(now_);
    CHECK(probe_.NextWake() <= now_ + seconds(1));
    ++probes;
  }
  CHECK(probes <= 22);
}

// Guards against probes that always time out because the store is slow.
TEST_CASE_METHOD(probe_fixture, "Probe_TimesOut_SometimesAllowsMoreTime") {
  probe_.Start(now_);
  duration longest{};
  for (int i = 0; i < 3; ++i) {
    longest = std::max(longest, probe_.Next(now_).value());
    probe_.OnFailure(now_);
    now_ = probe_.NextWake();
  }
  CHECK(longest >= milliseconds(1500));
}

// Guards against a canceled probe that starts the next one.
TEST_CASE_METHOD(probe_fixture, "Probe_StoppedWhileOpen_StaysStopped") {
  probe_.Start(now_);
  REQUIRE(probe_.Next(now_));
  probe_.Stop();
  probe_.OnFailure(now_);
  CHECK_FALSE(probe_.Active());
  CHECK(probe_.NextWake() == kNever);
}

// Guards against a large fleet whose hosts all probe at the same moment.
TEST_CASE("Probe_LargeFleet_IsSpreadOverTime") {
  const time_point now(seconds(10));
  const duration spread = seconds(20);
  int prompt = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    store_probe probe(seed);
    probe.Start(now, spread);
    CHECK(probe.NextWake() >= now);
    CHECK(probe.NextWake() <= now + spread);
    if (probe.NextWake() < now + seconds(1)) ++prompt;
    REQUIRE(probe.Next(now + spread));
    probe.OnFailure(now + spread);
    CHECK(probe.NextWake() >= now + spread + spread / 2);
  }
  CHECK(prompt <= 30);
}

// Guards against a host that asks without a pause whether a probe is due, while
// it lists the store and its items are stale.
TEST_CASE("Reader_ListsWithStaleItems_NeedsNoProbe") {
  store_reader reader({{}, "a", 1, {}});
  time_point now(seconds(10));
  const auto read = [&] {
    now = std::max(now, reader.NextWake());
    const auto due = reader.Next({}, now);
    REQUIRE(due);
    return due->read.kind;
  };
  const auto reply = [&](std::uint64_t revision) {
    reader.OnReply({{{"k", revision, false, ""}}, revision, false}, {}, now);
  };
  CHECK(read() == store_read_kind::list);
  reply(5);
  CHECK(read() == store_read_kind::watch);  // Since the stale listing.
  reply(5);
  CHECK(read() == store_read_kind::watch);
  CHECK(reader.NextProbeWake() > now);
  now += seconds(3);
  reader.OnFailure(store_failure::compacted, now);
  CHECK(read() == store_read_kind::list);
  CHECK(reader.Stale(now));
  CHECK_FALSE(reader.NextProbe(now));
  CHECK(reader.NextProbeWake() == kNever);
  reply(9);
  CHECK(read() == store_read_kind::watch);
  CHECK_FALSE(reader.Stale(now));
  CHECK(reader.NextProbeWake() > now);
}

}  // namespace corianderrail::gateway
