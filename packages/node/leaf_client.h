/** @file leaf_client.h Connection pools to leafs. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/effect_type.h"
#include "core/event_type.h"

namespace corianderrail {

/** Counters of the leaf client, for the metrics. */
struct leaf_client_counters {
  std::uint64_t open = 0;       ///< Connections open now.
  std::uint64_t malformed = 0;  ///< Replies refused as malformed.
  std::uint64_t timeouts = 0;   ///< Requests without a reply in time.
};

/**
 * Keeps the number of connections to each leaf that the reducer sets. They are
 * opened ahead of use, and each carries one request at a time. A reply that
 * does not match its request closes the connection. One thread handles all
 * sockets.
 */
class leaf_client {
 public:
  /** Receives each result as an event, on the thread of the client. */
  using sink = std::function<void(event)>;

  /** @param owner Incarnation of this host; part of each request identifier. */
  leaf_client(incarnation_id owner, sink deliver);
  ~leaf_client();
  leaf_client(const leaf_client&) = delete;
  leaf_client& operator=(const leaf_client&) = delete;

  /** Queue an effect for the thread of the client. Safe for any thread; never
   *  block. */
  void SetConnections(set_connections_effect effect);
  void Send(send_leaf_effect effect);
  void Cancel(cancel_leaf_effect effect);

  leaf_client_counters Counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
