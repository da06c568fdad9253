/** @file edge_metrics.cpp Table of metrics and their text format. */

#include "edge/edge_metrics.h"

#include <array>
#include <chrono>
#include <string_view>

#include "contract/toml_reader.h"

namespace corianderrail::edge {

namespace {

using snapshot = edge_metrics_snapshot;

/** One metric without labels. */
struct metric_row {
  std::string_view name;
  std::string_view type;  ///< counter or gauge.
  std::string_view help;
  std::uint64_t (*value)(const snapshot&);
};

constexpr metric_row kMetrics[] = {
    {"requests_total", "counter", "Complete requests received from clients.",
     [](const snapshot& s) { return s.core.requests; }},
    {"forwarded_total", "counter", "Answers of one leaf forwarded to a client.",
     [](const snapshot& s) { return s.core.forwarded; }},
    {"gathered_total", "counter", "Answers gathered from several shards.",
     [](const snapshot& s) { return s.core.gathered; }},
    {"partial_total", "counter", "Gathered answers with missing parts.",
     [](const snapshot& s) { return s.core.partial; }},
    {"late_total", "counter", "Answers sent after the latency objective.",
     [](const snapshot& s) { return s.core.late; }},
    {"abandoned_total", "counter",
     "Requests whose client disconnected before the answer.",
     [](const snapshot& s) { return s.core.abandoned; }},
    {"leaf_requests_total", "counter", "Requests to leafs.",
     [](const snapshot& s) { return s.core.leaf_requests; }},
    {"hedges_total", "counter",
     "Hedges: requests sent again because a leaf was slow.",
     [](const snapshot& s) { return s.core.hedges; }},
    {"retries_total", "counter",
     "Retries: requests sent again because a leaf failed.",
     [](const snapshot& s) { return s.core.retries; }},
    {"repeats_denied_total", "counter",
     "Hedges and retries that the repeat budget denied.",
     [](const snapshot& s) { return s.core.repeats_denied; }},
    {"leaf_sheds_total", "counter",
     "Requests that a leaf shed without running them.",
     [](const snapshot& s) { return s.core.leaf_sheds; }},
    {"leaf_failures_total", "counter", "Requests to leafs that failed.",
     [](const snapshot& s) { return s.core.leaf_failures; }},
    {"queued_total", "counter", "Requests that waited for capacity at a leaf.",
     [](const snapshot& s) { return s.core.queued; }},
    {"refused_late_total", "counter",
     "Requests refused on arrival that could not be answered in time.",
     [](const snapshot& s) { return s.core.refused_late; }},
    {"refused_for_rank_total", "counter",
     "Requests refused on arrival for a more urgent rank.",
     [](const snapshot& s) { return s.core.refused_for_rank; }},
    {"returned_total", "counter", "Requests of clients that return.",
     [](const snapshot& s) { return s.core.returned; }},
    {"returned_refused_total", "counter",
     "Requests of returning clients that were refused on arrival.",
     [](const snapshot& s) { return s.core.returned_refused; }},
    {"late_parts_held_total", "counter",
     "Late parts that were kept from leafs with room.",
     [](const snapshot& s) { return s.core.late_parts_held; }},
    {"open_requests", "gauge", "Client requests that are not answered yet.",
     [](const snapshot& s) { return s.open_exchanges; }},
    {"open_leaf_requests", "gauge", "Requests to leafs in flight.",
     [](const snapshot& s) { return s.open_calls; }},
    {"leafs", "gauge", "Leafs in the registry.",
     [](const snapshot& s) { return s.known_leafs; }},
    {"cold_leafs", "gauge", "Leafs that are cold and get a limited rate.",
     [](const snapshot& s) { return s.cold_leafs; }},
    {"cold_leaf_requests_total", "counter", "Requests sent to cold leafs.",
     [](const snapshot& s) { return s.core.cold_requests; }},
    {"cold_permit_skips_total", "counter",
     "Choices that skipped a cold leaf for lack of a permit.",
     [](const snapshot& s) { return s.core.permit_skips; }},
    {"differing_leafs", "gauge",
     "Leafs that this host learned to be slower or faster than usual.",
     [](const snapshot& s) { return s.differing_leafs; }},
    {"leaf_figures_sent_total", "counter",
     "Figures about leafs for other hosts.",
     [](const snapshot& s) { return s.core.figures_sent; }},
    {"leaf_figures_received_total", "counter",
     "Figures about leafs from other hosts.",
     [](const snapshot& s) { return s.core.figures_received; }},
    {"leaf_figure_bytes_sent_total", "counter",
     "Bytes of datagrams with figures about leafs.",
     [](const snapshot& s) { return s.peers.figure_bytes_sent; }},
    {"shared_choices_total", "counter",
     "Requests to leafs whose prediction used figures of other hosts.",
     [](const snapshot& s) { return s.core.shared_choices; }},
    {"config_version", "gauge", "Version of the configuration in force.",
     [](const snapshot& s) { return s.version; }},
    {"evacuated_zones", "gauge", "Zones whose leafs get no requests.",
     [](const snapshot& s) { return s.evacuated_zones; }},
    {"withdrawn_total", "counter",
     "Requests to leafs that were withdrawn before they were sent.",
     [](const snapshot& s) { return s.core.withdrawn; }},
    {"arrived_outside_homes_total", "counter",
     "Requests that arrived at a host outside of their home regions.",
     [](const snapshot& s) { return s.core.arrived_outside_homes; }},
    {"client_connections", "gauge", "Open connections of clients.",
     [](const snapshot& s) { return s.clients.open; }},
    {"client_connections_rejected_total", "counter",
     "Client connections rejected at the connection limit.",
     [](const snapshot& s) { return s.clients.rejected; }},
    {"client_accept_failures_total", "counter",
     "Client connections that could not be accepted for lack of resources.",
     [](const snapshot& s) { return s.clients.accept_failures; }},
    {"client_malformed_total", "counter",
     "Client requests that violate HTTP or a size limit.",
     [](const snapshot& s) { return s.clients.malformed; }},
    {"leaf_connections", "gauge", "Open connections to leafs.",
     [](const snapshot& s) { return s.leafs.open; }},
    {"leaf_connections_opened_total", "counter", "Connections opened to leafs.",
     [](const snapshot& s) { return s.leafs.opened; }},
    {"leaf_connections_failed_total", "counter",
     "Connections to leafs that could not be opened.",
     [](const snapshot& s) { return s.leafs.failed; }},
    {"leaf_malformed_total", "counter",
     "Leaf answers that violate HTTP or name another attempt.",
     [](const snapshot& s) { return s.leafs.malformed; }},
    {"leaf_requests_delayed_total", "counter",
     "Requests that waited for the bytes in flight to their leaf.",
     [](const snapshot& s) { return s.leafs.delayed; }},
    {"members", "gauge", "Hosts known, this one included.",
     [](const snapshot& s) { return s.members; }},
    {"peer_bytes_sent_total", "counter",
     "Bytes of datagrams sent to other hosts.",
     [](const snapshot& s) { return s.peers.bytes_sent; }},
    {"peer_bytes_sent_to_other_regions_total", "counter",
     "Bytes of datagrams sent to hosts in other regions.",
     [](const snapshot& s) { return s.peers.bytes_sent_to_other_regions; }},
    {"peer_bytes_received_total", "counter",
     "Bytes of datagrams received from other hosts.",
     [](const snapshot& s) { return s.peers.bytes_received; }},
    {"relay_calls_total", "counter", "Reads of store items from other hosts.",
     [](const snapshot& s) { return s.relay_calls; }},
    {"handler_failures_total", "counter",
     "Unexpected errors that ended one event or exchange.",
     [](const snapshot& s) { return s.handler_failures; }},
    {"store_revision", "gauge",
     "Store revision up to which this host has read all changes.",
     [](const snapshot& s) { return s.store_revision; }},
    {"store_items_age_microseconds", "gauge",
     "Time since the store last confirmed the configuration and the leafs.",
     [](const snapshot& s) {
       return static_cast<std::uint64_t>(s.items_age.count());
     }},
    {"log_lines_dropped_total", "counter", "Log lines that were not written.",
     [](const snapshot& s) { return s.log_lines_dropped; }},
    {"ready", "gauge", "1 while this host accepts clients.",
     [](const snapshot& s) { return std::uint64_t{s.ready}; }},
};

constexpr std::string_view kPrefix = "corianderrail_edge_";

void AppendMetricHeader(std::string& text, std::string_view name,
                        std::string_view type, std::string_view help) {
  text.append("# HELP ").append(kPrefix).append(name).append(" ");
  text.append(help).append("\n# TYPE ").append(kPrefix).append(name);
  text.append(" ").append(type).append("\n");
}

constexpr std::array<std::string_view, gateway::kOutcomes> kOutcomeNames = {
    "whole", "partial", "refused"};

/** Appends a Prometheus histogram: cumulative buckets, in seconds. */
void AppendHistogram(std::string& text, std::string_view name,
                     const std::string& labels,
                     const gateway::latency_counts& counts) {
  const auto line = [&](std::string_view suffix, const std::string& all,
                        const std::string& value) {
    text.append(kPrefix).append(name).append(suffix);
    text.append("{").append(all).append("} ").append(value).append("\n");
  };
  std::uint64_t below = 0;
  for (std::size_t i = 0; i < gateway::kLatencyEdgesMs.size(); ++i) {
    below += counts.buckets[i];
    const double seconds =
        static_cast<double>(gateway::kLatencyEdgesMs[i]) / 1e3;
    line("_bucket", labels + ",le=\"" + FormatNumber(seconds) + "\"",
         std::to_string(below));
  }
  line("_bucket", labels + ",le=\"+Inf\"", std::to_string(counts.count));
  line("_sum", labels,
       FormatNumber(std::chrono::duration<double>(counts.sum).count()));
  line("_count", labels, std::to_string(counts.count));
}

/** Appends one value of a metric by cause. `labels` starts with a comma. */
void AppendCause(std::string& text, std::string_view name,
                 std::string_view cause, std::string_view labels,
                 std::uint64_t value) {
  text.append(kPrefix).append(name).append("{cause=\"").append(cause);
  text.append("\"").append(labels).append("} ");
  text.append(std::to_string(value)).append("\n");
}

constexpr std::array<std::string_view, gateway::kSendCauses> kSendCauseNames = {
    "first", "hedge", "retry"};
constexpr std::array<std::string_view, gateway::kLeafDistances>
    kLeafDistanceNames = {"zone", "region", "other"};

void AppendSends(std::string& text, const gateway::send_counts& sends) {
  constexpr std::string_view kName = "leaf_sends_total";
  AppendMetricHeader(text, kName, "counter",
                     "Requests to leafs, by cause and distance.");
  for (std::size_t i = 0; i < gateway::kSendCauses; ++i) {
    for (std::size_t j = 0; j < gateway::kLeafDistances; ++j) {
      const std::string distance(kLeafDistanceNames[j]);
      AppendCause(text, kName, kSendCauseNames[i],
                  ",distance=\"" + distance + "\"", sends[i][j]);
    }
  }
}

/** What is held for slow clients and leafs, and the connections that ended for
 *  it. */
void AppendHeld(std::string& text, const snapshot& from) {
  const std::array<held_counters, kHeldKinds> all = {
      from.clients.answers, from.clients.requests, from.leafs.requests,
      from.leafs.answers};
  constexpr std::string_view kBytes = "held_bytes";
  AppendMetricHeader(text, kBytes, "gauge",
                     "Bytes held for clients and leafs, by kind.");
  for (std::size_t i = 0; i < kHeldKinds; ++i) {
    const auto kind = HeldKindName(static_cast<held_kind>(i));
    text.append(kPrefix).append(kBytes).append("{held=\"").append(kind);
    text.append("\"} ").append(std::to_string(all[i].bytes)).append("\n");
  }
  constexpr std::string_view kEnded = "connections_ended_total";
  AppendMetricHeader(text, kEnded, "counter",
                     "Connections ended for what they held, by cause.");
  for (std::size_t i = 0; i < kHeldKinds; ++i) {
    const std::string held(HeldKindName(static_cast<held_kind>(i)));
    for (std::size_t j = 0; j < kEndCauses; ++j) {
      AppendCause(text, kEnded, EndCauseName(static_cast<end_cause>(j)),
                  ",held=\"" + held + "\"", all[i].ended[j]);
    }
  }
}

constexpr std::array<std::string_view, gateway::kStoreReadCauses>
    kStoreReadCauseNames = {"listing", "catch_up", "watch", "probe"};

void AppendStoreCalls(std::string& text,
                      const gateway::store_read_counts& calls) {
  constexpr std::string_view kName = "store_calls_total";
  AppendMetricHeader(text, kName, "counter",
                     "Reads from the metadata store, by cause.");
  for (std::size_t i = 0; i < gateway::kStoreReadCauses; ++i) {
    AppendCause(text, kName, kStoreReadCauseNames[i], "", calls[i]);
  }
}

constexpr std::array<std::string_view, gateway::kLeafExclusions>
    kExclusionNames = {"none", "residency", "evacuation"};

void AppendExclusions(std::string& text,
                      const gateway::exclusion_counts& exclusions) {
  constexpr std::string_view kName = "leaf_candidates_total";
  AppendMetricHeader(text, kName, "counter",
                     "Leafs considered for a part of a request, by what "
                     "excludes them.");
  for (std::size_t i = 0; i < gateway::kLeafExclusions; ++i) {
    AppendCause(text, kName, kExclusionNames[i], "", exclusions[i]);
  }
}

void AppendStoreFailures(std::string& text,
                         const gateway::store_failure_counts& failures) {
  constexpr std::string_view kName = "store_failures_total";
  AppendMetricHeader(text, kName, "counter",
                     "Failed reads of store items, from either source, by "
                     "cause.");
  for (std::size_t i = 0; i < gateway::kStoreFailures; ++i) {
    const auto cause = static_cast<gateway::store_failure>(i);
    AppendCause(text, kName, StoreFailureName(cause), "", failures[i]);
  }
}

void AppendAnswerLatencies(std::string& text,
                           const gateway::answer_stats& answers) {
  constexpr std::string_view kName = "answer_seconds";
  AppendMetricHeader(text, kName, "histogram",
                     "Time from a request to its answer, by rank and outcome.");
  for (std::size_t rank = 0; rank < gateway::kRankRows; ++rank) {
    for (std::size_t i = 0; i < gateway::kOutcomes; ++i) {
      const auto& counts =
          answers.Of(rank, static_cast<gateway::answer_outcome>(i));
      if (counts.count == 0) continue;
      AppendHistogram(text, kName,
                      "rank=\"" + std::to_string(rank) + "\",outcome=\"" +
                          std::string(kOutcomeNames[i]) + "\"",
                      counts);
    }
  }
}

}  // namespace

std::string MetricsText(const edge_metrics_snapshot& from) {
  std::string text;
  for (const metric_row& row : kMetrics) {
    AppendMetricHeader(text, row.name, row.type, row.help);
    text.append(kPrefix).append(row.name).append(" ");
    text.append(std::to_string(row.value(from))).append("\n");
  }
  AppendMetricHeader(text, "refused_total", "counter",
                     "Requests that this host answered itself, by cause.");
  for (std::size_t i = 1; i < gateway::kRefusalCauses; ++i) {
    const auto cause = static_cast<gateway::refusal_cause>(i);
    AppendCause(text, "refused_total", RefusalName(cause), "",
                from.core.refused[i]);
  }
  AppendSends(text, from.core.sends);
  AppendExclusions(text, from.exclusions);
  AppendHeld(text, from);
  AppendStoreCalls(text, from.store_calls);
  AppendStoreFailures(text, from.store_failures);
  AppendAnswerLatencies(text, from.answers);
  return text;
}

}  // namespace corianderrail::edge
