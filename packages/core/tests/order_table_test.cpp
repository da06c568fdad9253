/** @file order_table_test.cpp Tests of orders at their home. */

#include "core/order_table.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "order_fixture.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Guards against identifiers that repeat or name another home.
TEST_CASE_METHOD(order_fixture, "OrderTable_Issue_GivesFreshSequences") {
  const auto ids = Issue(3);
  REQUIRE(ids.size() == 3);
  CHECK(ids[0].home == kHome);
  CHECK(ids[0].sequence < ids[1].sequence);
  CHECK(ids[1].sequence < ids[2].sequence);
  CHECK(StatusOf(ids[0]).state == order_state::issued);
}

// Guards against an order that is sent to a wrong service, owner or
// incarnation, or that is answered before its outcome is known.
TEST_CASE_METHOD(order_fixture, "OrderTable_FirstCopy_SendsOneAttempt") {
  const order_id id = IssueOne();
  Order(id, 1, kLastKey - 1);
  const auto sent = Sent<order_attempt>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.service == service_id{3});
  CHECK(sent[0].second.collection == "stock");
  CHECK(sent[0].second.remaining == milliseconds(400));
  const auto owner = owners.OwnerOf(service_id{3});
  CHECK(sent[0].first.to == owner->host);
  CHECK(sent[0].first.to_incarnation == owner->incarnation);
  CHECK(Answers().empty());
  CHECK_FALSE(orders.Idle());
  Result(run_state::ran, "done");
  REQUIRE(Answers().size() == 1);
  CHECK(Answers()[0].status.state == order_state::ran);
  CHECK(Answers()[0].status.payload == "done");
  CHECK(orders.Idle());
}

// Guards against a second run. Copies before and after the outcome get the same
// outcome, each with its own request id.
TEST_CASE_METHOD(order_fixture, "OrderTable_Copies_GetTheSameOutcome") {
  const order_id id = IssueOne();
  Order(id, 1);
  Order(id, 2);
  Result(run_state::ran, "done");
  Order(id, 3);
  CHECK(Sent<order_attempt>().size() == 1);
  REQUIRE(Answers().size() == 3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    CHECK(Answers()[i].call == call_id{i + 1});
    CHECK(Answers()[i].status.request_id == "r" + std::to_string(i + 1));
    CHECK(Answers()[i].status.state == order_state::ran);
  }
  CHECK(orders.Counters().copies == 2);
  CHECK(orders.Counters().ran == 1);
}

// Guards against a refused order that runs when a copy arrives after the reason
// for the refusal has ended.
TEST_CASE_METHOD(order_fixture, "OrderTable_Refusal_IsFinal") {
  const order_id id = IssueOne();
  admission_control.SetContractStale(true);
  Order(id, 1);
  admission_control.SetContractStale(false);
  Order(id, 2);
  CHECK(Sent<order_attempt>().empty());
  REQUIRE(Answers().size() == 2);
  for (const auto& answer : Answers()) {
    CHECK(answer.status.state == order_state::not_run);
    CHECK(answer.status.reason == refusal_reason::contract_stale);
    CHECK(answer.status.detail.find("new identifier") != std::string::npos);
  }
}

// Guards against reporting `ran` or `not_run` for an order whose owner never
// answered.
TEST_CASE_METHOD(order_fixture, "OrderTable_NoOutcome_EndsUnknown") {
  const order_id id = IssueOne();
  Order(id, 1);
  Tick(milliseconds(399));
  CHECK(Answers().empty());
  Tick(milliseconds(1));
  REQUIRE(Answers().size() == 1);
  CHECK(Answers()[0].status.state == order_state::unknown);
  Order(id, 2);
  CHECK(Sent<order_attempt>().size() == 1);
}

// Guards against discarding an outcome that arrives after the deadline. It is
// kept for status requests, and the order does not run again.
TEST_CASE_METHOD(order_fixture, "OrderTable_LateOutcome_ReplacesUnknown") {
  const order_id id = IssueOne();
  Order(id, 1);
  Tick(milliseconds(400));
  Result(run_state::ran, "done");
  CHECK(Answers().size() == 1);
  CHECK(StatusOf(id).state == order_state::ran);
  Result(run_state::not_run);
  CHECK(StatusOf(id).state == order_state::ran);
}

// Guards against two open attempts. A second owner gets the order only after
// the first one answered `not_run`.
TEST_CASE_METHOD(order_fixture, "OrderTable_OwnerMoved_RetriesAfterNotRun") {
  const order_id id = IssueOne();
  Order(id, 1);
  const auto first = Sent<order_attempt>()[0];
  RemoveMember(first.first.to);
  CHECK(Sent<order_attempt>().size() == 1);
  Result(run_state::not_run);
  REQUIRE(Sent<order_attempt>().size() == 2);
  const auto second = Sent<order_attempt>()[1];
  CHECK(second.first.to != first.first.to);
  CHECK(second.second.attempt == first.second.attempt + 1);
  CHECK(Answers().empty());
  ResultFrom(first, run_state::ran);
  CHECK(Answers().empty());
  Result(run_state::ran);
  CHECK(Answers().at(0).status.state == order_state::ran);
}

// Guards against an order that is sent to one owner after another until its
// deadline. Two attempts are the maximum.
TEST_CASE_METHOD(order_fixture,
                 "OrderTable_SecondOwnerAnswersNotRun_EndsNotRun") {
  Order(IssueOne(), 1);
  RemoveMember(Sent<order_attempt>().back().first.to);
  Result(run_state::not_run);
  REQUIRE(Sent<order_attempt>().size() == 2);
  RemoveMember(Sent<order_attempt>().back().first.to);
  Result(run_state::not_run);
  CHECK(Sent<order_attempt>().size() == 2);
  CHECK(Answers().at(0).status.state == order_state::not_run);
}

// Guards against a retry at the same owner, which has already tried its leafs.
TEST_CASE_METHOD(order_fixture,
                 "OrderTable_SameOwnerAnswersNotRun_EndsNotRun") {
  Order(IssueOne(), 1);
  Result(run_state::not_run);
  CHECK(Sent<order_attempt>().size() == 1);
  REQUIRE(Answers().size() == 1);
  CHECK(Answers()[0].status.state == order_state::not_run);
}

// Guards against a result of another incarnation of the owner, or of another
// attempt, that ends an order.
TEST_CASE_METHOD(order_fixture, "OrderTable_MismatchedResult_IsIgnored") {
  Order(IssueOne(), 1);
  auto sent = Sent<order_attempt>()[0];
  SECTION("other incarnation") {
    sent.first.to_incarnation = incarnation_id{1};
  }
  SECTION("other host") { sent.first.to = host_id{99}; }
  SECTION("other attempt") { sent.second.attempt = 9; }
  SECTION("other home") { sent.second.id.home.incarnation = {}; }
  ResultFrom(sent, run_state::not_run);
  CHECK(Answers().empty());
}

// Guards against one customer that reads or uses the order of another.
TEST_CASE_METHOD(order_fixture,
                 "OrderTable_OtherCustomer_NeitherRunsNorReads") {
  const order_id id = IssueOne();
  Order(id, 1, 0, "other");
  CHECK(Sent<order_attempt>().empty());
  CHECK(Answers().at(0).status.state == order_state::unknown);
  Order(id, 2);
  Order(id, 3, 0, "other");
  Result(run_state::ran, "secret");
  Order(id, 4, 0, "other");
  for (const auto& answer : Answers()) {
    if (answer.call != call_id{2}) CHECK(answer.status.payload.empty());
  }
  CHECK(StatusOf(id).payload.empty());
}

// Guards against a run after `not_run`. A sequence that was refused before it
// was issued must never be issued.
TEST_CASE_METHOD(order_fixture, "OrderTable_NeverIssued_StaysNotRun") {
  Order({kHome, 3}, 1);
  REQUIRE(Answers().size() == 1);
  CHECK(Answers()[0].status.state == order_state::not_run);
  CHECK(Answers()[0].status.reason == refusal_reason::unknown_order);
  for (const order_id& id : Issue(5)) CHECK(id.sequence != 3);
  Order({kHome, 3}, 2);
  CHECK(Answers()[1].status.state == order_state::not_run);
  CHECK(Sent<order_attempt>().empty());
}

// Guards against unbounded memory for sequences that were never issued, and
// against answering `not_run` without recording it.
TEST_CASE_METHOD(order_fixture, "OrderTable_ManyNeverIssued_EndUnknown") {
  for (std::uint64_t i = 0; i < 3'000; ++i) Order({kHome, 1'000'000 + i}, i);
  CHECK(Answers().front().status.state == order_state::not_run);
  CHECK(Answers().back().status.state == order_state::unknown);
}

// Guards against running, or answering `not_run` for, an order of a previous
// incarnation of this host.
TEST_CASE_METHOD(order_fixture, "OrderTable_EarlierIncarnation_IsUnknown") {
  Order({{kHome.host, incarnation_id{5}}, 1}, 1);
  CHECK(Sent<order_attempt>().empty());
  CHECK(Sent<order_forward>().empty());
  CHECK(Answers().at(0).status.state == order_state::unknown);
  CHECK(Answers()[0].status.reason == refusal_reason::home_lost);
}

// Guards against an identifier that starts an order after it expired, also when
// the process was paused at that time.
TEST_CASE_METHOD(order_fixture, "OrderTable_ExpiredIdentifier_IsUnknown") {
  const order_id id = IssueOne();
  now += minutes(11);
  SECTION("after the gap was seen") {
    orders.OnClockGap(admission_control, now, effects);
  }
  SECTION("before the gap was seen") {}
  Order(id, 1);
  CHECK(Sent<order_attempt>().empty());
  CHECK(Answers().at(0).status.state == order_state::unknown);
}

// Guards against a second attempt for an order that expired during a pause.
TEST_CASE_METHOD(order_fixture, "OrderTable_NotRunAfterPause_DoesNotRetry") {
  Order(IssueOne(), 1);
  RemoveMember(Sent<order_attempt>()[0].first.to);
  now += seconds(60);
  Result(run_state::not_run);
  CHECK(Sent<order_attempt>().size() == 1);
  CHECK(Answers().at(0).status.state == order_state::not_run);
}

// Guards against a table that grows without bound, and against an evicted
// outcome that is reported as `not_run` or runs again.
TEST_CASE("OrderTable_Full_DropsOldestOutcomesAsUnknown") {
  order_settings small;
  small.max_orders = 16;
  order_fixture f(small);
  const order_id first = f.IssueOne();
  f.Order(first, 1);
  f.Result(run_state::ran);
  for (std::uint64_t i = 2; i < 60; ++i) {
    f.Order(f.IssueOne(), i);
    f.Result(run_state::ran);
  }
  f.effects.clear();
  f.Order(first, 99);
  CHECK(f.Sent<order_attempt>().empty());
  CHECK(f.Answers().at(0).status.state == order_state::unknown);
}

// Guards against the eviction of a pending order. The table must refuse new
// identifiers instead.
TEST_CASE("OrderTable_FullOfOpenOrders_RefusesIdentifiers") {
  order_settings small;
  small.max_orders = 8;
  order_fixture f(small);
  for (std::uint64_t i = 0; i < 8; ++i) f.Order(f.IssueOne(), i);
  CHECK(f.Issue(1).empty());
  const auto refusals = f.Collect<refuse_effect>();
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason.reason == refusal_reason::overloaded);
  CHECK(f.Sent<order_attempt>().size() == 8);
}

// Guards against one customer that evicts the identifiers of the others.
TEST_CASE("OrderTable_TooManyUnused_RefusesThatCustomer") {
  order_settings small;
  small.max_orders = 80;
  order_fixture f(small);
  CHECK(f.Issue(10).size() == 10);
  CHECK(f.Issue(1).empty());
  CHECK(f.Collect<refuse_effect>().at(0).reason.reason ==
        refusal_reason::rate_limit);
  CHECK(f.Issue(1, "other").size() == 1);
}

// Guards against a stop that leaves callers without an answer, or that reports
// `not_run` for an order with an open attempt.
TEST_CASE_METHOD(order_fixture, "OrderTable_StopNow_AnswersOpenOrdersUnknown") {
  const order_id open = IssueOne();
  const order_id unused = IssueOne();
  Order(open, 1);
  Order({MakeMember(2).ref, 1}, 2);
  orders.StopNow(now, effects);
  REQUIRE(Answers().size() == 2);
  CHECK(Answers()[0].status.state == order_state::unknown);
  CHECK(Answers()[1].status.state == order_state::unknown);
  CHECK(orders.Idle());
  Order(unused, 3);
  CHECK(Answers()[2].status.state == order_state::not_run);
  CHECK(Sent<order_attempt>().size() == 1);
}

// Guards against an answer to a disconnected caller, and against dropping its
// order.
TEST_CASE_METHOD(order_fixture, "OrderTable_CallerGone_KeepsTheOrder") {
  const order_id id = IssueOne();
  Order(id, 1);
  orders.OnCallerGone(call_id{1});
  Result(run_state::ran);
  CHECK(Answers().empty());
  CHECK(StatusOf(id).state == order_state::ran);
}

// Guards against a copy that another host than its home runs or refuses.
TEST_CASE_METHOD(order_fixture, "OrderTable_CopyElsewhere_IsForwardedHome") {
  const member_record home = MakeMember(2);
  Order({home.ref, 5}, 1);
  const auto sent = Sent<order_forward>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].first.to == home.ref.host);
  CHECK(sent[0].first.to_incarnation == home.ref.incarnation);
  CHECK(sent[0].first.address == home.peer_address);
  CHECK(sent[0].second.request.customer == "acme");
  order_reply reply{sent[0].second.forward, {}};
  reply.status.id = {home.ref, 5};
  reply.status.state = order_state::ran;
  SECTION("crossed reply") {
    order_reply crossed = reply;
    crossed.status.id.sequence = 6;
    orders.OnReply(From(home.ref), crossed, now, effects);
    orders.OnReply(From(MakeMember(3).ref), reply, now, effects);
    CHECK(Answers().empty());
  }
  orders.OnReply(From(home.ref), reply, now, effects);
  orders.OnReply(From(home.ref), reply, now, effects);
  REQUIRE(Answers().size() == 1);
  CHECK(Answers()[0].status.state == order_state::ran);
  CHECK(Answers()[0].status.request_id == "r1");
}

// Guards against `not_run` for an order whose home cannot be reached.
TEST_CASE_METHOD(order_fixture, "OrderTable_HomeSilentOrGone_IsUnknown") {
  SECTION("silent") {
    Order({MakeMember(2).ref, 5}, 1);
    CHECK(Answers().empty());
    Tick(seconds(3));
  }
  SECTION("gone") {
    RemoveMember(host_id{2});
    Order({MakeMember(2).ref, 5}, 1);
  }
  SECTION("other incarnation") {
    Order({{host_id{2}, incarnation_id{1}}, 5}, 1);
  }
  REQUIRE(Answers().size() == 1);
  CHECK(Answers()[0].status.state == order_state::unknown);
  CHECK(Answers()[0].status.reason == refusal_reason::home_lost);
}

// Guards against a forwarded copy that runs twice or is not answered.
TEST_CASE_METHOD(order_fixture, "OrderTable_ForwardedCopies_AreAnswered") {
  const order_id id = IssueOne();
  order_forward copy;
  copy.forward = 11;
  copy.remaining = seconds(1);
  copy.request = RequestFor(id, 1);
  const host_ref entry = MakeMember(3).ref;
  Forward(entry, copy);
  copy.forward = 12;
  Forward(entry, copy);
  CHECK(Sent<order_attempt>().size() == 1);
  Result(run_state::ran, "done");
  const auto replies = Sent<order_reply>();
  REQUIRE(replies.size() == 2);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(replies[i].first.to == entry.host);
    CHECK(replies[i].first.to_incarnation == entry.incarnation);
    CHECK(replies[i].second.forward == 11 + i);
    CHECK(replies[i].second.status.state == order_state::ran);
    CHECK(replies[i].second.status.payload == "done");
  }
}

// Guards against a status request that starts an order.
TEST_CASE_METHOD(order_fixture,
                 "OrderTable_ForwardedStatusRequest_DoesNotRun") {
  const order_id id = IssueOne();
  order_forward question;
  question.forward = 11;
  question.status_only = true;
  question.request.id = id;
  Forward(MakeMember(3).ref, question);
  CHECK(Sent<order_attempt>().empty());
  CHECK(Sent<order_reply>().at(0).second.status.state == order_state::issued);
}

}  // namespace
}  // namespace corianderrail
