/** @file request_framing.cpp Framing checks that Beast does not make. */

#include "edge/request_framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <iterator>

namespace corianderrail::edge {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp10 = 10;

bool IsDigits(boost::beast::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

bool HasUnambiguousLength(const http_request& request) {
  const auto lengths = request.equal_range(http::field::content_length);
  if (std::distance(lengths.first, lengths.second) > 1) return false;
  // Beast accepts a list of equal lengths, such as "3, 3", as one length.
  const bool has_length = lengths.first != lengths.second;
  if (has_length && !IsDigits(lengths.first->value())) return false;
  const auto codings = request.equal_range(http::field::transfer_encoding);
  const auto count = std::distance(codings.first, codings.second);
  if (count > 1) return false;
  if (count == 0) return true;
  if (has_length || request.version() <= kHttp10) return false;
  return boost::beast::iequals(codings.first->value(), "chunked");
}

bool HasUnambiguousHost(const http_request& request) {
  const auto hosts = request.equal_range(http::field::host);
  const auto count = std::distance(hosts.first, hosts.second);
  return request.version() > kHttp10 ? count == 1 : count <= 1;
}

}  // namespace

bool IsUnambiguous(const http_request& request) {
  return HasUnambiguousLength(request) && HasUnambiguousHost(request);
}

}  // namespace corianderrail::edge
