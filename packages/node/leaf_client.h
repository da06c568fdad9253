/** @file leaf_client.h Connections to leafs. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/effect_type.h"
#include "core/event_type.h"

namespace corianderrail {

/** Counters of the leaf client. */
struct leaf_client_counters {
  std::uint64_t open = 0;       ///< Connections open now.
  std::uint64_t malformed = 0;  ///< Replies refused.
  std::uint64_t timeouts = 0;   ///< Requests without a reply in time.
};

/**
 * Keeps as many connections to each leaf as the reducer wants, opened ahead of
 * use, with one request at a time on each. A reply that does not match its
 * request closes the connection. All sockets belong to one thread.
 */
class leaf_client {
 public:
  /** Called with each result, on the thread of the client. */
  using sink = std::function<void(event)>;

  leaf_client(incarnation_id owner, sink deliver);
  ~leaf_client();
  leaf_client(const leaf_client&) = delete;
  leaf_client& operator=(const leaf_client&) = delete;

  /** Carries out an effect. Safe for any thread; never blocks. */
  void SetConnections(set_connections_effect effect);
  void Send(send_leaf_effect effect);
  void Cancel(cancel_leaf_effect effect);

  leaf_client_counters Counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
