/** @file naive_host.h Baseline that sends each part to a random replica. */

#pragma once

#include <deque>
#include <unordered_map>

#include "baseline_host.h"

namespace corianderrail::bench {

/**
 * Serves requests per leaf in the order of arrival and retries after errors. It
 * has no hedges, limits, ranks or cancellation.
 */
class naive_host : public baseline_host {
 public:
  using baseline_host::baseline_host;

 protected:
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
    std::uint32_t open = 0;
    std::uint32_t used = 0;
    std::deque<baseline_part> waiting;
  };
  struct sent_part {
    baseline_part part;
    leaf_id leaf{};
  };

  void SendWaiting(leaf_id leaf, time_point now, effect_list& effects);
  void Retry(const baseline_part& part, time_point now, effect_list& effects);
  sent_part RemoveSent(leaf_call_id call);

  std::unordered_map<leaf_id, leaf_state> leafs_;
  std::unordered_map<leaf_call_id, sent_part> sent_;
};

}  // namespace corianderrail::bench
