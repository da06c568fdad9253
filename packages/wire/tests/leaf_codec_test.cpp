/** @file leaf_codec_test.cpp Tests of the leaf protocol. */

#include "wire/leaf_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>

namespace corianderrail {
namespace {

/** A request and its valid reply, which each test modifies. */
struct leaf_codec_fixture {
  leaf_request request;
  std::string id = LeafRequestId(incarnation_id{0xF0}, leaf_call_id{0x1F});
  std::map<std::string, std::string> headers;
  std::string body = "data";

  leaf_codec_fixture() {
    request.snapshot = snapshot_id{9};
    headers = {{"X-Request-Id", id},   {"X-Status", "ok"},
               {"X-Snapshot", "9"},    {"X-Newest-Snapshot", "10"},
               {"X-Draining", "1"},    {"X-Queued", "4"},
               {"Content-Length", "4"}};
  }

  leaf_reply Read() const {
    return ReadLeafReply(
        200,
        [this](const char* name) -> std::optional<std::string> {
          const auto found = headers.find(name);
          if (found == headers.end()) return std::nullopt;
          return found->second;
        },
        body, id, request);
  }
};

// Guards against status headers of a reply that are ignored.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_Whole_CarriesAllSignals") {
  const auto reply = Read();
  CHECK(reply.status == leaf_status::ok);
  CHECK(reply.snapshot == snapshot_id{9});
  CHECK(reply.newest == snapshot_id{10});
  CHECK(reply.draining);
  CHECK(reply.queued == 4);
  CHECK(reply.payload == "data");
}

// Guards against a reply that is delivered to another request.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_CrossedRequestId_IsRefused") {
  headers["X-Request-Id"] = LeafRequestId(incarnation_id{0xF0},  //
                                          leaf_call_id{0x20});
  CHECK_THROWS_AS(Read(), wire_error);
}

// Guards against one answer that combines parts of two snapshots.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_OtherSnapshot_IsRefused") {
  headers["X-Snapshot"] = "8";
  CHECK_THROWS_AS(Read(), wire_error);
}

// Guards against a truncated reply that counts towards coverage.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_Truncated_IsRefused") {
  body = "dat";
  CHECK_THROWS_AS(Read(), wire_error);
}

// Guards against replies without the headers that are needed to match and check
// them.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_MissingHeader_IsRefused") {
  for (const char* name : {"X-Request-Id", "X-Status", "Content-Length"}) {
    auto damaged = *this;
    damaged.headers.erase(name);
    CHECK_THROWS_AS(damaged.Read(), wire_error);
  }
}

// Guards against malformed header values that overflow or raise an exception
// other than wire_error.
TEST_CASE_METHOD(leaf_codec_fixture,
                 "LeafReply_HostileHeaders_ThrowWireErrorOnly") {
  const bool passed = rc::check("hostile header", [this] {
    auto damaged = *this;
    auto at = damaged.headers.begin();
    std::advance(at, *rc::gen::inRange<std::size_t>(0, headers.size()));
    at->second = *rc::gen::arbitrary<std::string>();
    try {
      damaged.Read();
    } catch (const wire_error&) {
      RC_TAG("refused");
    }
  });
  CHECK(passed);
}

// Guards against order requests that are sent without their identifier.
TEST_CASE("LeafRequest_Order_CarriesOrderIdAndPath") {
  leaf_request request;
  request.order = order_id{{host_id{1}, incarnation_id{2}}, 3};
  request.remaining = duration(-7);
  CHECK(LeafPath(request) == "/leaf/v1/order");
  const auto headers = LeafRequestHeaders(request, "id");
  const auto has = [&](const std::string& name, const std::string& value) {
    for (const auto& header : headers) {
      if (header.name == name) return header.value == value;
    }
    return false;
  };
  CHECK(has("X-Order-Id", "1-2-3"));
  CHECK(has("X-Remaining-Us", "0"));
}

}  // namespace
}  // namespace corianderrail
