/** @file update_queue_test.cpp Tests of the order of member updates. */

#include "core/update_queue.h"

#include <catch2/catch.hpp>
#include <vector>

namespace corianderrail {
namespace {

// Guards against a change that is delayed by the joins of a whole fleet,
// because updates are sent in the order of host identifiers.
TEST_CASE("UpdateQueue_LongQueue_NewestOfLeastSentGoesFirst") {
  update_queue queue;
  for (std::uint64_t i = 100; i < 200; ++i) queue.Put(host_id{i}, 3);
  queue.Put(host_id{1}, 3);
  CHECK(queue.NextBatch(1) == std::vector<host_id>{host_id{1}});
  CHECK(queue.NextBatch(2) == std::vector<host_id>{host_id{199}, host_id{198}});
  queue.Put(host_id{150}, 3);
  CHECK(queue.NextBatch(1) == std::vector<host_id>{host_id{150}});
}

// Guards against updates that are sent more or less often than requested.
TEST_CASE("UpdateQueue_EachMember_IsSentAsOftenAsRequested") {
  update_queue queue;
  queue.Put(host_id{1}, 2);
  queue.Put(host_id{2}, 1);
  queue.Put(host_id{3}, 1);
  queue.Remove(host_id{3});
  CHECK(queue.Size() == 2);
  CHECK(queue.NextBatch(8) == std::vector<host_id>{host_id{1}, host_id{2}});
  CHECK(queue.NextBatch(8) == std::vector<host_id>{host_id{1}});
  CHECK(queue.NextBatch(8).empty());
  CHECK(queue.Size() == 0);
}

}  // namespace
}  // namespace corianderrail
