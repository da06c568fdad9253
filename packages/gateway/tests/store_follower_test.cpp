/** @file store_follower_test.cpp Listing and watching a prefix under faults. */

#include "gateway/store/store_follower.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class follower_fixture {
 public:
  follower_fixture() : follower_({}, 1) {}

  static store_item Item(const std::string& key, std::uint64_t revision) {
    return {key, revision, false, "v"};
  }

  /** Advances the time to the next read and returns it. */
  store_read NextRead() {
    const time_point wake = follower_.NextWake();
    REQUIRE(wake != kNever);
    now_ = std::max(now_, wake);
    const auto read = follower_.Next(now_);
    REQUIRE(read);
    return *read;
  }

  std::vector<store_item> Reply(std::vector<store_item> items,
                                std::uint64_t revision, bool more = false) {
    return follower_.OnReply({std::move(items), revision, more}, now_);
  }

  /** Lists p/a and p/b at revision 10, without changes since then. */
  void List() {
    NextRead();
    Reply({Item("p/a", 3), Item("p/b", 5)}, 10);
    NextRead();
    Reply({}, 10);
  }

 protected:
  store_follower follower_;
  time_point now_{seconds(1)};
};

}  // namespace

// Guards against losing the changes between the listing and the first watch.
TEST_CASE_METHOD(follower_fixture, "Follower_Listed_WatchesFromThatRevision") {
  List();
  const auto read = NextRead();
  CHECK(read.kind == store_read_kind::watch);
  CHECK(read.revision == 10);
}

// Guards against a watch of the store by each host of a fleet that has just
// started and does not know which hosts are readers.
TEST_CASE_METHOD(follower_fixture, "Follower_FirstListing_WatchesStoreLater") {
  List();
  CHECK(follower_.NextWake() == now_ + seconds(1));
  store_follower from_peer({}, 1);
  REQUIRE(from_peer.Next(now_));
  from_peer.OnReply({{Item("p/a", 3)}, 10, false}, now_, false);
  CHECK(from_peer.NextWake() == now_);
}

// Guards against serving from a listing that is seconds old: after a restart, a
// leaf that has left would be in use again.
TEST_CASE_METHOD(follower_fixture, "Follower_StaleListing_CatchesUpAtOnce") {
  const auto list = NextRead();
  CHECK(list.may_be_stale);
  Reply({Item("p/a", 3), Item("p/b", 5)}, 10);
  CHECK_FALSE(follower_.Listed());
  CHECK(follower_.NextWake() == now_);
  const auto read = NextRead();
  CHECK(read.kind == store_read_kind::watch);
  CHECK(read.cause == store_read_cause::catch_up);
  CHECK(read.wait == duration{});
  CHECK(read.revision == 10);
  const auto changes = Reply({{"p/a", 12, true, ""}, Item("p/c", 13)}, 14);
  CHECK(changes.size() == 2);
  CHECK(follower_.Listed());
  CHECK(follower_.Revision() == 14);
}

// Guards against changes that no read returns, because a later page came from
// an older replica.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_SecondPageOlder_ReadsChangesSinceTheOldest") {
  NextRead();
  Reply({Item("p/a", 3)}, 20, true);
  NextRead();
  Reply({Item("p/b", 5)}, 10);
  CHECK(NextRead().revision == 10);
}

// Guards against a host that serves nobody because the store fell silent after
// its listing.
TEST_CASE_METHOD(follower_fixture, "Follower_CatchUpFails_UsesTheListing") {
  NextRead();
  Reply({Item("p/a", 3)}, 10);
  NextRead();
  follower_.OnFailure(store_failure::unreachable, now_);
  CHECK(follower_.Listed());
  CHECK(NextRead().revision == 10);
}

// Guards against an endless series of listings that are older than the history
// that the store keeps.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_StaleListingTooOld_ListsTheNewestState") {
  NextRead();
  Reply({Item("p/a", 3)}, 10);
  NextRead();
  follower_.OnFailure(store_failure::compacted, now_);
  CHECK_FALSE(follower_.Listed());
  const auto list = NextRead();
  CHECK(list.kind == store_read_kind::list);
  CHECK_FALSE(list.may_be_stale);
}

// Guards against losing changes between two pages, which are no consistent
// snapshot.
TEST_CASE_METHOD(follower_fixture, "Follower_TwoPages_WatchesFromTheFirst") {
  NextRead();
  Reply({Item("p/a", 3)}, 10, true);
  CHECK(NextRead().after_key == "p/a");
  Reply({Item("p/b", 12)}, 14);
  CHECK(NextRead().revision == 10);
  CHECK_FALSE(follower_.Listed());
  // The change of p/b is already known from the second page.
  CHECK(Reply({Item("p/b", 12), Item("p/c", 13)}, 14).size() == 1);
}

// Guards against accepting older data from a replica that is behind.
TEST_CASE_METHOD(follower_fixture, "Follower_OlderAnswer_IsIgnored") {
  List();
  NextRead();
  CHECK(Reply({Item("p/a", 20)}, 20).size() == 1);
  NextRead();
  CHECK(Reply({Item("p/a", 15)}, 20).empty());
  NextRead();
  follower_.OnFailure(store_failure::compacted, now_);
  CHECK(NextRead().kind == store_read_kind::list);
  CHECK(Reply({Item("p/a", 3)}, 9).empty());
  CHECK(follower_.Revision() == 20);
}

// Guards against keeping keys whose removal is no longer in the history.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_HistoryCompacted_ListsAndFindsRemovals") {
  List();
  NextRead();
  follower_.OnFailure(store_failure::compacted, now_);
  CHECK(NextRead().kind == store_read_kind::list);
  const auto changes = Reply({Item("p/b", 5), Item("p/c", 30)}, 31);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].key == "p/c");
  CHECK(changes[1].key == "p/a");
  CHECK(changes[1].removed);
  CHECK(NextRead().revision == 31);
}

// Guards against listing a store without a pause as long as each of its
// watches fails in a way that needs a listing: the listings between them
// succeed and must not end the backoff.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_WatchesNeedListing_BacksOffToAMaximum") {
  const store_failure failure =
      GENERATE(store_failure::unreadable, store_failure::too_large,
               store_failure::compacted);
  List();
  int calls = 0;
  const time_point end = now_ + seconds(10);
  while (now_ < end && calls < 1000) {
    ++calls;
    if (NextRead().kind == store_read_kind::list) {
      Reply({Item("p/a", 3), Item("p/b", 5)}, 10);
    } else {
      follower_.OnFailure(failure, now_);
    }
  }
  CHECK(calls < 50);
  CHECK(calls > 16);
  // A watch that succeeds ends the series: the next listing is due at once.
  while (NextRead().kind == store_read_kind::list) Reply({}, 10);
  Reply({}, 11);
  NextRead();
  follower_.OnFailure(failure, now_);
  CHECK(follower_.NextWake() == now_);
}

// Guards against the same for a store that refuses the listing itself.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_ListingCompacted_BacksOffToAMaximum") {
  List();
  int calls = 0;
  const time_point end = now_ + seconds(10);
  while (now_ < end && calls < 1000) {
    NextRead();
    follower_.OnFailure(store_failure::compacted, now_);
    ++calls;
  }
  CHECK(calls < 25);
}

// Guards against overloading a store that is down.
TEST_CASE_METHOD(follower_fixture, "Follower_StoreDown_BacksOffToAMaximum") {
  List();
  int reads = 0;
  const time_point end = now_ + seconds(10);
  while (now_ < end) {
    NextRead();
    follower_.OnFailure(store_failure::unreachable, now_);
    ++reads;
  }
  CHECK(reads < 25);
  CHECK(reads > 8);
  NextRead();
  Reply({Item("p/a", 40)}, 40);
  CHECK_FALSE(follower_.Failing());
}

// Guards against a read for each of the changes while many leafs register, and
// against a late first change after a calm time.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_SeriesOfChanges_ReadsLessAndLessOften") {
  List();
  std::uint64_t revision = 20;
  int reads = 0;
  const time_point end = now_ + seconds(6);
  while (now_ < end) {
    NextRead();
    ++revision;
    Reply({Item("p/x" + std::to_string(revision), revision)}, revision);
    ++reads;
  }
  CHECK(reads <= 14);
  NextRead();
  now_ += seconds(5);
  Reply({}, revision);
  NextRead();
  Reply({Item("p/y", revision + 1)}, revision + 1);
  CHECK(follower_.NextWake() <= now_ + milliseconds(250));
}

// Guards against a host without items that notices the return of a silent store
// seconds later, and against reads that are too short for a slow store.
TEST_CASE_METHOD(follower_fixture, "Follower_NothingListed_AsksAgainSoon") {
  duration longest{};
  time_point last_begin = now_;
  int reads = 0;
  int soon = 0;
  for (; reads < 24; ++reads) {
    const auto read = NextRead();
    longest = std::max(longest, read.timeout);
    if (now_ - last_begin <= milliseconds(700)) ++soon;
    last_begin = now_;
    now_ += read.timeout;
    follower_.OnFailure(store_failure::unreachable, now_);
  }
  CHECK(soon >= reads / 2);
  CHECK(longest >= seconds(5));
}

// Guards against a long watch at a store that accepts connections but does not
// answer: changes after its recovery would stay unknown for half a minute.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_AfterFailure_ProbesBeforeLongWatch") {
  List();
  CHECK(NextRead().wait >= seconds(2));
  follower_.OnFailure(store_failure::unreachable, now_);
  const auto probe = NextRead();
  CHECK(probe.kind == store_read_kind::watch);
  CHECK(probe.timeout <= milliseconds(2500));
  Reply({}, 10);
  CHECK(NextRead().wait >= seconds(2));
}

// Guards against a lost answer that delays changes for too long: a store that
// has been stable for five seconds is expected to be in use again.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_WatchAnswerLost_EndsInSevenSeconds") {
  List();
  CHECK(NextRead().timeout <= seconds(7));
}

// Guards against a read that hangs for longer than a host may lack changes,
// also while the store has failed for long.
TEST_CASE_METHOD(follower_fixture, "Follower_Listed_NoReadTakesLongerThanSet") {
  List();
  for (int i = 0; i < 30; ++i) {
    CHECK(NextRead().timeout <= seconds(3));
    follower_.OnFailure(store_failure::unreachable, now_);
  }
}

// Guards against limits of one deployment that do not fit another one.
TEST_CASE("Follower_LongestRead_FollowsFromBothLimits") {
  CHECK(LongestRead(seconds(3), seconds(5)) == seconds(3));
  CHECK(LongestRead(seconds(4), seconds(5)) == seconds(3));
  CHECK(LongestRead(seconds(1), seconds(5)) == seconds(1));
}

// Guards against reads that always time out because the store is slow.
TEST_CASE_METHOD(follower_fixture, "Follower_StoreSlow_AllowsMoreTime") {
  const auto first = NextRead().timeout;
  for (int i = 0; i < 6; ++i) {
    follower_.OnFailure(store_failure::unreachable, now_);
    NextRead();
  }
  follower_.OnFailure(store_failure::unreachable, now_);
  CHECK(NextRead().timeout >= 3 * first);
}

// Guards against one read per change of a series.
TEST_CASE_METHOD(follower_fixture,
                 "Follower_AfterChange_PausesBeforeNextWatch") {
  List();
  NextRead();
  Reply({Item("p/a", 11)}, 11);
  CHECK(follower_.NextWake() >= now_ + milliseconds(200));
  CHECK(follower_.NextWake() <= now_ + milliseconds(500));
}

// Guards against a removed key that returns with an answer which was overtaken
// by a newer one.
TEST_CASE_METHOD(follower_fixture, "Follower_OtherReplyIsOvertaken_IsIgnored") {
  List();
  NextRead();
  Reply({Item("p/c", 11), {"p/a", 12, true, ""}}, 12);
  CHECK(follower_.OnOtherReply({{Item("p/a", 11)}, 11, false}).empty());
  CHECK(follower_.Revision() == 12);
  const auto fresh = follower_.OnOtherReply({{Item("p/a", 13)}, 13, false});
  REQUIRE(fresh.size() == 1);
  CHECK(follower_.Revision() == 13);
}

}  // namespace corianderrail::gateway
