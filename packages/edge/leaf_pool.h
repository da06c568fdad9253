/** @file leaf_pool.h Connections to leafs. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "gateway/gateway_type.h"

namespace corianderrail::edge {

/** Counters of the pool, all rising except `open`. */
struct leaf_pool_counters {
  std::uint64_t opened = 0;     ///< Connections opened.
  std::uint64_t failed = 0;     ///< Connections that could not be opened.
  std::uint64_t malformed = 0;  ///< Answers that break the protocol.
  std::uint64_t open = 0;       ///< Connections open now.
};

/**
 * Sends requests to leafs over kept connections, one at a time on each. An
 * answer counts only when it is whole and belongs to its request; after any
 * doubt the connection is closed.
 */
class leaf_pool {
 public:
  using event_sink = std::function<void(gateway::event)>;

  leaf_pool(boost::asio::io_context& io, event_sink sink);
  ~leaf_pool();
  leaf_pool(const leaf_pool&) = delete;
  leaf_pool& operator=(const leaf_pool&) = delete;

  void Send(gateway::send_leaf_effect effect);
  void Cancel(gateway::leaf_call call);
  void Connect(const gateway::connect_leaf_effect& effect);
  void Forget(gateway::leaf_handle leaf);

  /** Closes connections that were idle for too long. */
  void Sweep();

  leaf_pool_counters Counters() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderrail::edge
