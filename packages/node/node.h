/** @file node.h One host process: the reducer with its sockets. */

#pragma once

#include <memory>

#include "node/settings.h"

namespace corianderrail {

/** Connects the event loop with all clients and servers. */
class node {
 public:
  /** Binds both addresses and starts. @throws wire_error when an address cannot
   *  be bound. */
  explicit node(node_settings settings);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /** Starts draining. A second call stops the host as soon as open orders are
   *  answered, or after a grace period. */
  void RequestStop();

  /** True once the reducer has stopped and no call is open. */
  bool Stopped() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
