/** @file relay_server.cpp Long polling of this host's copy of the store. */

#include "edge/relay_server.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "edge/process_time.h"
#include "gateway/http_status.h"
#include "wire/wire_error.h"

namespace corianderrail::edge {

namespace {

using gateway::store_read_kind;
using gateway::store_reply;

}  // namespace

relay_server::relay_server(boost::asio::io_context& io,
                           const std::string& address,
                           std::size_t max_connections)
    : server_(io, address, max_connections,
              {[this](request_id id, http_request&& request) {
                 OnRequest(id, std::string(request.target()));
               },
               [this](request_id id) {
                 std::erase_if(waiting_, [id](const waiting_request& one) {
                   return one.id == id;
                 });
               }}) {}

void relay_server::OnRequest(request_id id, const std::string& target) {
  waiting_request fresh;
  try {
    fresh = {id, DecodeRelayRequest(target), {}, {}};
  } catch (const wire_error& error) {
    server_.Reply(id, {gateway::kStatusBadRequest, {}, error.what()});
    return;
  }
  const time_point now = Now();
  fresh.since = now;
  fresh.until = now + fresh.request.wait;
  if (!Answer(fresh, false, now)) waiting_.push_back(fresh);
}

/**
 * Answers a request if there are changes, or a listing, to send.
 * @param expired The wait of the request is over: answers even without changes.
 * @return Whether the request was answered.
 */
bool relay_server::Answer(const waiting_request& one, bool expired,
                          time_point now) {
  if (cache_.Revision() == 0) {
    if (expired) server_.Reply(one.id, {gateway::kStatusUnavailable, {}, {}});
    return expired;
  }
  const bool list = one.request.kind == store_read_kind::list;
  std::optional<store_reply> items =
      list ? cache_.List() : cache_.ChangesAfter(one.request.revision);
  if (!items) {
    server_.Reply(one.id, {gateway::kStatusGone, {}, {}});
    return true;
  }
  if (!list && items->items.empty() && !expired) return false;
  const relay_reply reply{std::move(*items),
                          {now - confirmed_, now - one.since}};
  server_.Reply(one.id, {gateway::kStatusOk, {}, EncodeRelayReply(reply)});
  return true;
}

/** A new confirmation is passed on at once: without it, the hosts that read
 * from this one would take their items for stale. */
void relay_server::AnswerWaiting(time_point now, bool confirmed_anew) {
  std::vector<waiting_request> waiting;
  waiting.swap(waiting_);
  for (const waiting_request& one : waiting) {
    const bool due = confirmed_anew || now >= one.until;
    if (!Answer(one, due, now)) waiting_.push_back(one);
  }
}

void relay_server::Publish(std::span<const gateway::store_item> changes,
                           std::uint64_t revision, time_point confirmed) {
  cache_.Apply(changes, revision);
  const bool confirmed_anew = confirmed > confirmed_;
  confirmed_ = std::max(confirmed_, confirmed);
  if (confirmed_anew || !changes.empty()) AnswerWaiting(Now(), confirmed_anew);
}

void relay_server::Sweep(time_point now) {
  AnswerWaiting(now, false);
  server_.Sweep();
}

}  // namespace corianderrail::edge
