/** @file digest_test.cpp Tests of digests. */

#include "contract/digest.h"

#include <array>
#include <catch2/catch.hpp>

namespace corianderrail {
namespace {

// Guards against a change of the hash: published digests would stop matching.
TEST_CASE("Digest_KnownBytes_GiveXxh3Value") {
  CHECK(FormatDigest(ComputeDigest(std::string_view())) == "2d06800538d394c2");
  CHECK(ParseDigest("2d06800538d394c2") == 0x2D06800538D394C2ULL);
}

// Guards against accepting a second spelling of the same digest.
TEST_CASE("Digest_OtherSpellings_AreRefused") {
  CHECK_FALSE(ParseDigest("2D06800538D394C2"));
  CHECK_FALSE(ParseDigest("0x06800538d394c2"));
  CHECK_FALSE(ParseDigest("2d06800538d394c"));
}

// Guards against a digest that stays the same when bytes move from one document
// to the next.
TEST_CASE("Digest_BytesMovedBetweenDocuments_GiveOtherValue") {
  std::array<contract_document, 2> first = {{{"a", "xy"}, {"b", "z"}}};
  std::array<contract_document, 2> second = {{{"a", "x"}, {"b", "yz"}}};
  CHECK(ComputeDigest(first) != ComputeDigest(second));
}

}  // namespace
}  // namespace corianderrail
