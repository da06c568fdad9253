/** @file gateway.h State machine that forwards client requests to leafs. */

#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/admission/answer_stats.h"
#include "gateway/admission/answer_timing.h"
#include "gateway/admission/load_shedding.h"
#include "gateway/admission/loop_lag.h"
#include "gateway/admission/part_queue.h"
#include "gateway/admission/repeat_budget.h"
#include "gateway/gateway_type.h"
#include "gateway/leafs/connection_warmup.h"
#include "gateway/leafs/evacuation.h"
#include "gateway/leafs/leaf_directory.h"
#include "gateway/leafs/leaf_selector.h"
#include "gateway/leafs/performance_report.h"
#include "gateway/placement_report.h"
#include "gateway/routing/route_stats.h"
#include "gateway/routing/route_table.h"

namespace corianderrail::gateway {

/** Settings of a gateway. */
struct gateway_settings {
  location here;            ///< Zone and region of this host.
  repeat_settings repeats;  ///< Ratio, window, and slack of the whole fleet.
  /** Parts of clients that return after a refusal go before others of their
   *  rank. Off, because it lowers the goodput; see docs/design/admission.md. */
  bool returned_first = false;
  leaf_directory_settings leafs;  ///< Timing of leaving leafs.
  cold_settings cold;             ///< Bounds of requests to cold leafs.
  duration client_network_time =
      std::chrono::milliseconds(14);  ///< Part of the objective for the network
                                      ///< if the time of a client is unknown.
};

/**
 * State machine: Reduce() turns an event and the current time into effects. It
 * does no I/O and uses no clock, thread or random device.
 */
class gateway {
 public:
  explicit gateway(gateway_settings settings);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  /** Handles one event and appends the resulting effects. */
  void Reduce(event input, time_point now, effect_list& effects);

  /** An evacuation of a zone ended: its leafs count as cold from now on. */
  void OnEvacuationEnd(std::string_view zone, time_point now);

  /** Time at which the caller must pass the next wake_event. */
  time_point NextWake() const;

  /** Version of the active configuration; 0 before the first one. */
  config_version Version() const;

  /** True once a configuration is active, the registry was listed completely,
   *  and at least one leaf is known. */
  bool CanServe() const;

  /** Client limits of the active configuration, or the defaults. */
  const client_limits& Limits() const;

  /** Home regions of the routes with a host name; empty without any. */
  const region_set& HomeRegions(std::string_view host) const;
  /** Where a request would go now, and why. Sends and changes nothing. */
  placement_report ExplainPlacement(const placement_request& request,
                                    time_point now) const;

  const gateway_counters& Counters() const { return counters_; }
  const answer_stats& Answers() const { return answers_; }
  std::size_t OpenExchanges() const { return exchanges_.size(); }
  std::size_t OpenCalls() const { return calls_.size(); }
  std::size_t Leafs() const { return directory_.Size(); }
  const evacuation& Evacuations() const { return evacuations_; }
  const exclusion_counts& Exclusions() const { return selector_.Exclusions(); }
  std::size_t ColdLeafs() const { return cold_leafs_; }
  std::size_t DifferingLeafs() const { return report_.Differing(); }

 private:
  struct part;
  struct exchange;
  struct open_request;
  struct service_state;

  /** A time at which an exchange or a leaf call must be checked. */
  struct timer {
    time_point at{};       ///< Time of the check.
    bool is_call = false;  ///< True for a leaf call, false for an exchange.
    std::uint64_t id = 0;  ///< Value of the leaf_call or exchange_id.
    bool operator>(const timer& other) const { return at > other.at; }
  };

  // gateway.cpp, but requests, startup and stop in gateway_answers.cpp
  void On(request_event& input, time_point now);
  void On(client_disconnected_event& input, time_point now);
  void On(leaf_answer_event& input, time_point now);
  void On(leaf_failure_event& input, time_point now);
  void On(leaf_connected_event& input, time_point now);
  void On(config_event& input, time_point now);
  void On(registry_event& input, time_point now);
  void On(startup_event& input, time_point now);
  void On(fleet_event& input, time_point now);
  void On(settings_event& input, time_point now);
  void On(leaving_event& input, time_point now);
  void On(evacuation_event& input, time_point now);
  void On(stop_event& input, time_point now);
  void On(wake_event& input, time_point now);
  void On(leaf_figures_event& input, time_point now);
  void On(report_event& input, time_point now);
  void OnTimer(const timer& due, time_point now);
  void RecordAnswer(leaf_state& leaf, const open_request& call, leaf_call id,
                    const leaf_answer& answer, time_point now);
  bool CheckLeafs(time_point now);
  void CheckSoon(time_point now);
  void CheckCold(leaf_state& leaf, time_point now);
  void OnStatedLeaving(leaf_state& leaf, time_point now);
  void LimitSending(const leaf_state& leaf);
  void LogLimit(const leaf_state& leaf, time_point now);
  void LogSuspicion(const leaf_state& leaf, std::string_view reason);
  const std::shared_ptr<service_state>& Service(const std::string& name);
  void UpdateBudgets();
  void Prune(time_point now);
  bool SendsTo(const std::string& service) const;
  void Connect(leaf_state& leaf);
  void WarmUp(const std::string& service);

  // gateway_calls.cpp
  void Place(exchange& pending, std::size_t index, send_cause cause,
             time_point now);
  void Hedge(exchange& pending, std::size_t index, time_point now);
  static leaf_query QueryFor(const exchange& pending, const part& piece);
  void CollectCandidates(const exchange& pending, const part& piece,
                         time_point now);
  void Send(exchange& pending, std::size_t index, std::size_t candidate,
            send_cause cause, time_point now);
  waiting_part QueuePosition(const exchange& pending, std::size_t index) const;
  bool QueuePart(exchange& pending, std::size_t index, time_point now);
  queue_estimate EstimatePart(const exchange& pending, std::size_t index,
                              time_point now) const;
  request_estimate EstimateWait(const exchange& pending, time_point now) const;
  void DispatchWaiting(service_state& service, time_point now);
  void DispatchPart(const waiting_part& position, time_point now);
  void Dequeue(exchange& pending, std::size_t index);
  void MarkWaitingLate(exchange& pending);
  bool MayKeepIdle(const service_state& service) const;
  void CancelCalls(exchange& pending, time_point now);
  bool SpendRepeat(const exchange& pending, part& piece, repeat_reason reason,
                   time_point now);
  void LogRepeat(const exchange& pending, const part& piece,
                 repeat_reason reason, time_point now);

  // gateway_restrictions.cpp
  void OnZoneChanged(const evacuation_change& change);
  time_point SendBefore(const leaf_state& leaf) const;
  std::size_t NarrowOpenRequests(time_point now);
  void WithdrawForbidden(const exchange& pending, leaf_call call);
  void RecheckWaiting(std::vector<std::uint64_t> exchanges, time_point now);
  void DispatchAllWaiting(time_point now);
  // gateway_explain.cpp
  void AddExplainedParts(exchange& pending) const;
  refusal_cause ExplainRefusal(const exchange& pending,
                               placement_report& report, time_point now) const;
  placement_part ExplainPart(const exchange& pending, std::size_t index,
                             time_point now) const;

  // gateway_answers.cpp
  void Advance(std::uint64_t id, time_point now);
  void WaitForConfiguration(exchange& pending, time_point now);
  void BeginUnrouted(time_point now);
  duration TimeOutsideHost(const exchange& pending);
  void Begin(exchange& pending, time_point now);
  bool StartParts(exchange& pending, time_point now);
  bool Admit(exchange& pending, time_point now);
  bool YieldsToRank(const exchange& pending, time_point now) const;
  bool EnoughLeafs(const exchange& pending, time_point now) const;
  void FinishPlain(exchange& pending, time_point now);
  void FinishGather(exchange& pending, time_point now);
  void HandleAnswer(exchange& pending, std::size_t index, open_request& call,
                    leaf_answer& answer, time_point now);
  void HandleFailure(exchange& pending, std::size_t index, bool ran,
                     time_point now);
  static void DropNeedlessRecords(const exchange& pending, part& piece);
  static std::string DecidingService(const exchange& pending);
  static std::string MissingParts(const exchange& pending);
  void LogAbandoned(const exchange& pending, time_point now);
  void Answer(exchange& pending, client_answer answer, time_point now);
  void Refuse(exchange& pending, refusal_cause cause, duration retry_after,
              time_point now);
  void RefuseFailed(exchange& pending, refusal_cause cause, time_point now);
  void Schedule(exchange& pending, time_point at);

  gateway_settings settings_;
  std::unique_ptr<route_table> routes_;
  leaf_directory directory_;
  evacuation evacuations_;
  leaf_selector selector_;      ///< Reads directory_ and evacuations_.
  fleet_event fleet_;           ///< Latest size of the fleet.
  double slack_share_ = 0;      ///< Repeats of this host per window.
  std::size_t cold_leafs_ = 0;  ///< At the last check.
  bool registry_complete_ = false;
  bool startup_delayed_ = false;   ///< Requests do not wait for CanServe().
  bool stopping_ = false;          ///< New requests are refused.
  time_point finish_at_ = kNever;  ///< Open requests are answered by then.
  time_point started_{};           ///< Time of the first event.
  std::set<std::string, std::less<>> routed_services_;
  std::unordered_map<std::string, std::shared_ptr<service_state>> services_;
  std::unordered_map<std::string, std::shared_ptr<route_stats>> stats_;
  std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> exchanges_;
  std::unordered_map<std::uint64_t, open_request> calls_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  std::vector<std::uint64_t> unrouted_;  ///< Arrived before CanServe().
  std::uint64_t next_call_ = 1;
  time_point next_check_{};
  gateway_counters counters_;
  answer_stats answers_;
  retry_schedule retry_schedule_;
  loop_lag lag_;                    ///< How late requests are read.
  connection_warmup warmup_;        ///< Leafs to connect to in advance.
  performance_report report_;       ///< Figures for other hosts.
  effect_list* effects_ = nullptr;  ///< Set while Reduce() runs.

  // Reused between calls to avoid allocations.
  mutable std::vector<queue_estimate> queue_estimates_;
};

}  // namespace corianderrail::gateway
