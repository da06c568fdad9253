/** @file relay_codec.cpp Relay targets and MessagePack bodies. */

#include "edge/relay_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "gateway/http_status.h"
#include "wire/json_fields.h"
#include "wire/wire_error.h"

namespace corianderrail::edge {

namespace {

using gateway::store_failure;
using gateway::store_item;
using gateway::store_read_kind;
using nlohmann::json;

constexpr std::string_view kList = "list";
constexpr std::string_view kChanges = "changes";

/** Largest duration in a reply; older items are sent as this old. The bound
 *  keeps the conversion from double within the range of `duration`. */
constexpr double kMaxDurationUs = 1e12;

/** Field with the time for which the request was held. */
constexpr const char* kHeldField = "held_us";

/** Nesting of a valid reply: its table, the list of items, and an item. */
constexpr std::uint32_t kMaxNestingDepth = 3;

/** Longest wait that a host grants to a relay request. */
constexpr std::uint64_t kMaxWaitMs = 30'000;

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool complete = read.ptr == text.data() + text.size();
  if (text.empty() || !complete || read.ec != std::errc()) {
    throw wire_error(wire_error::kind::wrong_type,
                     "relay request: revision and wait must be whole numbers");
  }
  return value;
}

/** Removes and returns the text up to the next slash. */
std::string_view NextSegment(std::string_view& rest) {
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string_view segment = rest.substr(0, slash);
  rest.remove_prefix(std::min(slash + 1, rest.size()));
  return segment;
}

/** Rejects bytes that nest deeper than a valid reply. */
class depth_visitor : public msgpack::null_visitor {
 public:
  bool start_array(std::uint32_t /*size*/) { return Enter(); }
  bool end_array() { return Leave(); }
  bool start_map(std::uint32_t /*size*/) { return Enter(); }
  bool end_map() { return Leave(); }

 private:
  bool Enter() { return ++depth_ <= kMaxNestingDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  std::uint32_t depth_ = 0;
};

/** The decoder of nlohmann::json calls itself for each level, so that nested
 *  bytes would exhaust the stack. */
bool IsShallow(std::string_view bytes) {
  depth_visitor visitor;
  std::size_t consumed = 0;
  return msgpack::parse(bytes.data(), bytes.size(), consumed, visitor);
}

std::int64_t EncodeDuration(duration value) {
  constexpr auto kMax = static_cast<std::int64_t>(kMaxDurationUs);
  return std::clamp<std::int64_t>(value.count(), 0, kMax);
}

duration DecodeDuration(const json& from) {
  return duration(
      static_cast<duration::rep>(GetNumberInRange(from, 0, kMaxDurationUs)));
}

json::binary_t ToBinary(const std::string& from) {
  return json::binary_t(std::vector<std::uint8_t>(from.begin(), from.end()));
}

}  // namespace

std::string EncodeRelayRequest(const relay_request& request) {
  const bool list = request.kind == store_read_kind::list;
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
  std::string target(kRelayPath);
  target += '/';
  target += list ? kList : kChanges;
  target += '/' + std::to_string(request.revision);
  target += '/' + std::to_string(wait.count());
  return target;
}

relay_request DecodeRelayRequest(std::string_view target) {
  std::string_view rest = target;
  if (!rest.starts_with(kRelayPath) || rest.size() < kRelayPath.size() + 1) {
    throw wire_error(wire_error::kind::bad_syntax, "not a relay request");
  }
  rest.remove_prefix(kRelayPath.size() + 1);
  relay_request request;
  const std::string_view kind = NextSegment(rest);
  if (kind != kList && kind != kChanges) {
    throw wire_error(wire_error::kind::bad_syntax,
                     "relay request: kind must be list or changes");
  }
  request.kind = kind == kList ? store_read_kind::list : store_read_kind::watch;
  request.revision = ParseNumber(NextSegment(rest));
  const std::uint64_t wait = ParseNumber(NextSegment(rest));
  request.wait = std::chrono::milliseconds(std::min(wait, kMaxWaitMs));
  if (!rest.empty()) {
    throw wire_error(wire_error::kind::bad_syntax,
                     "relay request: remove the text after the wait");
  }
  return request;
}

std::string EncodeRelayReply(const relay_reply& reply) {
  json items = json::array();
  for (const store_item& item : reply.items.items) {
    items.push_back(json::array(
        {item.key, item.revision, item.removed, ToBinary(item.value)}));
  }
  const json document = {{"revision", reply.items.revision},
                         {"age_us", EncodeDuration(reply.freshness.age)},
                         {kHeldField, EncodeDuration(reply.freshness.held)},
                         {"items", std::move(items)}};
  const auto bytes = json::to_msgpack(document);
  return {bytes.begin(), bytes.end()};
}

std::variant<relay_reply, store_failure> DecodeRelayReply(
    int status, std::string_view body) {
  if (status == gateway::kStatusGone) return store_failure::compacted;
  if (status != gateway::kStatusOk) return store_failure::refused;
  if (!IsShallow(body)) return store_failure::unreadable;
  try {
    const json document = json::from_msgpack(body);
    relay_reply reply;
    reply.items.revision = GetUnsigned<std::uint64_t>(document.at("revision"));
    reply.freshness.age = DecodeDuration(document.at("age_us"));
    // A host of an earlier release does not state it.
    if (document.contains(kHeldField)) {
      reply.freshness.held = DecodeDuration(document.at(kHeldField));
    }
    for (const json& one : document.at("items")) {
      store_item item;
      item.key = one.at(0).get<std::string>();
      item.revision = GetUnsigned<std::uint64_t>(one.at(1));
      item.removed = one.at(2).get<bool>();
      const auto& bytes = one.at(3).get_binary();
      item.value.assign(bytes.begin(), bytes.end());
      reply.items.items.push_back(std::move(item));
    }
    return reply;
  } catch (const std::exception&) {
    return store_failure::unreadable;
  }
}

}  // namespace corianderrail::edge
