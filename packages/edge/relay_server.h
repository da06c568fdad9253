/** @file relay_server.h Serves store items to other hosts over HTTP. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "edge/http_server.h"
#include "edge/relay_codec.h"
#include "gateway/store/store_cache.h"

namespace corianderrail::edge {

/** Answers relay requests from this host's copy of the store, by long polling.
 */
class relay_server {
 public:
  /** @throws boost::system::system_error when the address cannot be bound. */
  relay_server(boost::asio::io_context& io, const std::string& address,
               std::size_t max_connections);

  /**
   * Applies changes that this host has read and answers the requests that wait
   * for them, or for a new confirmation.
   * @param revision All changes up to it are known.
   * @param confirmed When the store last confirmed the items.
   */
  void Publish(std::span<const gateway::store_item> changes,
               std::uint64_t revision, time_point confirmed);

  /** Answers requests whose wait has expired; closes idle connections. */
  void Sweep(time_point now);

 private:
  /** A long poll that waits for a change. */
  struct waiting_request {
    request_id id{};
    relay_request request;
    time_point since{};  ///< When it was received.
    time_point until{};  ///< Answered then at the latest.
  };

  void OnRequest(request_id id, const std::string& target);
  bool Answer(const waiting_request& one, bool expired, time_point now);
  void AnswerWaiting(time_point now, bool confirmed_anew);

  gateway::store_cache cache_;
  time_point confirmed_{};  ///< When the store last confirmed the items.
  std::vector<waiting_request> waiting_;
  http_server server_;
};

}  // namespace corianderrail::edge
