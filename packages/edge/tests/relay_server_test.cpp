/** @file relay_server_test.cpp Long polls of another host's items. */

#include "edge/relay_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "edge/http_getter.h"
#include "edge/process_time.h"

namespace corianderrail::edge {

namespace {

using std::chrono::milliseconds;

/** A relay server with one item and a client of it. */
class relay_fixture {
 public:
  relay_fixture() {
    for (unsigned short port = 20300; !server_ && port < 20400; ++port) {
      const std::string address = "127.0.0.1:" + std::to_string(port);
      try {
        server_ = std::make_unique<relay_server>(io_, address, 16);
      } catch (const boost::system::system_error&) {
        continue;
      }
      client_ = std::make_unique<http_getter>(io_, address);
    }
    REQUIRE(server_);
    const gateway::store_item item{"key", 7, false, "value"};
    server_->Publish(std::span(&item, 1), 7, Now());
  }

  /** Begins to wait for changes after the item. */
  void Watch(duration wait) {
    const relay_request request{gateway::store_read_kind::watch, 7, wait};
    client_->Get(EncodeRelayRequest(request), std::chrono::seconds(5),
                 [this](const get_outcome& outcome) {
                   const auto* result = std::get_if<http_result>(&outcome);
                   REQUIRE(result != nullptr);
                   auto reply = DecodeRelayReply(result->status, result->body);
                   reply_ = std::get<relay_reply>(std::move(reply));
                 });
    Run(milliseconds(50));
  }

  void Run(duration length) {
    io_.restart();
    io_.run_for(length);
  }

 protected:
  boost::asio::io_context io_;
  std::unique_ptr<relay_server> server_;
  std::unique_ptr<http_getter> client_;
  std::optional<relay_reply> reply_;
};

}  // namespace

// Guards against hosts that take their items for stale, and ask the store,
// while their source has them confirmed.
TEST_CASE_METHOD(relay_fixture, "Relay_ItemsConfirmedAnew_AnswersAtOnce") {
  Watch(std::chrono::seconds(3));
  CHECK_FALSE(reply_);
  server_->Publish({}, 7, Now());
  Run(milliseconds(50));
  REQUIRE(reply_);
  CHECK(reply_->items.items.empty());
  CHECK(reply_->freshness.age < milliseconds(50));
  CHECK(reply_->freshness.held >= milliseconds(20));
}

// Guards against answers without end to a host whose source has no news.
TEST_CASE_METHOD(relay_fixture, "Relay_SameConfirmation_AnswersNothing") {
  const time_point confirmed = Now();
  server_->Publish({}, 7, confirmed);
  Watch(std::chrono::seconds(3));
  server_->Publish({}, 7, confirmed);
  Run(milliseconds(50));
  CHECK_FALSE(reply_);
}

}  // namespace corianderrail::edge
