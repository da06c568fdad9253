/** @file edge_figures.cpp Exchange of figures about leafs with other hosts. */

#include <utility>

#include "edge/edge_state.h"
#include "edge/process_time.h"

namespace corianderrail::edge {

namespace {

/** Shortest interval between two reports of figures. */
constexpr std::chrono::seconds kReportPeriod{1};

}  // namespace

void edge_process::state::ReceiveFigures() {
  peers.OnFigures([this](host_id from, std::vector<leaf_figure> figures) {
    Reduce(gateway::leaf_figures_event{from, std::move(figures)});
  });
}

void edge_process::state::ReportFigures() {
  if (Now() < reported + kReportPeriod) return;
  reported = Now();
  Reduce(gateway::report_event{});
}

void edge_process::state::Execute(gateway::send_figures_effect& effect) {
  peers.SendFigures(effect.figures, receivers.Next(members, Now()));
}

}  // namespace corianderrail::edge
