/** @file node.h One host process: the reducer with its sockets. */

#pragma once

#include <memory>

#include "node/settings.h"

namespace corianderrail {

/** Connects the event loop with all clients and servers. */
class node {
 public:
  /** Listens and starts. @throws wire_error when it cannot listen. */
  explicit node(node_settings settings);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /** Asks the host to stop; a second call skips waiting. */
  void RequestStop();

  /** True once the reducer finished and every reply was written. */
  bool Stopped() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
