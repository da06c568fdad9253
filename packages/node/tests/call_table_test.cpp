/** @file call_table_test.cpp Tests of the open calls of callers. */

#include "node/call_table.h"

#include <catch2/catch.hpp>

namespace corianderrail {
namespace {

using std::chrono::microseconds;

refuse_effect Refusal(call_id call, const std::string& request_id) {
  refuse_effect effect;
  effect.call = call;
  effect.reason.request_id = request_id;
  return effect;
}

// Guards against an outcome that is delivered to another caller.
TEST_CASE("CallTable_OutcomesOutOfOrder_ReachTheirCallers") {
  call_table table(2);
  auto first = table.Open();
  auto second = table.Open();
  table.Finish(second->call, Refusal(second->call, "second"));
  table.Finish(first->call, Refusal(first->call, "first"));
  const auto one = table.Wait(*first, microseconds(0));
  const auto two = table.Wait(*second, microseconds(0));
  CHECK(std::get<refuse_effect>(*one).reason.request_id == "first");
  CHECK(std::get<refuse_effect>(*two).reason.request_id == "second");
}

// Guards against an unbounded number of open calls, which would block all
// threads, so that further requests could not even be refused.
TEST_CASE("CallTable_TooManyCalls_OpensNoMore") {
  call_table table(1);
  auto open = table.Open();
  CHECK_FALSE(table.Open().has_value());
  table.Finish(open->call, Refusal(open->call, ""));
  CHECK(table.Open().has_value());
}

// Guards against a late outcome that completes a newer call, and against an
// entry that stays in the table.
TEST_CASE("CallTable_OutcomeAfterTimeOut_IsDropped") {
  call_table table(1);
  auto open = table.Open();
  CHECK_FALSE(table.Wait(*open, microseconds(0)).has_value());
  CHECK(table.Waiting() == 0);
  table.Finish(open->call, Refusal(open->call, "late"));
  auto next = table.Open();
  CHECK_FALSE(table.Wait(*next, microseconds(0)).has_value());
}

}  // namespace
}  // namespace corianderrail
