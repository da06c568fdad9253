/** @file leaf_codec.cpp HTTP headers of the leaf protocol. */

#include "wire/leaf_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include "wire/caller_codec.h"

namespace corianderrail {

namespace {

using kind = wire_error::kind;

constexpr std::uint64_t kMaxUnsigned =
    std::numeric_limits<std::uint64_t>::max();

/** Values of X-Status, indexed by leaf_status. */
constexpr std::array<std::string_view, 4> kLeafStatuses = {
    "ok", "not_run", "wrong_snapshot", "failed"};

std::string RequireHeader(const header_lookup& headers, const char* name) {
  auto value = headers(name);
  if (!value) {
    throw wire_error(kind::missing_member,
                     std::string("leaf reply without header ") + name);
  }
  return *std::move(value);
}

std::uint64_t OptionalNumber(const header_lookup& headers, const char* name,
                             std::uint64_t max_value) {
  const auto value = headers(name);
  return value ? ReadNumber(name, *value, max_value) : 0;
}

leaf_status ReadStatus(const header_lookup& headers) {
  const auto text = RequireHeader(headers, "X-Status");
  const auto* match =
      std::find(kLeafStatuses.begin(), kLeafStatuses.end(), text);
  if (match == kLeafStatuses.end()) {
    throw wire_error(kind::out_of_range, "leaf reply with unknown X-Status");
  }
  return static_cast<leaf_status>(match - kLeafStatuses.begin());
}

/** A body shorter than Content-Length was truncated; a longer one contains
 *  bytes of another message. */
void CheckLength(const header_lookup& headers, const std::string& body) {
  const auto length =
      ReadNumber("Content-Length", RequireHeader(headers, "Content-Length"),
                 kMaxLeafReplyBytes);
  if (length != body.size()) {
    throw wire_error(kind::too_short,
                     "leaf reply length differs from Content-Length");
  }
}

}  // namespace

std::uint64_t ReadNumber(const char* name, std::string_view text,
                         std::uint64_t max_value) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end ||
      value > max_value) {
    throw wire_error(kind::out_of_range, std::string("header ") + name +
                                             " is not a number in range");
  }
  return value;
}

std::string_view LeafPath(const leaf_request& request) {
  return request.order ? "/leaf/v1/order" : "/leaf/v1/query";
}

std::string LeafRequestId(incarnation_id owner, leaf_call_id call) {
  std::array<char, 40> text{};
  char* end = text.data() + text.size();
  char* next = std::to_chars(text.data(), end, Raw(owner), 16).ptr;
  *next++ = '-';
  next = std::to_chars(next, end, Raw(call), 16).ptr;
  return {text.data(), next};
}

std::vector<http_header> LeafRequestHeaders(const leaf_request& request,
                                            const std::string& request_id) {
  const auto remaining =
      std::max<std::int64_t>(0, std::int64_t{request.remaining.count()});
  std::vector<http_header> headers = {
      {kLeafRequestIdHeader, request_id},
      {"X-Collection", request.collection},
      {"X-Rank", std::string(RankName(request.urgency))},
      {"X-Remaining-Us", std::to_string(remaining)},
      {"X-Key-Begin", std::to_string(request.range.begin)},
      {"X-Key-End", std::to_string(request.range.end)},
  };
  if (request.order) {
    headers.push_back({"X-Order-Id", FormatOrderId(*request.order)});
  } else {
    headers.push_back({"X-Snapshot", std::to_string(Raw(request.snapshot))});
  }
  return headers;
}

leaf_reply ReadLeafReply(unsigned http_code, const header_lookup& headers,
                         std::string body, const std::string& request_id,
                         const leaf_request& expected) {
  if (http_code != 200) {
    throw wire_error(kind::out_of_range, "leaf replied with HTTP status " +
                                             std::to_string(http_code));
  }
  if (RequireHeader(headers, kLeafRequestIdHeader) != request_id) {
    throw wire_error(kind::wrong_type, "leaf reply belongs to another request");
  }
  CheckLength(headers, body);
  leaf_reply reply;
  reply.status = ReadStatus(headers);
  reply.snapshot =
      snapshot_id{OptionalNumber(headers, "X-Snapshot", kMaxUnsigned)};
  reply.newest =
      snapshot_id{OptionalNumber(headers, "X-Newest-Snapshot", kMaxUnsigned)};
  reply.draining = OptionalNumber(headers, "X-Draining", 1) == 1;
  reply.queued = static_cast<std::uint32_t>(
      OptionalNumber(headers, "X-Queued", std::uint32_t(-1)));
  if (!expected.order && reply.status == leaf_status::ok &&
      reply.snapshot != expected.snapshot) {
    throw wire_error(kind::wrong_type, "leaf reply is for another snapshot");
  }
  reply.payload = std::move(body);
  return reply;
}

}  // namespace corianderrail
