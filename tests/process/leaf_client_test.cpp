/** @file leaf_client_test.cpp Tests of the client for leafs. */

#include "node/leaf_client.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "process/child_process.h"
#include "process/event_inbox.h"
#include "process/test_fleet.h"
#include "standin/leaf_model.h"
#include "standin/standin_server.h"

namespace corianderrail {
namespace {

constexpr leaf_id kLeaf{5};

/** A leaf client and one stand-in leaf in this process. */
class leaf_client_fixture {
 public:
  leaf_client_fixture()
      : client_(incarnation_id{1},
                [this](event incoming) { inbox_.Put(std::move(incoming)); }) {
    server_.Start();
  }

 protected:
  void Connect(std::uint32_t target) {
    client_.SetConnections(
        {kLeaf, "127.0.0.1:" + std::to_string(port_), target});
  }

  bool WaitForOpen(std::uint32_t open) {
    return inbox_
        .WaitFor<leaf_connections_event>(
            [&](const leaf_connections_event& event) {
              return event.leaf == kLeaf && event.open == open;
            })
        .has_value();
  }

  void Send(std::uint64_t call, duration remaining) {
    leaf_request request;
    request.collection = "index";
    request.snapshot = snapshot_id{1};
    request.range = {0, 10};
    request.remaining = remaining;
    client_.Send({leaf_call_id{call}, kLeaf, request});
  }

  /** Sets one fault of the leaf. */
  void SetFault(const std::string& name, const std::string& value) {
    standin_request request;
    request.parameter =
        [&](const char* parameter) -> std::optional<std::string> {
      if (name != parameter) return std::nullopt;
      return value;
    };
    leaf_.Configure(request);
  }

  leaf_failure FailureOf(std::uint64_t call) {
    const auto failure = inbox_.WaitFor<leaf_failure_event>(
        [&](const leaf_failure_event& event) {
          return event.call == leaf_call_id{call};
        });
    REQUIRE(failure.has_value());
    return failure->failure;
  }

  bool ReceivedCancel(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return cancels_.contains(id);
  }

  static constexpr duration kLong = std::chrono::seconds(50);
  static constexpr duration kShort = std::chrono::milliseconds(50);

  event_inbox inbox_;
  std::mutex mutex_;
  std::set<std::string> cancels_;
  leaf_model leaf_{leaf_settings{}};
  std::uint16_t port_ = FreePort();
  standin_server server_{
      {port_}, 32, [this](const standin_request& request) {
        if (request.path == "/leaf/v1/cancel") {
          const std::lock_guard lock(mutex_);
          cancels_.insert(request.header("X-Request-Id").value_or(""));
        }
        return leaf_.Handle(request);
      }};
  leaf_client client_;
};

// Guards against connections that are opened only when a request needs one.
TEST_CASE_METHOD(leaf_client_fixture, "LeafClient_Target_OpensAheadOfUse") {
  Connect(3);
  CHECK(WaitForOpen(3));
  CHECK(client_.Counters().open == 3);
  CHECK(leaf_.Requests() == 0);
  Connect(1);
  CHECK(WaitForOpen(1));
}

// Guards against replies that are delivered for another request.
TEST_CASE_METHOD(leaf_client_fixture, "LeafClient_Requests_GetTheirReplies") {
  Connect(2);
  REQUIRE(WaitForOpen(2));
  Send(1, kLong);
  Send(2, kLong);
  for (const std::uint64_t call : {2, 1}) {
    const auto reply =
        inbox_.WaitFor<leaf_reply_event>([&](const leaf_reply_event& event) {
          return event.call == leaf_call_id{call};
        });
    REQUIRE(reply.has_value());
    CHECK(reply->reply.status == leaf_status::ok);
    CHECK(reply->reply.payload == "rows 0..10 of index");
  }
}

// Guards against orders that are reported as possibly run although nothing was
// sent.
TEST_CASE_METHOD(leaf_client_fixture,
                 "LeafClient_NoIdleConnection_ReportsNotSent") {
  Send(1, kLong);
  CHECK(FailureOf(1) == leaf_failure::not_sent);
}

// Guards against a reply with the identifier of another request that is
// accepted, and against further use of its connection.
TEST_CASE_METHOD(leaf_client_fixture, "LeafClient_CrossedReply_ClosesIt") {
  Connect(1);
  REQUIRE(WaitForOpen(1));
  SetFault("crossed", "1");
  Send(1, kLong);
  CHECK(FailureOf(1) == leaf_failure::malformed);
  CHECK(WaitForOpen(0));
  SetFault("crossed", "0");
  CHECK(WaitForOpen(1));
  Send(2, kLong);
  CHECK(inbox_.WaitFor<leaf_reply_event>().has_value());
  CHECK(client_.Counters().malformed == 1);
}

// Guards against a duplicate of a reply that is taken as the reply to the next
// request on the connection.
TEST_CASE_METHOD(leaf_client_fixture,
                 "LeafClient_DuplicateReply_NeverAnswersNextRequest") {
  Connect(1);
  REQUIRE(WaitForOpen(1));
  SetFault("duplicate", "1");
  Send(1, kLong);
  REQUIRE(inbox_.WaitFor<leaf_reply_event>().has_value());
  Send(2, kLong);
  CHECK(FailureOf(2) == leaf_failure::malformed);
}

// Guards against a truncated reply that counts as complete.
TEST_CASE_METHOD(leaf_client_fixture, "LeafClient_TruncatedReply_IsFailure") {
  Connect(1);
  REQUIRE(WaitForOpen(1));
  SetFault("truncated", "1");
  Send(1, kShort);
  const auto failure = FailureOf(1);
  CHECK((failure == leaf_failure::broken ||
         failure == leaf_failure::malformed ||
         failure == leaf_failure::timeout));
  CHECK(WaitForOpen(0));
}

// Guards against a leaf that never replies and so blocks a connection forever.
TEST_CASE_METHOD(leaf_client_fixture, "LeafClient_HangingLeaf_TimesOut") {
  Connect(1);
  REQUIRE(WaitForOpen(1));
  SetFault("slow", "200");
  Send(1, kShort);
  CHECK(FailureOf(1) == leaf_failure::timeout);
  CHECK(WaitForOpen(0));
  CHECK(WaitForOpen(1));
  CHECK(client_.Counters().timeouts == 1);
}

// Guards against a cancellation that is sent only after the request that it
// cancels has ended.
TEST_CASE_METHOD(leaf_client_fixture,
                 "LeafClient_Cancel_TravelsOnItsOwnConnection") {
  Connect(1);
  REQUIRE(WaitForOpen(1));
  SetFault("slow", "100");
  Send(7, kLong);
  client_.Cancel({leaf_call_id{7}, kLeaf});
  CHECK(Eventually([&] { return ReceivedCancel("1-7"); }));
  CHECK(inbox_.WaitFor<leaf_reply_event>().has_value());
}

}  // namespace
}  // namespace corianderrail
