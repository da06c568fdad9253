/** @file relay_codec_test.cpp Messages with store items between hosts. */

#include "edge/relay_codec.h"

#include <catch2/catch.hpp>
#include <random>

#include "wire/wire_error.h"

namespace corianderrail::edge {

namespace {

using gateway::store_failure;
using gateway::store_read_kind;

relay_reply Reply() {
  relay_reply reply;
  reply.items.revision = 77;
  reply.freshness = {std::chrono::milliseconds(5),
                     std::chrono::milliseconds(7)};
  reply.items.items = {{"servers/a", 70, false, std::string("\0\xff{", 3)},
                       {"servers/b", 76, true, ""}};
  return reply;
}

}  // namespace

// Guards against losing fields, or bytes that are not text, on the way.
TEST_CASE("Relay_ReplyRoundTrip_KeepsAllFields") {
  auto decoded = DecodeRelayReply(200, EncodeRelayReply(Reply()));
  auto* reply = std::get_if<relay_reply>(&decoded);
  REQUIRE(reply != nullptr);
  CHECK(reply->items.revision == 77);
  CHECK(reply->freshness.age == std::chrono::milliseconds(5));
  CHECK(reply->freshness.held == std::chrono::milliseconds(7));
  REQUIRE(reply->items.items.size() == 2);
  CHECK(reply->items.items[0].value == std::string("\0\xff{", 3));
  CHECK(reply->items.items[1].removed);
}

// Guards against losing fields of a request on the way.
TEST_CASE("Relay_RequestRoundTrip_KeepsAllFields") {
  const relay_request request{store_read_kind::watch, 12,
                              std::chrono::milliseconds(2000)};
  const auto decoded = DecodeRelayRequest(EncodeRelayRequest(request));
  CHECK(decoded.revision == 12);
  CHECK(decoded.wait == std::chrono::milliseconds(2000));
  CHECK(decoded.kind == store_read_kind::watch);
}

// Guards against accepting targets that are not relay requests.
TEST_CASE("Relay_BadRequest_Throws") {
  for (const char* target :
       {"", "/", "/relay", "/relay/", "/relay/list", "/relay/list/x/1",
        "/relay/other/1/1", "/relay/list/1/-1", "/relay/list/1/1/servers/",
        "/metrics"}) {
    CHECK_THROWS_AS(DecodeRelayRequest(target), wire_error);
  }
}

// Guards against replies of a peer that end the process with an exception.
TEST_CASE("Relay_MutatedReply_IsDecodedOrRefused") {
  std::mt19937 random(3);
  const std::string whole = EncodeRelayReply(Reply());
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = whole;
    const auto changes = 1 + random() % 4;
    for (unsigned k = 0; k < changes; ++k) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    CHECK_NOTHROW(DecodeRelayReply(200, bytes));
  }
  CHECK(std::get<store_failure>(DecodeRelayReply(410, "")) ==
        store_failure::compacted);
}

// Guards against a nested reply that exhausts the stack of the process.
TEST_CASE("Relay_ReplyNestedDeeply_IsUnreadable") {
  constexpr std::size_t kDepth = 4'000'000;
  for (const char nested : {'\x91', '\x81'}) {
    CHECK(std::get<store_failure>(DecodeRelayReply(
              200, std::string(kDepth, nested))) == store_failure::unreadable);
  }
}

}  // namespace corianderrail::edge
