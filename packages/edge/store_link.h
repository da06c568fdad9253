/** @file store_link.h Follows one prefix of the store over the network. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "edge/http_getter.h"
#include "gateway/store_follower.h"

namespace corianderrail::edge {

/** Makes the reads that a store_follower asks for. */
class store_link {
 public:
  /** Called with new changes, and when the store is lost or regained. */
  struct handler {
    std::function<void(std::vector<gateway::store_item>)> on_changes;
    std::function<void(bool reachable)> on_reachable;
  };

  store_link(boost::asio::io_context& io, const std::string& address,
             gateway::store_follower follower, handler receiver);

  void Start();

  /** Reads anew at once, because a change is known to be missing. */
  void Hurry();

  bool Listed() const { return follower_.Listed(); }
  std::uint64_t Calls() const { return calls_; }
  std::uint64_t Failures() const { return failures_; }
  std::uint64_t Revision() const { return follower_.Revision(); }

 private:
  void Run();
  void OnResult(gateway::store_read_kind kind,
                std::optional<http_result> result);
  void TellReachable(bool reachable);

  boost::asio::steady_timer timer_;
  http_getter getter_;
  gateway::store_follower follower_;
  handler receiver_;
  bool reachable_ = true;
  std::uint64_t calls_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace corianderrail::edge
