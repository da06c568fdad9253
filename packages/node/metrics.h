/** @file metrics.h Counters and latencies for Prometheus. */

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/host_reducer.h"
#include "node/event_loop.h"
#include "node/leaf_client.h"
#include "wire/peer_transport.h"

namespace corianderrail {

/** What the text is written from. */
struct metrics_snapshot {
  host_view view;                    ///< State of the host.
  event_loop_counters loop;          ///< Event loop.
  peer_transport_counters peers;     ///< Sockets between hosts.
  std::uint64_t peers_refused = 0;   ///< Peer messages refused.
  leaf_client_counters leafs;        ///< Connections to leafs.
  std::uint64_t platform_calls = 0;  ///< Reads from the platform.
  std::uint64_t calls_waiting = 0;   ///< Callers that wait now.
  std::uint64_t calls_refused = 0;   ///< Refused because too many wait.
};

/** Latencies of this host. Safe for several threads. */
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /** Time from a caller's request to its answer. */
  void OnAnswer(duration elapsed);

  /** Text exposition format of Prometheus. */
  std::string Text(const metrics_snapshot& from) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

std::string_view PhaseName(host_phase phase);
std::string_view MemberStateName(member_state state);

/** Body of GET /v1/status. */
std::string StatusJson(const host_view& view);

}  // namespace corianderrail
