/** @file service_owner.h Schedules all work for the services of this host. */

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
  ppm extra_load = 50'000;         ///< Hedges and retries per request.
  double hedge_quantile = 0.95;    ///< Latency quantile that starts a hedge.
  ppm connection_share = 500'000;  ///< Part of a leaf's connections per owner.
  duration leaf_timeout =
      std::chrono::seconds(2);  ///< Longest wait for a leaf.
  std::uint32_t attempt_window =
      65'536;  ///< Order attempts kept for each home.
};

/** Counters of the scheduler, all rising. */
struct owner_counters {
  std::uint64_t leaf_requests = 0;  ///< Sent to leafs, hedges included.
  std::uint64_t hedges = 0;         ///< Second requests sent.
  std::uint64_t retries = 0;        ///< Repeats after a failure.
  std::uint64_t dropped = 0;        ///< Dropped before a leaf saw them.
  std::uint64_t cancelled = 0;      ///< Cancelled in flight.
  std::uint64_t ejections = 0;      ///< Leafs taken out as stragglers.
};

/** Rank queues, slots, hedges, retries and order attempts of owned services. */
class service_owner {
 public:
  service_owner(host_ref self, owner_settings settings, std::uint64_t seed);
  ~service_owner();
  service_owner(const service_owner&) = delete;
  service_owner& operator=(const service_owner&) = delete;

  /** Takes a new topology; work for removed services is answered as failed. */
  void SetTopology(std::shared_ptr<const topology> value, time_point now,
                   effect_list& effects);

  /** Services whose connections this host keeps open. */
  void SetOwned(std::span<const service_id> services, time_point now,
                effect_list& effects);

  /** Floors of the ranks: largest floor of any contract in force. */
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

  /** Drops what expired while the process did not run. */
  void OnClockGap(time_point now, effect_list& effects);

  /** True when no work is queued or in flight. */
  bool Idle() const;

  const owner_counters& Counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
