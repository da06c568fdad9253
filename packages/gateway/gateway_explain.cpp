/**
 * @file gateway_explain.cpp Explains a placement without sending anything.
 *
 * Uses the same candidates, choice and estimates as a request that arrives now,
 * on copies of what a request would change.
 */

#include <algorithm>
#include <limits>
#include <utility>

#include "gateway/admission/load_shedding.h"
#include "gateway/gateway.h"
#include "gateway/gateway_state.h"

namespace corianderrail::gateway {

namespace {

placement_route RouteOf(const route& matched, duration network) {
  placement_route result;
  result.name = matched.name;
  result.rank = matched.rank;
  result.idempotent = matched.kind == repeatability::idempotent;
  result.gathers = matched.Gathers();
  result.min_shard_ratio = matched.min_shard_ratio;
  result.objective = matched.objective;
  result.time_left =
      std::max(matched.objective - network, matched.objective / 2);
  result.timeout = matched.timeout;
  result.homes = matched.residency;
  return result;
}

/** Reports the leafs of a part, the chosen one first, then by cost. */
void AddLeafs(const std::vector<leaf_selector::explained_leaf>& all,
              const leaf_choice& choice, placement_part& into) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    const auto& [leaf, candidate, exclusion] = all[i];
    into.leafs.push_back(
        {leaf->record.instance, leaf->record.zone, candidate, exclusion,
         PredictLatency(candidate), PlacementCost(candidate),
         choice.outcome == choice_outcome::chosen && choice.index == i});
  }
  std::sort(into.leafs.begin(), into.leafs.end(),
            [](const placement_leaf& a, const placement_leaf& b) {
              if (a.chosen != b.chosen) return a.chosen;
              return a.cost < b.cost;
            });
  if (into.leafs.size() <= kMaxReportedLeafs) return;
  into.leafs_omitted = into.leafs.size() - kMaxReportedLeafs;
  into.leafs.resize(kMaxReportedLeafs);
}

}  // namespace

placement_report gateway::ExplainPlacement(const placement_request& request,
                                           time_point now) const {
  placement_report report;
  report.version = Version();
  report.evacuated_zones = evacuations_.Zones();
  if (stopping_ || !CanServe()) {
    report.refusal =
        stopping_ ? refusal_cause::stopping : refusal_cause::no_configuration;
    return report;
  }
  exchange pending;
  pending.arrived = now;
  // It would wait behind all requests of its rank.
  pending.arrival = std::numeric_limits<std::uint64_t>::max();
  pending.matched = routes_->Find(request.host, request.path);
  if (pending.matched == nullptr) {
    report.refusal = refusal_cause::no_route;
    return report;
  }
  pending.homes.Require(HomesOf(routes_->Shared(), *pending.matched));
  report.matched = RouteOf(*pending.matched, settings_.client_network_time);
  pending.objective_at = now + report.matched->time_left;
  pending.deadline = now + pending.matched->timeout;
  const auto stats = stats_.find(pending.matched->name);
  pending.stats =
      stats != stats_.end() ? stats->second : std::make_shared<route_stats>();
  AddExplainedParts(pending);
  report.refusal = ExplainRefusal(pending, report, now);
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    if (i == kMaxReportedParts) {
      report.parts_omitted = pending.parts.size() - i;
      break;
    }
    report.parts.push_back(ExplainPart(pending, i, now));
  }
  return report;
}

/** Fills in the parts as for a request, without a turn of the split. */
void gateway::AddExplainedParts(exchange& pending) const {
  const auto add = [&](const std::string& name) {
    const auto found = services_.find(name);
    part piece;
    piece.service = found != services_.end() ? found->second
                                             : std::make_shared<service_state>(
                                                   name, settings_.repeats);
    pending.parts.push_back(std::move(piece));
  };
  if (pending.matched->Gathers()) {
    for (const std::string& shard : pending.matched->shards) add(shard);
    return;
  }
  weighted_round_robin split = pending.stats->split;
  add(pending.matched->targets[split.Next(pending.matched->targets)].service);
}

/** Admission as in StartParts(). */
refusal_cause gateway::ExplainRefusal(const exchange& pending,
                                      placement_report& report,
                                      time_point now) const {
  if (!pending.Idempotent() && pending.deadline > finish_at_) {
    return refusal_cause::stopping;
  }
  const request_estimate estimate = EstimateWait(pending, now);
  report.expected_wait = estimate.wait;
  report.usual_latency = pending.stats->TailLatency(
      settings_.here.zone, settings_.here, pending.matched->objective, now);
  if (!EnoughLeafs(pending, now)) return refusal_cause::no_leaf;
  const bool in_time = IsWorthQueueing(estimate, report.usual_latency,
                                       pending.objective_at - now);
  const bool admitted = in_time && !YieldsToRank(pending, now);
  return admitted ? refusal_cause::none : refusal_cause::overloaded;
}

placement_part gateway::ExplainPart(const exchange& pending, std::size_t index,
                                    time_point now) const {
  const part& piece = pending.parts[index];
  const auto leafs = selector_.Explain(QueryFor(pending, piece), now);
  std::vector<leaf_candidate> candidates;
  candidates.reserve(leafs.size());
  for (const auto& leaf : leafs) candidates.push_back(leaf.candidate);
  const leaf_choice choice = ChooseLeaf(candidates, pending.objective_at - now);
  placement_part result;
  result.service = piece.service->name;
  result.outcome = choice.outcome;
  result.wait =
      piece.service->queue.Estimate(QueuePosition(pending, index), now).wait;
  AddLeafs(leafs, choice, result);
  return result;
}

}  // namespace corianderrail::gateway
