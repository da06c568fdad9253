/** @file direct_host.cpp Baseline with adaptive concurrency limits per leaf. */

#include "direct_host.h"

#include <algorithm>
#include <utility>

namespace corianderrail::bench {

namespace {

constexpr double kRepeatBudget = 0.05;   ///< Hedges and retries per part.
constexpr double kMaxRepeatTokens = 10;  ///< Maximum number of unused tokens.
constexpr double kQuantile = 0.95;  ///< Latency quantile after which to hedge.
constexpr double kLatencyWeight = 0.1;  ///< Weight of a new sample.
constexpr double kTolerance = 1.5;  ///< Accepted ratio to the minimum latency.
constexpr double kMinLatencyGrowth = 1.0005;  ///< Lets old minima expire.
constexpr double kDecrease = 0.9;  ///< Factor by which a limit is reduced.
constexpr duration kDecreaseInterval = std::chrono::milliseconds(20);
/** Share of the deadline; a query with a longer expected wait is refused. */
constexpr double kMaxWaitShare = 0.5;
constexpr std::uint32_t kAttempts = 3;
/** Time until a part that needs a retry is dispatched again. */
constexpr duration kRecheckDelay = std::chrono::milliseconds(5);

}  // namespace

std::uint64_t direct_host::PartKey(const baseline_part& part) {
  return part.query * (1 << 13) + part.index;
}

time_point direct_host::NextWake() const {
  time_point next = baseline_host::NextWake();
  if (!hedges_.empty()) next = std::min(next, hedges_.top().first);
  return next;
}

bool direct_host::Admit(collection_id collection, rank urgency,
                        duration deadline) {
  const auto map = Topology();
  for (const partition& part :
       map->collections[Raw(collection)].maps.back().partitions) {
    const service_state& service = services_[part.service];
    std::size_t ahead = 0;
    for (std::size_t r = 0; r <= RankIndex(urgency); ++r) {
      ahead += service.queues[r].size();
    }
    if (ahead == 0) continue;
    double limit = 0;
    double latency = 0;
    for (const leaf_id id : part.replicas) {
      limit += leafs_[id].limit;
      latency = std::max(latency, leafs_[id].latency_us);
    }
    const double wait = static_cast<double>(ahead) * latency / limit;
    if (wait > kMaxWaitShare * static_cast<double>(deadline.count()))
      return false;
  }
  return true;
}

void direct_host::Begin(const baseline_part& part, time_point now,
                        effect_list& effects) {
  service_state& service = services_[part.service];
  service.tokens = std::min(kMaxRepeatTokens, service.tokens + kRepeatBudget);
  service.queues[RankIndex(part.urgency)].push_back(part);
  Dispatch(part.service, now, effects);
}

const leaf_info* direct_host::Choose(service_id service, leaf_id except) {
  const leaf_info* best = nullptr;
  double best_load = 1;
  const auto& replicas = Service(service).leafs;
  const std::size_t first = random_.Below(replicas.size());
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const leaf_info& leaf = replicas[(first + i) % replicas.size()];
    const leaf_state& state = leafs_[leaf.id];
    if (leaf.id == except || state.used >= state.open) continue;
    const double load = state.used / std::max(1.0, state.limit);
    if (load >= best_load) continue;
    best_load = load;
    best = &leaf;
  }
  return best;
}

void direct_host::Dispatch(service_id id, time_point now,
                           effect_list& effects) {
  for (std::deque<baseline_part>& queue : services_[id].queues) {
    while (!queue.empty()) {
      if (!IsPartOpen(queue.front())) {
        queue.pop_front();
        continue;
      }
      const leaf_info* leaf = Choose(id, leaf_id{});
      if (leaf == nullptr) return;
      const baseline_part part = queue.front();
      queue.pop_front();
      SendTo(part, leaf->id, now, effects);
    }
  }
}

void direct_host::SendTo(baseline_part part, leaf_id leaf, time_point now,
                         effect_list& effects) {
  ++part.attempts;
  ++leafs_[leaf].used;
  const leaf_call_id call = SendPart(part, leaf, now, effects);
  sent_[call] = {part, leaf, now};
  calls_by_part_[PartKey(part)].push_back(call);
  const service_state& service = services_[part.service];
  if (part.attempts == 1 && service.hedge_us > 0) {
    const auto wait = static_cast<duration::rep>(service.hedge_us);
    hedges_.emplace(now + duration(wait), call);
  }
}

void direct_host::Hedge(leaf_call_id call, time_point now,
                        effect_list& effects) {
  const auto found = sent_.find(call);
  if (found == sent_.end() || !IsPartOpen(found->second.part)) return;
  service_state& service = services_[found->second.part.service];
  if (service.tokens < 1) return;
  const leaf_info* leaf =
      Choose(found->second.part.service, found->second.leaf);
  if (leaf == nullptr) return;
  service.tokens -= 1;
  found->second.hedged = true;
  SendTo(found->second.part, leaf->id, now, effects);
}

void direct_host::OnTick(time_point now, effect_list& effects) {
  while (!hedges_.empty() && hedges_.top().first <= now) {
    const leaf_call_id call = hedges_.top().second;
    hedges_.pop();
    // Call 0 stands for retries that wait for dispatch, see Retry().
    if (Raw(call) == 0) {
      for (auto& [id, service] : services_) Dispatch(id, now, effects);
      continue;
    }
    Hedge(call, now, effects);
  }
}

void direct_host::Decrease(leaf_state& leaf, time_point now) {
  if (now - leaf.last_decrease < kDecreaseInterval) return;
  leaf.last_decrease = now;
  leaf.limit = std::max(1.0, leaf.limit * kDecrease);
}

void direct_host::UpdateEstimates(service_state& service, leaf_state& leaf,
                                  double latency_us, time_point now) {
  leaf.latency_us =
      leaf.latency_us == 0
          ? latency_us
          : leaf.latency_us + kLatencyWeight * (latency_us - leaf.latency_us);
  service.min_latency_us =
      service.min_latency_us == 0
          ? leaf.latency_us
          : std::min(service.min_latency_us * kMinLatencyGrowth,
                     leaf.latency_us);
  // Stochastic approximation of the latency quantile.
  if (service.hedge_us == 0) service.hedge_us = 2 * latency_us;
  const double step = 0.05 * service.hedge_us;
  service.hedge_us +=
      latency_us > service.hedge_us ? step * kQuantile : step * (kQuantile - 1);
  if (leaf.latency_us > kTolerance * service.min_latency_us) {
    Decrease(leaf, now);
  } else if (leaf.used + 1 >= leaf.limit) {
    leaf.limit += 1 / leaf.limit;
  }
}

void direct_host::CancelOtherCalls(const baseline_part& part,
                                   leaf_call_id except, effect_list& effects) {
  const auto found = calls_by_part_.find(PartKey(part));
  if (found == calls_by_part_.end()) return;
  for (const leaf_call_id call : found->second) {
    const auto sent = sent_.find(call);
    if (call == except || sent == sent_.end()) continue;
    effects.push_back(cancel_leaf_effect{call, sent->second.leaf});
  }
  calls_by_part_.erase(found);
}

void direct_host::Retry(const sent_part& sent, time_point now,
                        effect_list& effects) {
  if (!IsPartOpen(sent.part) || sent.hedged) return;
  service_state& service = services_[sent.part.service];
  if (sent.part.attempts >= kAttempts || service.tokens < 1) {
    PartFailed(sent.part, now, effects);
    return;
  }
  service.tokens -= 1;
  service.queues[RankIndex(sent.part.urgency)].push_front(sent.part);
  hedges_.emplace(now + kRecheckDelay, leaf_call_id{});
}

void direct_host::OnReply(leaf_call_id call, const leaf_reply& reply,
                          time_point now, effect_list& effects) {
  const auto found = sent_.find(call);
  const sent_part sent = found->second;
  sent_.erase(found);
  leaf_state& leaf = leafs_[sent.leaf];
  --leaf.used;
  if (reply.status == leaf_status::ok) {
    UpdateEstimates(services_[sent.part.service], leaf,
                    static_cast<double>((now - sent.sent).count()), now);
    CancelOtherCalls(sent.part, call, effects);
    PartDone(sent.part, reply.payload, now, effects);
  } else {
    if (reply.status == leaf_status::not_run) Decrease(leaf, now);
    Retry(sent, now, effects);
  }
  Dispatch(sent.part.service, now, effects);
}

void direct_host::OnFailure(leaf_call_id call, time_point now,
                            effect_list& effects) {
  const auto found = sent_.find(call);
  const sent_part sent = found->second;
  sent_.erase(found);
  leaf_state& leaf = leafs_[sent.leaf];
  --leaf.used;
  Decrease(leaf, now);
  Retry(sent, now, effects);
  Dispatch(sent.part.service, now, effects);
}

void direct_host::OnConnections(leaf_id leaf, std::uint32_t open,
                                time_point now, effect_list& effects) {
  leafs_[leaf].open = open;
  for (auto& [id, service] : services_) Dispatch(id, now, effects);
}

}  // namespace corianderrail::bench
