/** @file edge_process.h Process that runs the gateway on sockets and timers. */

#pragma once

#include <memory>

#include "edge/edge_settings.h"

namespace corianderrail::edge {

/** Serves clients until SIGTERM or SIGINT. */
class edge_process {
 public:
  /**
   * @param path Settings file; reloaded on SIGHUP or when its content changes.
   * @throws boost::system::system_error when an address cannot be bound.
   */
  edge_process(edge_settings settings, std::string path);
  ~edge_process();
  edge_process(const edge_process&) = delete;
  edge_process& operator=(const edge_process&) = delete;

  /** Runs the event loop. After SIGTERM or SIGINT it returns once clients
   *  have left and open requests are answered, or shortly before the end of
   *  the grace period. */
  void Run();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail::edge
