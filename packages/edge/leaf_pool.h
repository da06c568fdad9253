/** @file leaf_pool.h Connection pool for requests to leafs. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "edge/connection_end.h"
#include "gateway/admission/memory_shares.h"
#include "gateway/gateway_type.h"

namespace corianderrail::edge {

/** Counters of the pool; all but `open` only increase. */
struct leaf_pool_counters {
  std::uint64_t opened = 0;        ///< Connections opened.
  std::uint64_t failed = 0;        ///< Connections that could not be opened.
  std::uint64_t malformed = 0;     ///< Answers: invalid HTTP, other attempt.
  std::uint64_t open = 0;          ///< Connections open now.
  std::uint64_t answer_bytes = 0;  ///< Bodies of incomplete answers now.
  std::uint64_t delayed = 0;  ///< Requests that waited for bytes in flight.
  held_counters requests;     ///< That leafs have not read.
  held_counters answers;      ///< Incomplete ones.
};

/**
 * Sends requests to leafs over persistent connections, without pipelining. An
 * answer is accepted only when it is complete and carries the attempt
 * identifier of its request, or none if no answer of the leaf carries one. A
 * connection whose state is uncertain is closed.
 */
class leaf_pool {
 public:
  using event_sink = std::function<void(gateway::event)>;

  leaf_pool(boost::asio::io_context& io, event_sink sink);
  ~leaf_pool();
  leaf_pool(const leaf_pool&) = delete;
  leaf_pool& operator=(const leaf_pool&) = delete;

  /** Sends a request; a leaf_answer_event or leaf_failure_event follows unless
   *  the request is canceled. */
  void Send(gateway::send_leaf_effect effect);

  /** Cancels a request. If it was sent, closes its connection, so that the leaf
   *  can stop its work. */
  void Cancel(gateway::leaf_call call);

  /** Tests whether a leaf accepts connections; a leaf_connected_event
   *  follows. */
  void Connect(const gateway::connect_leaf_effect& effect);

  /** From `send_before` on, sends the leaf no request: those that wait for a
   *  connection then fail as withdrawn. kNever lifts the limit. */
  void StopSending(gateway::leaf_handle leaf, time_point send_before);

  /** Fails a request as withdrawn if it still waits for a connection. */
  void Withdraw(gateway::leaf_call call);

  /** Closes the idle connections to a leaf, and each busy one when it becomes
   *  idle. */
  void Disconnect(gateway::leaf_handle leaf);

  /** Bounds what is held for leafs that read and send slowly. */
  void SetBounds(const gateway::memory_shares& shares);

  /** Sets who is told of connections that end for what they hold. */
  void OnEnd(connection_end_sink sink);

  /** Closes connections whose idle limit has passed, and counts what leafs have
   *  not read. */
  void Sweep();

  leaf_pool_counters Counters() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderrail::edge
