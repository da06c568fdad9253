/** @file peer_codec_test.cpp Tests of the encoding of peer messages. */

#include "wire/peer_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <limits>

namespace corianderrail {
namespace {

constexpr std::string_view kKey = "0123456789abcdef";

/** A message with fields of many types set. */
peer_message SampleMessage() {
  peer_message message;
  message.from = {host_id{7}, incarnation_id{1ULL << 63}};
  message.to_incarnation = incarnation_id{9};
  message.revision = revision_id{12};
  message.contract_digest = std::numeric_limits<std::uint64_t>::max();
  message.topology_version = 3;
  message.from_address = "127.0.0.1:7001";
  subquery_result result;
  result.query = query_id{5};
  result.snapshot = snapshot_id{77};
  result.parts.push_back({partition_id{1},
                          service_id{2},
                          part_status::expired,
                          snapshot_id{78},
                          {1, 2, 3},
                          std::string("a\0b", 3)});
  message.body = result;
  return message;
}

wire_error::kind DecodeError(std::string_view bytes) {
  try {
    DecodePeerMessage(bytes, kKey);
  } catch (const wire_error& error) {
    return error.Reason();
  }
  FAIL("the message was accepted");
  return {};
}

// Guards against fields that are lost, reordered or truncated by the encoding.
TEST_CASE("PeerCodec_SubqueryResult_SurvivesRoundTrip") {
  const auto sent = SampleMessage();
  const auto got = DecodePeerMessage(EncodePeerMessage(sent, kKey), kKey);
  CHECK(got.from == sent.from);
  CHECK(got.to_incarnation == sent.to_incarnation);
  CHECK(got.revision == sent.revision);
  CHECK(got.contract_digest == sent.contract_digest);
  CHECK(got.topology_version == sent.topology_version);
  CHECK(got.contract_format == sent.contract_format);
  CHECK(got.from_address == sent.from_address);
  const auto& body = std::get<subquery_result>(got.body);
  CHECK(body.query == query_id{5});
  CHECK(body.snapshot == snapshot_id{77});
  REQUIRE(body.parts.size() == 1);
  CHECK(body.parts[0].status == part_status::expired);
  CHECK(body.parts[0].wait == rank_wait{1, 2, 3});
  CHECK(body.parts[0].payload == std::string("a\0b", 3));
}

template <std::size_t Index = 0>
void CheckEveryBody() {
  if constexpr (Index < std::variant_size_v<peer_body>) {
    peer_message message;
    message.body.emplace<Index>();
    const auto bytes = EncodePeerMessage(message, kKey);
    const auto got = DecodePeerMessage(bytes, kKey);
    CHECK(got.body.index() == Index);
    CHECK(EncodePeerMessage(got, kKey) == bytes);
    CheckEveryBody<Index + 1>();
  }
}

// Guards against a type of body that can be encoded but not decoded.
TEST_CASE("PeerCodec_EveryBody_KeepsItsNumberAndBytes") { CheckEveryBody(); }

// Guards against a negative remaining time that is decoded as a very long one.
TEST_CASE("PeerCodec_NegativeDuration_KeepsItsSign") {
  peer_message message;
  order_attempt attempt;
  attempt.remaining = duration(-5);
  message.body = attempt;
  const auto got = DecodePeerMessage(EncodePeerMessage(message, kKey), kKey);
  CHECK(std::get<order_attempt>(got.body).remaining == duration(-5));
}

// Guards against durations that overflow when they are added to a time_point.
TEST_CASE("PeerCodec_HugeDuration_IsRefused") {
  peer_message message;
  order_attempt attempt;
  attempt.remaining = duration::max();
  message.body = attempt;
  CHECK(DecodeError(EncodePeerMessage(message, kKey)) ==
        wire_error::kind::out_of_range);
}

// Guards against accepting messages from hosts with another shared key.
TEST_CASE("PeerCodec_OtherKey_IsRefused") {
  const auto bytes = EncodePeerMessage(SampleMessage(), "fedcba9876543210");
  CHECK(DecodeError(bytes) == wire_error::kind::bad_signature);
}

// Guards against bytes that the signature does not cover.
TEST_CASE("PeerCodec_AnyFlippedBit_IsRefused") {
  const auto good = EncodePeerMessage(SampleMessage(), kKey);
  for (std::size_t i = 0; i < good.size(); ++i) {
    auto bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK(DecodeError(bad) == wire_error::kind::bad_signature);
  }
}

// Guards against reads past the end of a truncated message.
TEST_CASE("PeerCodec_AnyTruncation_IsRefused") {
  const auto good = EncodePeerMessage(SampleMessage(), kKey);
  for (std::size_t i = 0; i < good.size(); ++i) {
    CHECK_THROWS_AS(DecodePeerMessage(good.substr(0, i), kKey), wire_error);
  }
}

// Guards against invalid enumeration values that reach a switch or index a
// table.
TEST_CASE("PeerCodec_EnumOutOfRange_IsRefused") {
  peer_message message;
  subquery_batch batch;
  batch.urgency = static_cast<rank>(3);
  message.body = batch;
  CHECK(DecodeError(EncodePeerMessage(message, kKey)) ==
        wire_error::kind::out_of_range);
}

// Guards against NaN rates, which would make every value computed from them
// NaN.
TEST_CASE("PeerCodec_NotANumber_IsRefused") {
  peer_message message;
  share_grant grant;
  grant.rate_per_s = std::numeric_limits<double>::quiet_NaN();
  message.body = grant;
  CHECK(DecodeError(EncodePeerMessage(message, kKey)) ==
        wire_error::kind::out_of_range);
}

// Guards against hosts of the previous version that accept a type of body which
// they do not know, and against this version doing so with the next one.
TEST_CASE("PeerCodec_UnknownBody_IsRefused") {
  peer_message message;
  message.body = leaf_figures{};
  auto bytes = EncodePeerMessage(message, kKey);
  bytes.resize(bytes.size() - kPeerSignatureBytes);
  constexpr auto kLast = static_cast<char>(std::variant_size_v<peer_body> - 1);
  // The body of a message without figures is an array with an empty array.
  const std::size_t at = bytes.size() - 3;
  REQUIRE(bytes[at] == kLast);
  bytes[at] = kLast + 1;
  CHECK(DecodeError(SignPeerBytes(bytes, kKey)) ==
        wire_error::kind::out_of_range);
}

// Guards against datagrams that are fragmented on an Ethernet: the loss of one
// fragment would lose all figures.
TEST_CASE("PeerCodec_MostFigures_FitInOneFrame") {
  constexpr std::size_t kMaxDatagramBytes = 1472;
  peer_message message;
  message.from = {host_id{~0ULL}, incarnation_id{~0ULL}};
  message.to_incarnation = incarnation_id{~0ULL};
  message.revision = revision_id{~0ULL};
  message.from_address = "255.255.255.255:65535";
  leaf_figures body;
  body.figures.assign(kMaxLeafFigures,
                      {leaf_boot{~0ULL}, 12'000, 1'000, 4'000});
  message.body = body;
  const auto bytes = EncodePeerMessage(message, kKey);
  CHECK(bytes.size() <= kMaxDatagramBytes);
  const auto got = DecodePeerMessage(bytes, kKey);
  const auto& figures = std::get<leaf_figures>(got.body).figures;
  REQUIRE(figures.size() == kMaxLeafFigures);
  CHECK(figures.back().boot == leaf_boot{~0ULL});
  CHECK(figures.back().slowness_permille == 12'000);
  CHECK(figures.back().samples == 1'000);
  CHECK(figures.back().age_ms == 4'000);
}

// Guards against messages of unbounded size.
TEST_CASE("PeerCodec_MessageAboveLimit_IsNotEncoded") {
  peer_message message;
  message.body = topology_update{1, std::string(kMaxPeerMessageBytes, 'x')};
  CHECK_THROWS_AS(EncodePeerMessage(message, kKey), wire_error);
}

// Guards against malformed content that crashes the decoder although its
// signature is valid: a host that has the shared key can run another version.
TEST_CASE("PeerCodec_HostileContent_ThrowsWireErrorOnly") {
  const bool passed = rc::check("arbitrary content, valid signature", [] {
    const auto good = EncodePeerMessage(SampleMessage(), kKey);
    auto content = good.substr(0, good.size() - kPeerSignatureBytes);
    const auto edits = *rc::gen::inRange(1, 8);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(1, content.size());
      content[at] = *rc::gen::arbitrary<char>();
    }
    const auto bytes = SignPeerBytes(content, kKey);
    try {
      DecodePeerMessage(bytes, kKey);
    } catch (const wire_error&) {
      // No other exception type is allowed.
      RC_TAG("refused");
    }
  });
  CHECK(passed);
}

}  // namespace
}  // namespace corianderrail
