/** @file service_owner.h Leaf scheduler for the services of this host. */

#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"

namespace corianderrail {

/** Limits and timing of the leaf scheduler. */
struct owner_settings {
  ppm extra_load = 50'000;         ///< Repeats, probes per 1e6 first requests.
  double hedge_quantile = 0.95;    ///< Latency quantile after which to hedge.
  ppm connection_share = 500'000;  ///< Share of a leaf's connections per owner.
  duration leaf_timeout =
      std::chrono::seconds(2);  ///< Longest wait for a reply.
  std::uint32_t attempt_window =
      65'536;  ///< Order attempts recorded for each home.
};

/** Monotonic counters of the scheduler. */
struct owner_counters {
  std::uint64_t leaf_requests = 0;  ///< Requests to leafs, repeats included.
  std::uint64_t hedges = 0;         ///< Hedges sent.
  std::uint64_t retries = 0;        ///< Retries sent.
  std::uint64_t dropped = 0;        ///< Tasks dropped before they were sent.
  std::uint64_t cancelled = 0;      ///< Requests cancelled at a leaf.
  std::uint64_t ejections = 0;      ///< Ejections of leafs as outliers.
};

/** Queues work by rank, sends it to leafs, hedges and retries it, and records
 *  order attempts. */
class service_owner {
 public:
  service_owner(host_ref self, owner_settings settings, std::uint64_t seed);
  ~service_owner();
  service_owner(const service_owner&) = delete;
  service_owner& operator=(const service_owner&) = delete;

  /** Replaces the topology. For removed services, parts end as failed and
   *  queued orders as not run. */
  void SetTopology(std::shared_ptr<const topology> value, time_point now,
                   effect_list& effects);

  /** Replaces the owned services, whose leaf connections are kept open. */
  void SetOwned(std::span<const service_id> services, time_point now,
                effect_list& effects);

  /** Sets the floor of each rank, the largest of any contract in force. */
  void SetFloors(const per_rank<ppm>& floors);

  void OnSubqueryBatch(const peer_message& from, const subquery_batch& body,
                       time_point now, effect_list& effects);
  void OnSubqueryCancel(const peer_message& from, const subquery_cancel& body,
                        time_point now, effect_list& effects);
  void OnOrderAttempt(const peer_message& from, const order_attempt& body,
                      time_point now, effect_list& effects);
  void OnLeafReply(const leaf_reply_event& reply, time_point now,
                   effect_list& effects);
  void OnLeafFailure(const leaf_failure_event& failure, time_point now,
                     effect_list& effects);
  void OnLeafConnections(const leaf_connections_event& connections,
                         time_point now, effect_list& effects);
  void OnHostList(const host_list_event& list, time_point now,
                  effect_list& effects);
  void OnLeafObservation(const leaf_observation& observation, time_point now,
                         effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;

  /** Drops work that expired while the process was paused. */
  void OnClockGap(time_point now, effect_list& effects);

  /** True when there is no unfinished task. */
  bool Idle() const;

  const owner_counters& Counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
