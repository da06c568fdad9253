/** @file edge_process.h One edge host: the gateway with its sockets. */

#pragma once

#include <memory>

#include "edge/edge_settings.h"

namespace corianderrail::edge {

/** Serves clients until the process is asked to stop. */
class edge_process {
 public:
  /**
   * @param path File of the settings, read again on SIGHUP.
   * @throws boost::system::system_error when an address cannot be used.
   */
  edge_process(edge_settings settings, std::string path);
  ~edge_process();
  edge_process(const edge_process&) = delete;
  edge_process& operator=(const edge_process&) = delete;

  /** Returns after SIGTERM or SIGINT, when all work is done. */
  void Run();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail::edge
