/** @file leaf_codec_test.cpp Tests of the leaf protocol. */

#include "wire/leaf_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>

namespace corianderrail {
namespace {

/** A request with its correct reply, which each test damages. */
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

// Guards against signals in band that are dropped.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_Whole_CarriesAllSignals") {
  const auto reply = Read();
  CHECK(reply.status == leaf_status::ok);
  CHECK(reply.snapshot == snapshot_id{9});
  CHECK(reply.newest == snapshot_id{10});
  CHECK(reply.draining);
  CHECK(reply.queued == 4);
  CHECK(reply.payload == "data");
}

// Guards against an answer that is given to another caller.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_CrossedRequestId_IsRefused") {
  headers["X-Request-Id"] = LeafRequestId(incarnation_id{0xF0},  //
                                          leaf_call_id{0x20});
  CHECK_THROWS_AS(Read(), wire_error);
}

// Guards against parts of two snapshots in one answer.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_OtherSnapshot_IsRefused") {
  headers["X-Snapshot"] = "8";
  CHECK_THROWS_AS(Read(), wire_error);
}

// Guards against a truncated answer that counts as covered.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_Truncated_IsRefused") {
  body = "dat";
  CHECK_THROWS_AS(Read(), wire_error);
}

// Guards against replies that lack what matching needs.
TEST_CASE_METHOD(leaf_codec_fixture, "LeafReply_MissingHeader_IsRefused") {
  for (const char* name : {"X-Request-Id", "X-Status", "Content-Length"}) {
    auto damaged = *this;
    damaged.headers.erase(name);
    CHECK_THROWS_AS(damaged.Read(), wire_error);
  }
}

// Guards against header values that throw other types or wrap around.
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

// Guards against orders that reach a leaf without their identifier.
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
