/** @file fake_leaf_test.cpp Tests of the simulated leaf. */

#include "driver/fake_leaf.h"

#include <catch2/catch.hpp>

namespace corianderrail::driver {
namespace {

constexpr key_range kRange = {0, 100};

leaf_request Query() {
  leaf_request request;
  request.snapshot = snapshot_id{1};
  request.range = kRange;
  request.remaining = std::chrono::seconds(10);
  request.payload = "query";
  return request;
}

fake_leaf SmallLeaf() {
  fake_leaf_settings settings;
  settings.queue_limit = 1;
  fake_leaf leaf(settings);
  leaf.Hold(snapshot_id{1}, kRange);
  return leaf;
}

// Guards against a leaf with an unbounded queue: it would never shed a request,
// so the driver tests would never see a not_run reply.
TEST_CASE("FakeLeaf_SlotsAndQueueFull_ShedsWithNotRun") {
  fake_leaf leaf = SmallLeaf();
  std::vector<ticket_reply> replies;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    leaf.Submit(i, Query(), time_point{}, replies);
  }
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].ticket == 4);
  CHECK(replies[0].reply.status == leaf_status::not_run);
  CHECK(leaf.Peak() == 3);
}

// Guards against a payload that states other keys than those read: the checks
// of snapshot and coverage would then accept wrong answers.
TEST_CASE("FakeLeaf_Query_RepliesWithWhatItRead") {
  fake_leaf leaf = SmallLeaf();
  std::vector<ticket_reply> replies;
  leaf.Submit(7, Query(), time_point{}, replies);
  leaf.OnTimer(leaf.NextTimer(), replies);
  REQUIRE(replies.size() == 1);
  const leaf_payload payload = ParseLeafPayload(replies[0].reply.payload);
  CHECK(payload.snapshot == snapshot_id{1});
  CHECK(payload.range == kRange);
  CHECK(payload.query == "query");
}

// Guards against a leaf that answers for a snapshot or for keys that it does
// not hold.
TEST_CASE("FakeLeaf_SnapshotOrKeysNotHeld_RepliesWrongSnapshot") {
  fake_leaf leaf = SmallLeaf();
  std::vector<ticket_reply> replies;
  leaf_request other = Query();
  other.snapshot = snapshot_id{2};
  leaf.Submit(1, other, time_point{}, replies);
  other = Query();
  other.range.end = 101;
  leaf.Submit(2, other, time_point{}, replies);
  REQUIRE(replies.size() == 2);
  CHECK(replies[0].reply.status == leaf_status::wrong_snapshot);
  CHECK(replies[0].reply.newest == snapshot_id{1});
  CHECK(replies[1].reply.status == leaf_status::wrong_snapshot);
}

// Guards against a running order that is reported as not run after a cancel.
TEST_CASE("FakeLeaf_CancelOfRunningOrder_LetsItFinish") {
  fake_leaf leaf = SmallLeaf();
  std::vector<ticket_reply> replies;
  leaf_request order = Query();
  order.order = order_id{{host_id{1}, incarnation_id{1}}, 1};
  leaf.Submit(1, order, time_point{}, replies);
  leaf.Cancel(1, time_point{}, replies);
  CHECK(replies.empty());
  leaf.OnTimer(leaf.NextTimer(), replies);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].reply.status == leaf_status::ok);
  CHECK(leaf.Ran().size() == 1);
}

// Guards against a canceled query that keeps its slot occupied.
TEST_CASE("FakeLeaf_CancelOfRunningQuery_StartsTheNext") {
  fake_leaf leaf = SmallLeaf();
  std::vector<ticket_reply> replies;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    leaf.Submit(i, Query(), time_point{}, replies);
  }
  leaf.Cancel(1, time_point{}, replies);
  REQUIRE(replies.size() == 1);
  leaf.OnTimer(kNever, replies);
  CHECK(replies.size() == 3);
}

}  // namespace
}  // namespace corianderrail::driver
