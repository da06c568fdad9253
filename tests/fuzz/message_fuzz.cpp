/** @file message_fuzz.cpp Fuzzes client requests and leaf answers. */

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>

#include "edge/request_framing.h"
#include "platform/message_codec.h"

namespace {

using namespace corianderrail;
namespace http = boost::beast::http;

constexpr std::string_view kInstance = "i-1";

/** Maximum size of a body, as kMaxAnswerBytes of edge/leaf_pool.cpp. */
constexpr std::uint64_t kBodyLimit = 8u << 20;

/** Parses the message at the start of the bytes, if there is one. */
template <bool IsRequest>
std::optional<http::message<IsRequest, http::string_body>> Parse(
    const char* data, std::size_t size, std::size_t* used) {
  http::parser<IsRequest, http::string_body> parser;
  boost::system::error_code error;
  *used = parser.put(boost::asio::buffer(data, size), error);
  if (error || !parser.is_header_done()) return std::nullopt;
  if (parser.content_length().value_or(0) > kBodyLimit) return std::nullopt;
  parser.eager(true);
  if (!parser.is_done()) {
    *used += parser.put(boost::asio::buffer(data + *used, size - *used), error);
  }
  if (error || !parser.is_done()) return std::nullopt;
  return parser.release();
}

/** Checks that the leaf receives exactly one request, equal to the client's. */
void CheckForwarded(const gateway::client_request& request) {
  const std::string text =
      platform::EncodeLeafRequest(request, std::chrono::seconds(1), kInstance);
  std::size_t used = 0;
  const auto seen = Parse<true>(text.data(), text.size(), &used);
  if (!seen || used != text.size()) std::abort();
  if (seen->target() != request.target) std::abort();
  if (seen->method_string() != request.method) std::abort();
  if (seen->body() != request.body) std::abort();
  if (seen->count("X-Target-Instance") != 1) std::abort();
  if ((*seen)["X-Target-Instance"] != "i-1") std::abort();
  if (seen->count("X-Deadline-Ms") != 1) std::abort();
}

}  // namespace

/** Guards against request smuggling: the leaf must receive the request that the
 *  host has checked. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto* text = reinterpret_cast<const char*>(data);
  std::size_t used = 0;
  if (auto request = Parse<true>(text, size, &used)) {
    if (edge::IsUnambiguous(*request)) {
      CheckForwarded(platform::DecodeRequest(std::move(*request)));
    }
  }
  if (auto answer = Parse<false>(text, size, &used)) {
    platform::DecodeLeafAnswer(std::move(*answer));
  }
  platform::DecodeLookupRequest({text, size});
  return 0;
}
