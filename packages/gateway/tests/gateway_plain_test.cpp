/** @file gateway_plain_test.cpp Requests to one leaf. */

#include <catch2/catch.hpp>

#include "gateway_fixture.h"

namespace corianderrail::gateway {

// Guards against modifying a leaf's answer before it reaches the client.
TEST_CASE_METHOD(plain_fixture, "Request_LeafAnswers_IsForwardedUnchanged") {
  const auto id = Request("/read/x");
  const auto send = OnlySend();
  auto answer = Success(send, "body");
  answer.fields = {{"X-Any", "value"}};
  answer.status = 201;
  Reply(send, answer);
  const auto* got = AnswerOf(id);
  REQUIRE(got != nullptr);
  CHECK(got->status == 201);
  CHECK(got->body == "body");
  CHECK(got->fields.size() == 1);
}

// Guards against running an order twice: it may have run when the connection
// broke.
TEST_CASE_METHOD(plain_fixture, "Order_ConnectionBreaks_IsNeverSentAgain") {
  const auto id = Request("/order/x");
  Fail(OnlySend(), leaf_failure::broken);
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 502);
  CHECK_FALSE(answer->retry_after);
  AdvanceTime(milliseconds(1000));
  CHECK(DrainSends().empty());
}

// Guards against failing an order that another leaf could still run.
TEST_CASE_METHOD(plain_fixture, "Order_LeafStatesNotRun_GoesToAnotherLeaf") {
  const auto id = Request("/order/x");
  Reply(OnlySend(), NotRunAnswer());
  const auto second = OnlySend();
  Reply(second, Success(second));
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == 200);
}

// Guards against an answer without Retry-After although no leaf ran the order.
TEST_CASE_METHOD(plain_fixture, "Order_AllLeafsStateNotRun_RefusedWithRetry") {
  const auto id = Request("/order/x");
  Reply(OnlySend(), NotRunAnswer());
  Reply(OnlySend(), NotRunAnswer());
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 503);
  CHECK(answer->retry_after.has_value());
}

// Guards against reporting an order as not run after a timeout: the leaf may
// have run it.
TEST_CASE_METHOD(plain_fixture,
                 "Order_NoAnswerUntilTimeout_IsNotReportedNotRun") {
  const auto id = Request("/order/x");
  OnlySend();
  AdvanceTime(milliseconds(801));
  const auto* answer = AnswerOf(id);
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 504);
  CHECK(DrainSends().empty());
}

// Guards against hedging a non-idempotent request, which could run twice.
TEST_CASE_METHOD(plain_fixture, "Order_LeafLate_IsNotHedged") {
  Request("/order/x");
  OnlySend();
  AdvanceTime(milliseconds(700));
  CHECK(DrainSends().empty());
}

// Guards against counting an attempt although nothing was sent.
TEST_CASE_METHOD(plain_fixture, "Order_NoConnection_TriesAllLeafs") {
  const auto id = Request("/order/x");
  Fail(OnlySend(), leaf_failure::not_sent);
  Fail(OnlySend(), leaf_failure::not_sent);
  const auto third = OnlySend();
  Reply(third, Success(third));
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == 200);
}

// Guards against leafs that work longer than the client waits.
TEST_CASE_METHOD(plain_fixture,
                 "Request_ClientWaitsLess_LeafGetsRemainingTime") {
  Request("/read/x", milliseconds(300));
  CHECK(OnlySend().remaining_time <= milliseconds(300));
}

// Guards against sending requests to an address that another leaf has taken
// over: it answers 421.
TEST_CASE_METHOD(plain_fixture,
                 "Request_OtherLeafAtAddress_LeafIsNotAskedAgain") {
  const auto id = Request("/read/x");
  const auto first = OnlySend();
  leaf_answer other;
  other.status = 421;
  Reply(first, other);
  const auto second = OnlySend();
  CHECK(second.instance != first.instance);
  Reply(second, Success(second));
  CHECK(AnswerOf(id)->status == 200);
  Request("/read/x");
  CHECK(OnlySend().instance != first.instance);
}

// Guards against forwarding a success without a signature or with an encoded
// body.
TEST_CASE_METHOD(plain_fixture,
                 "Request_AnswerWithoutSignature_AsksAnotherLeaf") {
  const auto id = Request("/read/x");
  const auto first = OnlySend();
  auto answer = Success(first);
  answer.signature.clear();
  Reply(first, answer);
  const auto second = OnlySend();
  answer = Success(second);
  answer.encoded = true;
  Reply(second, answer);
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == 502);
}

// Guards against replacing a leaf's own error answer by a 502 of this host.
TEST_CASE_METHOD(plain_fixture,
                 "Request_LeafsFailWithSignature_ForwardsFailure") {
  const auto id = Request("/read/x");
  for (int i = 0; i < 2; ++i) {
    const auto send = OnlySend();
    auto answer = Success(send);
    answer.status = 500;
    Reply(send, answer);
  }
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == 500);
}

// Guards against a 404 before the first configuration, and against holding a
// request forever when none arrives.
TEST_CASE("Request_NoConfiguration_IsRefusedWithRetry") {
  gateway_fixture host;
  const auto id = host.Request("/read/x");
  host.AdvanceTime(milliseconds(500));
  REQUIRE(host.AnswerOf(id) != nullptr);
  CHECK(host.AnswerOf(id)->status == 503);
  CHECK(host.AnswerOf(id)->retry_after.has_value());
}

// Guards against refusing requests while a restarted host loads its
// configuration. After a power loss, all hosts are in this state at once.
TEST_CASE("Request_HostStarts_IsServedOnceRoutesAreKnown") {
  gateway_fixture host;
  const auto id = host.Request("/read/x", milliseconds(600));
  host.AdvanceTime(milliseconds(50));
  host.Configure(gateway_fixture::Config());
  CHECK(host.DrainSends().empty());
  host.RegisterAll({"a-1"});
  const auto sends = host.DrainSends();
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].remaining_time <= milliseconds(550));
  host.Reply(sends[0], gateway_fixture::Success(sends[0]));
  REQUIRE(host.AnswerOf(id) != nullptr);
  CHECK(host.AnswerOf(id)->status == 200);
}

// Guards against requests that wait in a host that cannot read a configuration,
// and against refusing them once it can.
TEST_CASE("Request_NoSourceAnswersAStartingHost_IsRefusedAtOnce") {
  gateway_fixture host;
  const auto held = host.Request("/read/x");
  CHECK(host.AnswerOf(held) == nullptr);
  host.Reduce(startup_event{true});
  REQUIRE(host.AnswerOf(held) != nullptr);
  CHECK(host.AnswerOf(held)->status == 503);
  const auto next = host.Request("/read/x");
  REQUIRE(host.AnswerOf(next) != nullptr);
  CHECK(host.AnswerOf(next)->status == 503);
  CHECK(host.AnswerOf(next)->retry_after > milliseconds(400));
  host.Reduce(startup_event{false});
  CHECK(host.AnswerOf(host.Request("/read/x")) == nullptr);
  CHECK(host.DrainSends().empty());
}

// Guards against a crash when a client disconnects before the configuration is
// loaded.
TEST_CASE("Request_ClientDisconnectsWhileHostStarts_IsDropped") {
  gateway_fixture host;
  const auto id = host.Request("/read/x");
  host.Disconnect(id);
  host.Configure(gateway_fixture::Config());
  host.RegisterAll({"a-1"});
  CHECK(host.DrainSends().empty());
  CHECK(host.Core().OpenExchanges() == 0);
}

// Guards against an older configuration replacing a newer one.
TEST_CASE_METHOD(plain_fixture, "Config_OlderVersion_IsIgnored") {
  Configure(Config(7));
  auto old = Config(6);
  old->routes.clear();
  Configure(old);
  CHECK(Core().Version() == config_version{7});
  Request("/read/x");
  OnlySend();
}

// Guards against requests to a draining leaf while others have capacity.
TEST_CASE_METHOD(plain_fixture, "Leaf_Drains_GetsNoRequests") {
  auto leaf = Leaf("plain", "a-1");
  leaf.draining = true;
  Register(leaf);
  for (int i = 0; i < 5; ++i) Request("/read/x");
  for (const auto& send : DrainSends()) CHECK(send.instance != leaf.instance);
}

// Guards against sending requests to a leaf after its drain time.
TEST_CASE_METHOD(plain_fixture, "Leaf_OnlyOneAndDrained_RequestIsRefused") {
  Remove("plain@b-1");
  Remove("plain@c-1");
  auto leaf = Leaf("plain", "a-1");
  leaf.draining = true;
  Register(leaf);
  Request("/read/x");
  CHECK(DrainSends().size() == 1);
  AdvanceTime(milliseconds(2600));
  const auto id = Request("/read/x");
  CHECK(DrainSends().empty());
  REQUIRE(AnswerOf(id) != nullptr);
  CHECK(AnswerOf(id)->status == 503);
}

// Guards against dropping leafs whose registry entries expired while the store
// was down.
TEST_CASE_METHOD(plain_fixture, "Leaf_EntryLapsesAndReturns_KeepsServing") {
  for (const char* zone : {"a-1", "b-1", "c-1"}) {
    Remove(std::string("plain@") + zone);
  }
  Request("/read/x");
  CHECK(DrainSends().size() == 1);
  AdvanceTime(milliseconds(1500));
  Register(Leaf("plain", "a-1"));
  AdvanceTime(milliseconds(2000));
  Request("/read/x");
  CHECK(DrainSends().size() == 1);
}

// Guards against sending requests to an ejected leaf before a probe succeeds.
TEST_CASE_METHOD(plain_fixture, "Leaf_Unreachable_IsProbedBeforeNextRequest") {
  Request("/read/x");
  const auto first = OnlySend();
  refuse_connections = true;
  Fail(first, leaf_failure::not_sent);
  const auto second = OnlySend();
  Reply(second, Success(second));
  const auto before = Connects().size();
  AdvanceTime(milliseconds(4000));
  REQUIRE(Connects().size() > before);
  CHECK(Connects()[before].leaf == first.leaf);
  Request("/read/x");
  const auto third = OnlySend();
  CHECK(third.instance != first.instance);
  Reply(third, Success(third));
  refuse_connections = false;
  AdvanceTime(milliseconds(8000));
  Request("/read/x");
  CHECK(OnlySend().instance == first.instance);
}

}  // namespace corianderrail::gateway
