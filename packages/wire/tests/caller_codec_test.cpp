/** @file caller_codec_test.cpp Tests of the JSON encoding of the caller API. */

#include "wire/caller_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <array>
#include <string>

#include "wire/json_value.h"

namespace corianderrail {
namespace {

std::string QueryError(const std::string& body) {
  try {
    ReadQueryRequest(body);
  } catch (const wire_error& error) {
    return error.what();
  }
  return "accepted";
}

const std::string good_query =
    R"({"request_id":"r1","customer":"c","kind":"k","deadline_ms":250,)"
    R"("seen_revision":"18446744073709551615","payload":"hé\u0000\n"})";

// Guards against members that are read into the wrong field or truncated at a
// NUL.
TEST_CASE("CallerCodec_WholeQuery_FillsEveryField") {
  const auto request = ReadQueryRequest(good_query);
  CHECK(request.request_id == "r1");
  CHECK(request.customer == "c");
  CHECK(request.kind == "k");
  CHECK(request.deadline == std::chrono::milliseconds(250));
  CHECK(request.seen_revision == revision_id{~0ULL});
  CHECK(request.payload == std::string("h\xC3\xA9\0\n", 5));
}

// Guards against misspelled members that are silently ignored.
TEST_CASE("CallerCodec_UnknownMember_IsRefusedByName") {
  const auto error = QueryError(
      R"({"request_id":"r","customer":"c","kind":"k","deadlin_ms":1})");
  CHECK(error.find("unknown member 'deadlin_ms'") != std::string::npos);
}

// Guards against wrongly typed members that are converted silently.
TEST_CASE("CallerCodec_WrongType_IsRefusedByName") {
  const std::array<std::pair<const char*, const char*>, 7> cases = {{
      {R"("deadline_ms":"soon")", "'deadline_ms'"},
      {R"("deadline_ms":-1)", "'deadline_ms'"},
      {R"("deadline_ms":1.5)", "'deadline_ms'"},
      {R"("deadline_ms":true)", "'deadline_ms'"},
      {R"("deadline_ms":99999999999999999999)", "'deadline_ms'"},
      {R"("payload":5)", "'payload'"},
      {R"("payload":{"a":1})", "'payload'"},
  }};
  for (const auto& [member, name] : cases) {
    const auto error =
        QueryError(std::string(R"({"request_id":"r","customer":"c",)") +
                   R"("kind":"k",)" + member + "}");
    INFO(member << " gave " << error);
    CHECK(error.find(name) != std::string::npos);
  }
}

// Guards against a missing required member that is read as an empty name.
TEST_CASE("CallerCodec_MissingMember_IsRefusedByName") {
  CHECK(QueryError(R"({"request_id":"r","kind":"k"})") ==
        "member 'customer' is missing");
}

// Guards against a repeated member of which one value is silently ignored.
TEST_CASE("CallerCodec_RepeatedMember_IsRefused") {
  CHECK(QueryError(R"({"kind":"a","kind":"b"})") ==
        "member 'kind' occurs twice");
}

// Guards against input that is not a request but crashes the parser or is
// accepted.
TEST_CASE("CallerCodec_HostileTexts_AreRefused") {
  const std::array<std::string, 9> texts = {
      "",
      "[",
      "null",
      "[]",
      "{\"request_id\":\"\xFF\xFE\"}",
      good_query + " x",
      good_query.substr(0, good_query.size() - 1),
      std::string(kMaxCallerBodyBytes + 1, ' '),
      std::string(kMaxCallerBodyBytes, '['),
  };
  for (const auto& text : texts) {
    CHECK_THROWS_AS(ReadQueryRequest(text), wire_error);
  }
}

// Guards against binary payloads that are altered because JSON holds only text.
TEST_CASE("JsonWriter_PayloadOfAnyBytes_SurvivesRoundTrip") {
  const bool passed =
      rc::check("payload round trip", [](const std::string& bytes) {
        json_writer out;
        const auto text = out.Payload(bytes).Finish();
        const auto read = json_object::Parse(
            text, {"payload", "payload_base64"}, text.size());
        RC_ASSERT(read.Payload(bytes.size()) == bytes);
      });
  CHECK(passed);
}

// Guards against invalid base64: the cxxtools decoder skips invalid characters.
TEST_CASE("CallerCodec_BadBase64_IsRefused") {
  const auto error =
      QueryError(R"({"request_id":"r","customer":"c","kind":"k",)"
                 R"("payload_base64":"/w*B6=="})");
  CHECK(error == "'payload_base64' is not base64");
}

// Guards against malformed requests that crash the parser or raise an exception
// other than wire_error.
TEST_CASE("CallerCodec_MutatedQuery_ThrowsWireErrorOnly") {
  const bool passed = rc::check("mutated query", [] {
    std::string text = good_query;
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    try {
      ReadQueryRequest(text);
    } catch (const wire_error&) {
      RC_TAG("refused");
    }
  });
  CHECK(passed);
}

// Guards against an order identifier that changes when it is formatted and
// parsed.
TEST_CASE("OrderId_Text_SurvivesRoundTrip") {
  const order_id id{{host_id{0xABCDEF}, incarnation_id{~0ULL}}, 1};
  CHECK(FormatOrderId(id) == "abcdef-ffffffffffffffff-1");
  CHECK(ParseOrderId(FormatOrderId(id)) == id);
}

// Guards against accepting a second spelling of an order identifier, or text
// that is parsed as another identifier.
TEST_CASE("OrderId_OtherSpelling_IsRefused") {
  const std::array<const char*, 9> texts = {
      "",      "1",       "1-2",
      "1-2-",  "1-2-3-4", "01-2-3",
      "A-2-3", "-1-2-3",  "10000000000000000-2-3"};
  for (const auto* text : texts) {
    CHECK_THROWS_AS(ParseOrderId(text), wire_error);
  }
}

// Guards against large keys that lose digits in clients which store JSON
// numbers as doubles, exact only up to 2^53.
TEST_CASE("WriteQueryAnswer_LargeKeys_AreDecimalText") {
  query_answer answer;
  answer.request_id = "r";
  answer.missing = {{0, ~0ULL}};
  const auto text = WriteQueryAnswer(answer);
  CHECK(text.find(R"("begin":0,"end":"18446744073709551615")") !=
        std::string::npos);
  CHECK(text.find(R"("parts":[])") != std::string::npos);
}

// Guards against a retry delay below one millisecond that is rounded down to 0,
// so that clients retry immediately.
TEST_CASE("WriteRefusal_ShortRetryAfter_RoundsUp") {
  refusal reason;
  reason.request_id = "r";
  reason.reason = refusal_reason::rate_limit;
  reason.retry_after = duration(1);
  const auto text = WriteRefusal(reason);
  CHECK(text.find(R"("ran":"not_run","reason":"rate_limit")") !=
        std::string::npos);
  CHECK(text.find(R"("retry_after_ms":1)") != std::string::npos);
}

}  // namespace
}  // namespace corianderrail
