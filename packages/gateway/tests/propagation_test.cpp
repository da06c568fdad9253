/** @file propagation_test.cpp When a change is in force on all hosts. */

#include <catch2/catch.hpp>
#include <chrono>

#include "core/random.h"
#include "store_simulation.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A change must be in force everywhere this long after its ack, and after the
 *  end of a fault. */
constexpr duration kPropagationLimit = seconds(3);
constexpr duration kRecoveryLimit = seconds(5);

constexpr std::uint64_t kSeeds = 100;

/** A leaf serves for this long after the acknowledgment of its drain. */
constexpr duration kDrainTime = seconds(3);

class propagation_fixture {
 public:
  /** Hosts that have read the first configuration. */
  static store_simulation Fleet(std::uint64_t seed) {
    constexpr std::size_t kSizes[] = {1, 2, 3, 6, 8, 24};
    store_simulation fleet(kSizes[seed % std::size(kSizes)], seed);
    fleet.Run(seconds(4));
    return fleet;
  }

  /** Hosts of one zone, of which two read the store. */
  static store_simulation OneZone(std::uint64_t seed) {
    store_simulation fleet(3 + seed % 6, seed, 1);
    fleet.Run(seconds(10));
    return fleet;
  }

  static duration UpTo(random_source& random, std::uint64_t most_ms) {
    return milliseconds(random.Below(most_ms));
  }

  /** Runs until the change and the recovery are due.
   *  @param ack When the store acknowledged the change.
   *  @param fault_end End of the last fault. */
  static void RunUntilDue(store_simulation& fleet, time_point ack,
                          time_point fault_end) {
    const time_point due =
        std::max(ack + kPropagationLimit, fault_end + kRecoveryLimit);
    fleet.Run(due - fleet.Now());
  }
};

}  // namespace

// Guards against a change that no host reads, because all connections stalled
// just after the hosts began to wait for changes.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_AllConnectionsStall_ChangeIsInForceInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = Fleet(seed);
    fleet.Change();
    fleet.Run(UpTo(random, 6000));
    fleet.StallConnections();
    const time_point stalled = fleet.Now();
    fleet.Run(UpTo(random, 2000));
    const time_point ack = fleet.Change();
    RunUntilDue(fleet, ack, stalled);
    INFO("seed " << seed);
    CHECK(fleet.Outdated() == 0);
  }
}

// Guards against hosts that notice the return of the store late, because their
// reads wait for longer the longer it is away.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_StoreSilentForLong_ChangeIsInForceInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = Fleet(seed);
    fleet.SetMode(store_mode::silent);
    fleet.Run(UpTo(random, 40'000));
    fleet.SetMode(store_mode::good);
    const time_point returned = fleet.Now();
    fleet.Run(UpTo(random, 1000));
    const time_point ack = fleet.Change();
    RunUntilDue(fleet, ack, returned);
    INFO("seed " << seed);
    CHECK(fleet.Outdated() == 0);
  }
}

// Guards against hosts that wait for answers which were lost before the change.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_AnswersAreLost_ChangeIsInForceInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = Fleet(seed);
    fleet.SetMode(store_mode::loses);
    fleet.Run(UpTo(random, 4000));
    fleet.Change();
    fleet.Run(UpTo(random, 4000));
    fleet.SetMode(store_mode::good);
    const time_point ended = fleet.Now();
    fleet.Run(UpTo(random, 1000));
    const time_point ack = fleet.Change();
    RunUntilDue(fleet, ack, ended);
    INFO("seed " << seed);
    CHECK(fleet.Outdated() == 0);
  }
}

// Guards against hosts that keep to a source which the store refuses.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_StoreRefusesSomeHosts_ChangeIsInForceInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    store_simulation fleet(8, seed);
    fleet.Run(seconds(4));
    const auto how =
        random.Below(2) == 0 ? store_mode::silent : store_mode::refuses;
    for (std::size_t host = 0; host < 3; ++host) {
      fleet.SetMode(random.Below(8), how);
    }
    const time_point refused = fleet.Now();
    fleet.Run(UpTo(random, 8000));
    const time_point ack = fleet.Change();
    RunUntilDue(fleet, ack, refused);
    INFO("seed " << seed);
    CHECK(fleet.Outdated() == 0);
  }
}

// Guards against an older configuration in a process that had a newer one, and
// against a change that is lost among overlapping faults.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_FaultsOverlap_EndsCurrentAndNeverGoesBack") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    store_simulation fleet(8, seed);
    fleet.Run(seconds(4));
    time_point ack = fleet.Change();
    for (int i = 0; i < 20; ++i) {
      switch (random.Below(5)) {
        case 0:
          fleet.StallConnections();
          break;
        case 1:
          fleet.SetMode(store_mode::silent);
          break;
        case 2:
          fleet.SetMode(random.Below(8), store_mode::refuses);
          break;
        case 3:
          fleet.Restart(random.Below(8));
          break;
        default:
          fleet.SetMode(store_mode::good);
          break;
      }
      if (random.Below(2) == 0) ack = fleet.Change();
      fleet.Run(UpTo(random, 4000));
    }
    fleet.SetMode(store_mode::good);
    RunUntilDue(fleet, ack, fleet.Now());
    INFO("seed " << seed);
    CHECK(fleet.Outdated() == 0);
    CHECK_FALSE(fleet.WentBack());
  }
}

// Guards against hosts that read from a frozen host and use a draining leaf
// until it has exited, because its time began when they learned of it.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_SourceFrozenWhileLeafDrains_LeafIsLeftInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = OneZone(seed);
    const auto readers = fleet.Readers();
    REQUIRE_FALSE(readers.empty());
    const std::size_t frozen = readers[random.Below(readers.size())];
    fleet.Run(UpTo(random, 3000));
    fleet.Freeze(frozen, seconds(1) + UpTo(random, 5000));
    fleet.Run(UpTo(random, 1000));
    fleet.Drain();
    fleet.Run(seconds(8));
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      if (host == frozen) continue;
      INFO("seed " << seed << " host " << host);
      CHECK(fleet.LeafUsedFor(host, kDrainTime) <= kDrainTime);
    }
  }
}

// Guards against hosts that take the items of others for current, though those
// are cut off from the store and nobody else reads it.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_ReadersCutOff_OthersAreInForceInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = OneZone(seed);
    fleet.Run(UpTo(random, 3000));
    std::vector<bool> cut(fleet.Hosts());
    for (const std::size_t reader : fleet.Readers()) cut[reader] = true;
    for (std::size_t i = random.Below(fleet.Hosts() - 2); i > 0; --i) {
      cut[random.Below(fleet.Hosts())] = true;
    }
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      if (cut[host]) fleet.SetMode(host, store_mode::silent);
    }
    fleet.Run(UpTo(random, 3000));
    fleet.Change();
    fleet.Run(kPropagationLimit);
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      INFO("seed " << seed << " host " << host);
      CHECK((cut[host] || fleet.HasNewest(host)));
    }
  }
}

// The same for a reader that is frozen while the other one is cut off.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_ReadersFrozenAndCutOff_OthersAreInForceInTime") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = OneZone(seed);
    const auto readers = fleet.Readers();
    REQUIRE(readers.size() == 2);
    fleet.Run(UpTo(random, 3000));
    fleet.Freeze(readers[0], seconds(8));
    fleet.SetMode(readers[1], store_mode::silent);
    fleet.Run(UpTo(random, 2000));
    fleet.Change();
    fleet.Run(kPropagationLimit);
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      const bool excused = host == readers[0] || host == readers[1];
      INFO("seed " << seed << " host " << host);
      CHECK((excused || fleet.HasNewest(host)));
    }
  }
}

// Guards against hosts that interrupt their own listing, because a read beside
// it says again that the store has dropped its history.
TEST_CASE_METHOD(propagation_fixture,
                 "Propagation_HistoryLostInAnOutage_IsListedOnce") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    auto fleet = Fleet(seed);
    fleet.SetMode(store_mode::silent);
    fleet.Run(UpTo(random, 6000));
    fleet.Change();
    fleet.Compact();
    fleet.SetListingTime(milliseconds(1200));
    fleet.SetMode(store_mode::good);
    const time_point returned = fleet.Now();
    const std::uint64_t before = fleet.StoreCalls();
    const time_point ack = fleet.Change();
    RunUntilDue(fleet, ack, returned);
    INFO("seed " << seed);
    CHECK(fleet.Outdated() == 0);
    CHECK(fleet.StoreCalls() - before <= 20 * fleet.Hosts());
  }
}

// Guards against calls to the store that grow with the fleet while it is calm,
// and against a flood of them while the store is away.
TEST_CASE("Propagation_LargeFleet_CallsToTheStoreAreFew") {
  store_simulation fleet(120, 1);
  fleet.Run(seconds(10));
  std::uint64_t before = fleet.StoreCalls();
  fleet.Run(seconds(20));
  CHECK(fleet.StoreCalls() - before <= 120);  // One a second and reader.
  fleet.SetMode(store_mode::silent);
  before = fleet.StoreCalls();
  fleet.Run(seconds(10));
  CHECK(fleet.StoreCalls() - before <= 300);
}

}  // namespace corianderrail::gateway
