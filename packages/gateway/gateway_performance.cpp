/** @file gateway_performance.cpp Exchange of figures about leafs. */

#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

namespace corianderrail::gateway {

void gateway::On(leaf_figures_event& input, time_point now) {
  counters_.figures_received += input.figures.size();
  selector_.Shared().OnFigures(input.from, input.figures, now);
}

// Other hosts get no requests of clients and so have no answers to report.
void gateway::On(report_event&, time_point now) {
  if (!fleet_.is_entry) return;
  std::vector<performance_change> changes;
  std::vector<leaf_figure> figures = report_.Take(directory_, now, changes);
  for (const performance_change& change : changes) {
    const leaf_record& leaf = change.leaf->record;
    const leaf_performance& learned = change.leaf->monitor.Performance();
    effects_->push_back(
        log_effect{decision::leaf_speed,
                   leaf.instance,
                   {{"service", leaf.service},
                    {"zone", leaf.zone},
                    {"state", change.differs ? "differs" : "usual"},
                    {"slowness", std::to_string(change.level.slowness)},
                    {"concurrency", std::to_string(learned.Concurrency(now))},
                    {"answers", std::to_string(change.level.samples)}}});
  }
  if (figures.empty()) return;
  counters_.figures_sent += figures.size();
  effects_->push_back(send_figures_effect{std::move(figures)});
}

}  // namespace corianderrail::gateway
