/** @file direct_host.h Baseline with adaptive concurrency limits per leaf. */

#pragma once

#include <deque>
#include <queue>
#include <unordered_map>
#include <vector>

#include "baseline_host.h"

namespace corianderrail::bench {

/**
 * Every host sends to all leafs directly. It has a queue per rank and service,
 * a concurrency limit per leaf that follows the latency (additive increase,
 * multiplicative decrease), and hedges and retries within 5% of the parts.
 */
class direct_host : public baseline_host {
 public:
  using baseline_host::baseline_host;

  time_point NextWake() const override;

 protected:
  bool Admit(collection_id collection, rank urgency,
             duration deadline) override;
  void Begin(const baseline_part& part, time_point now,
             effect_list& effects) override;
  void OnReply(leaf_call_id call, const leaf_reply& reply, time_point now,
               effect_list& effects) override;
  void OnFailure(leaf_call_id call, time_point now,
                 effect_list& effects) override;
  void OnConnections(leaf_id leaf, std::uint32_t open, time_point now,
                     effect_list& effects) override;
  void OnTick(time_point now, effect_list& effects) override;

 private:
  struct leaf_state {
    double limit = 2;            ///< Concurrency limit.
    double latency_us = 0;       ///< Moving average; 0 before the first sample.
    std::uint32_t open = 0;      ///< Open connections.
    std::uint32_t used = 0;      ///< Requests without a reply.
    time_point last_decrease{};  ///< Limits decreases to one per interval.
  };
  struct service_state {
    per_rank<std::deque<baseline_part>> queues;
    double min_latency_us = 0;  ///< Slowly rising minimum of the latency.
    double hedge_us = 0;        ///< Estimated 95th percentile of latency.
    double tokens = 0;          ///< Unused budget for hedges and retries.
  };
  struct sent_part {
    baseline_part part;
    leaf_id leaf{};
    time_point sent{};
    bool hedged = false;  ///< Whether a hedge was sent.
  };
  using hedge_entry = std::pair<time_point, leaf_call_id>;

  void Dispatch(service_id service, time_point now, effect_list& effects);
  const leaf_info* Choose(service_id service, leaf_id except);
  void SendTo(baseline_part part, leaf_id leaf, time_point now,
              effect_list& effects);
  void Hedge(leaf_call_id call, time_point now, effect_list& effects);
  void UpdateEstimates(service_state& service, leaf_state& leaf,
                       double latency_us, time_point now);
  void Decrease(leaf_state& leaf, time_point now);
  void Retry(const sent_part& sent, time_point now, effect_list& effects);
  void CancelOtherCalls(const baseline_part& part, leaf_call_id except,
                        effect_list& effects);
  static std::uint64_t PartKey(const baseline_part& part);

  std::unordered_map<leaf_id, leaf_state> leafs_;
  std::unordered_map<service_id, service_state> services_;
  std::unordered_map<leaf_call_id, sent_part> sent_;
  std::unordered_map<std::uint64_t, std::vector<leaf_call_id>> calls_by_part_;
  std::priority_queue<hedge_entry, std::vector<hedge_entry>, std::greater<>>
      hedges_;
};

}  // namespace corianderrail::bench
