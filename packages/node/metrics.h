/** @file metrics.h Metrics for Prometheus and the status document. */

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/host_reducer.h"
#include "node/event_loop.h"
#include "node/leaf_client.h"
#include "wire/peer_transport.h"

namespace corianderrail {

/** Values that metrics::Text() writes. */
struct metrics_snapshot {
  host_view view;                    ///< State and counters of the reducer.
  event_loop_counters loop;          ///< Counters of the event loop.
  peer_transport_counters peers;     ///< Messages and sockets of peers.
  std::uint64_t peers_refused = 0;   ///< Peer messages that decoding refused.
  leaf_client_counters leafs;        ///< Connections to leafs.
  std::uint64_t platform_calls = 0;  ///< Requests sent to the platform.
  std::uint64_t calls_waiting = 0;   ///< Open calls of callers now.
  std::uint64_t calls_refused = 0;   ///< Calls refused: too many open.
};

/** Latencies of answered queries. Safe for several threads. */
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /** Records the time from a caller's query to its answer. */
  void OnAnswer(duration elapsed);

  /** All metrics in the text exposition format of Prometheus. */
  std::string Text(const metrics_snapshot& from) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/** Names in the status document. */
std::string_view PhaseName(host_phase phase);
std::string_view MemberStateName(member_state state);

/** Body of GET /v1/status. */
std::string StatusJson(const host_view& view);

}  // namespace corianderrail
