/** @file flood_state.h Private state of the flood simulation. */

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flood_simulation.h"
#include "gateway/hosts/fleet_view.h"

namespace corianderrail::gateway {

/** A simulated leaf. */
struct flood_simulation::leaf {
  /** A request, with the host and call that its answer belongs to. */
  struct job {
    std::size_t host = 0;
    leaf_call call{};
    std::size_t kind = 0;
    std::string attempt;
    time_point stop_at{};  ///< The leaf does not start the request after this.
  };
  /** Connections of one host. */
  struct pool {
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    std::deque<send_leaf_effect> waiting;  ///< For a free connection.
  };
  leaf_record record;
  std::string region;
  std::map<std::size_t, pool> pools;  ///< By host.
  std::uint32_t connections = 0;      ///< Of all hosts.
  std::uint32_t running = 0;
  leaf_pace pace;
  std::deque<job> waiting;
  std::vector<std::pair<std::size_t, leaf_call>> at_work;
};

struct flood_simulation::host {
  std::unique_ptr<gateway> core;
  std::string zone;
  std::string region;
  std::unique_ptr<fleet_view> fleet;
  time_point started{};
  time_point wake_at = kNever;
  std::vector<event> inbox;
  bool reducing = false;
  std::map<leaf_call, std::string> leafs;  ///< Leaf instance of each open call.
};

/** An attempt of a client that is not answered yet. */
struct flood_simulation::attempt {
  std::size_t kind = 0;
  std::size_t host = 0;
  time_point began{};     ///< Start of the first attempt of the client.
  time_point arrived{};   ///< Arrival of this attempt.
  bool is_retry = false;  ///< Second attempt, after a refusal.
};

}  // namespace corianderrail::gateway
