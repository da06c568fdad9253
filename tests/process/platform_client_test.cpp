/** @file platform_client_test.cpp Tests of the client for the platform. */

#include "node/platform_client.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "process/child_process.h"
#include "process/event_inbox.h"
#include "process/test_fleet.h"
#include "standin/standin_server.h"
#include "wire/wire_error.h"

namespace corianderrail {
namespace {

/** A platform client and a server that sends prepared replies. */
class platform_client_fixture {
 public:
  platform_client_fixture() { server_.Start(); }

 protected:
  config_value_event Read(const std::string& key, std::uint64_t after) {
    client_.Read({key, after, std::chrono::milliseconds(20)});
    const auto value = inbox_.WaitFor<config_value_event>();
    REQUIRE(value.has_value());
    return *value;
  }

  event_inbox inbox_;
  standin_reply next_;  ///< Reply to the next read; set between reads only.
  std::atomic<int> delay_ms_{0};
  std::uint16_t port_ = FreePort();
  standin_server server_{
      {port_}, 16, [this](const standin_request&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
        return next_;
      }};
  platform_client client_{
      "127.0.0.1:" + std::to_string(port_),
      [this](event incoming) { inbox_.Put(std::move(incoming)); }};
};

// Guards against a value that is delivered without its version or bytes.
TEST_CASE_METHOD(platform_client_fixture, "PlatformClient_Value_IsDelivered") {
  next_ = {200, {{"X-Version", "4"}}, "bytes"};
  const auto value = Read("contracts/head", 0);
  CHECK(value.reachable);
  CHECK(value.found);
  CHECK(value.version == 4);
  CHECK(value.bytes == "bytes");
}

// Guards against an unchanged value (304) that is delivered as an empty
// document.
TEST_CASE_METHOD(platform_client_fixture,
                 "PlatformClient_UnchangedWatch_DeliversKnownValue") {
  next_ = {200, {{"X-Version", "4"}}, "bytes"};
  Read("topology", 0);
  next_ = {304, {{"X-Version", "4"}}, ""};
  const auto value = Read("topology", 4);
  CHECK(value.found);
  CHECK(value.version == 4);
  CHECK(value.bytes == "bytes");
}

// Guards against failures of the service that are reported as a missing key.
TEST_CASE_METHOD(platform_client_fixture,
                 "PlatformClient_BadReplies_CountAsUnreachable") {
  next_ = {404, {}, ""};
  const auto missing = Read("topology", 0);
  CHECK(missing.reachable);
  CHECK_FALSE(missing.found);
  next_ = {500, {}, ""};
  CHECK_FALSE(Read("topology", 0).reachable);
  next_ = {200, {}, "no version"};
  CHECK_FALSE(Read("topology", 0).reachable);
  next_ = {200, {{"X-Version", "-1"}}, "bad version"};
  CHECK_FALSE(Read("topology", 0).reachable);
  next_ = {304, {{"X-Version", "9"}}, ""};
  CHECK_FALSE(Read("topology", 9).reachable);
}

// Guards against a host list that is accepted although an entry is invalid.
TEST_CASE("HostList_BadEntries_AreRefused") {
  const auto list = ReadHostListReply(
      R"({"hosts":[{"address":"a:1","leaving":true},{"address":"b:2"}]})");
  REQUIRE(list.entries.size() == 2);
  CHECK(list.entries[0].leaving);
  CHECK_FALSE(list.entries[1].leaving);
  CHECK_THROWS_AS(ReadHostListReply(R"({"hosts":[{"adress":"a:1"}]})"),
                  wire_error);
  CHECK_THROWS_AS(ReadHostListReply(R"({"hosts":5})"), wire_error);
}

}  // namespace
}  // namespace corianderrail
