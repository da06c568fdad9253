/** @file edge_metrics_test.cpp Text of the metrics. */

#include "edge/edge_metrics.h"

#include <catch2/catch.hpp>
#include <string>

namespace corianderrail::edge {

namespace {

/** Number of lines of a text that are exactly this one. */
int CountLine(const std::string& text, const std::string& line) {
  int count = 0;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = text.find('\n', begin);
    count += text.compare(begin, end - begin, line) == 0;
    begin = end + 1;
  }
  return count;
}

}  // namespace

// Guards against values that a dashboard can no longer find by their cause.
TEST_CASE("Metrics_ValuesByCause_HaveOneLineEach") {
  edge_metrics_snapshot snapshot;
  snapshot.core.sends[1][2] = 7;
  snapshot.store_calls = {3, 1, 2};
  snapshot.store_failures = {4, 0, 0, 0, 6};
  const auto stopping =
      static_cast<std::size_t>(gateway::refusal_cause::stopping);
  snapshot.core.refused[stopping] = 5;
  snapshot.exclusions = {9, 8, 6};
  snapshot.clients.answers = {90, {1, 2, 3, 4}};
  snapshot.leafs.requests = {91, {0, 0, 8, 0}};
  const std::string text = MetricsText(snapshot);
  const std::string prefix = "corianderrail_edge_";
  for (
      const char* line :
      {"leaf_sends_total{cause=\"hedge\",distance=\"other\"} 7",
       "store_calls_total{cause=\"listing\"} 3",
       "store_calls_total{cause=\"catch_up\"} 1",
       "store_calls_total{cause=\"watch\"} 2",
       "store_failures_total{cause=\"unreachable\"} 4",
       "store_failures_total{cause=\"too_large\"} 6",
       "leaf_candidates_total{cause=\"residency\"} 8",
       "leaf_candidates_total{cause=\"evacuation\"} 6",
       "refused_total{cause=\"stopping\"} 5", "held_bytes{held=\"answer\"} 90",
       "held_bytes{held=\"leaf_request\"} 91",
       "connections_ended_total{cause=\"total_bytes\",held=\"answer\"} 3",
       R"(connections_ended_total{cause="total_bytes",held="leaf_request"} 8)"}) {
    INFO(line);
    CHECK(CountLine(text, prefix + line) == 1);
  }
}

// Guards against hosts whose knowledge of the store cannot be compared.
TEST_CASE("Metrics_ItemsOfTheStore_ShowRevisionAndAge") {
  edge_metrics_snapshot snapshot;
  snapshot.store_revision = 41;
  snapshot.items_age = std::chrono::milliseconds(1500);
  const std::string text = MetricsText(snapshot);
  CHECK(CountLine(text, "corianderrail_edge_store_revision 41") == 1);
  CHECK(CountLine(text,
                  "corianderrail_edge_store_items_age_microseconds 1500000") ==
        1);
}

}  // namespace corianderrail::edge
