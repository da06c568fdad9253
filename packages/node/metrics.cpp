/** @file metrics.cpp Metrics for Prometheus and the status document. */

#include "node/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>
#include <sstream>

#include "wire/json_value.h"

namespace corianderrail {

namespace {

namespace acc = boost::accumulators;

using latency_quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using latency_sum =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

constexpr std::array<std::string_view, 4> kPhases = {"starting", "ready",
                                                     "draining", "stopped"};
constexpr std::array<std::string_view, 4> kMemberStates = {"alive", "suspect",
                                                           "leaving", "gone"};

/** Writes metrics in the text exposition format, each with its type line. */
class exposition {
 public:
  void Counter(std::string_view name, std::uint64_t value) {
    Write(name, "counter", value);
  }
  void Gauge(std::string_view name, std::uint64_t value) {
    Write(name, "gauge", value);
  }
  void ByRank(std::string_view name, const per_rank<std::uint64_t>& values) {
    Type(name, "counter");
    for (const rank one : kAllRanks) {
      out_ << kPrefix << name << "{rank=\"" << RankName(one) << "\"} "
           << values[RankIndex(one)] << '\n';
    }
  }
  std::ostringstream& Out() { return out_; }
  void Type(std::string_view name, std::string_view type) {
    out_ << "# TYPE " << kPrefix << name << ' ' << type << '\n';
  }

  static constexpr std::string_view kPrefix = "corianderrail_";

 private:
  void Write(std::string_view name, std::string_view type,
             std::uint64_t value) {
    Type(name, type);
    out_ << kPrefix << name << ' ' << value << '\n';
  }

  std::ostringstream out_;
};

void WriteReducer(exposition& out, const host_view& view) {
  out.Gauge("ready", view.phase == host_phase::ready ? 1 : 0);
  out.Gauge("contract_revision", Raw(view.revision));
  out.Gauge("topology_version", view.topology);
  out.Gauge("members", view.members.size());
  out.Gauge("services_owned", view.owned.size());
  out.ByRank("admitted_total", view.admission.admitted);
  out.ByRank("rate_limited_total", view.admission.rate_limited);
  out.ByRank("overloaded_total", view.admission.overloaded);
  out.Counter("invalid_requests_total", view.admission.invalid);
  out.Counter("queries_complete_total", view.query.complete);
  out.Counter("queries_partial_total", view.query.partial);
  out.Counter("queries_incomplete_total", view.query.incomplete);
  out.Counter("queries_replanned_total", view.query.replanned);
  out.Counter("parts_resent_total", view.query.resent);
  out.Counter("results_stray_total", view.query.stray);
  out.Counter("orders_issued_total", view.order.issued);
  out.Counter("orders_ran_total", view.order.ran);
  out.Counter("orders_not_run_total", view.order.not_run);
  out.Counter("orders_unknown_total", view.order.unknown);
  out.Counter("orders_copies_total", view.order.copies);
  out.Counter("orders_forwarded_total", view.order.forwarded);
  out.Counter("leaf_requests_total", view.owner.leaf_requests);
  out.Counter("leaf_hedges_total", view.owner.hedges);
  out.Counter("leaf_retries_total", view.owner.retries);
  out.Counter("leaf_dropped_total", view.owner.dropped);
  out.Counter("leaf_cancelled_total", view.owner.cancelled);
  out.Counter("leaf_ejections_total", view.owner.ejections);
}

void WriteProcess(exposition& out, const metrics_snapshot& from) {
  out.Counter("events_total", from.loop.events);
  out.Counter("events_dropped_total", from.loop.dropped);
  out.Gauge("events_queued", from.loop.queued);
  out.Counter("peer_messages_sent_total", from.peers.sent);
  out.Counter("peer_messages_dropped_total", from.peers.dropped);
  out.Counter("peer_messages_received_total", from.peers.received);
  out.Counter("peer_bytes_sent_total", from.peers.bytes_sent);
  out.Counter("peer_bytes_received_total", from.peers.bytes_received);
  out.Counter("peer_messages_refused_total", from.peers_refused);
  out.Gauge("peer_sockets", from.peers.sockets);
  out.Gauge("leaf_connections", from.leafs.open);
  out.Counter("leaf_replies_malformed_total", from.leafs.malformed);
  out.Counter("leaf_timeouts_total", from.leafs.timeouts);
  out.Counter("platform_calls_total", from.platform_calls);
  out.Gauge("calls_waiting", from.calls_waiting);
  out.Counter("calls_turned_away_total", from.calls_refused);
}

}  // namespace

struct metrics::state {
  mutable std::mutex mutex;
  std::array<latency_quantile, kQuantiles.size()> quantiles = {
      latency_quantile(acc::quantile_probability = kQuantiles[0]),
      latency_quantile(acc::quantile_probability = kQuantiles[1]),
      latency_quantile(acc::quantile_probability = kQuantiles[2])};
  latency_sum sum;
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::OnAnswer(duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const std::lock_guard lock(state_->mutex);
  for (auto& quantile : state_->quantiles) quantile(seconds);
  state_->sum(seconds);
}

std::string metrics::Text(const metrics_snapshot& from) const {
  exposition out;
  WriteReducer(out, from.view);
  WriteProcess(out, from);
  constexpr std::string_view kName = "answer_seconds";
  out.Type(kName, "summary");
  const std::lock_guard lock(state_->mutex);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    out.Out() << exposition::kPrefix << kName << "{quantile=\"" << kQuantiles[i]
              << "\"} " << acc::p_square_quantile(state_->quantiles[i]) << '\n';
  }
  out.Out() << exposition::kPrefix << kName << "_sum " << acc::sum(state_->sum)
            << '\n'
            << exposition::kPrefix << kName << "_count "
            << acc::count(state_->sum) << '\n';
  return out.Out().str();
}

std::string_view PhaseName(host_phase phase) {
  return kPhases[static_cast<std::size_t>(phase)];
}

std::string_view MemberStateName(member_state state) {
  return kMemberStates[static_cast<std::size_t>(state)];
}

std::string StatusJson(const host_view& view) {
  json_writer out;
  out.Text("phase", PhaseName(view.phase))
      .Text("peer_address", view.self.peer_address)
      .Text("caller_address", view.self.caller_address)
      .Text("zone", view.self.zone)
      .Text("region", view.self.region)
      .Text("incarnation", std::to_string(Raw(view.self.ref.incarnation)))
      .Unsigned("revision", Raw(view.revision))
      .Text("digest", std::to_string(view.digest))
      .Unsigned("topology", view.topology)
      .Bool("reader", view.reader);
  out.List("members");
  for (const auto& member : view.members) {
    out.Object("")
        .Text("peer_address", member.peer_address)
        .Text("caller_address", member.caller_address)
        .Text("zone", member.zone)
        .Text("state", MemberStateName(member.state))
        .Bool("ready", member.ready)
        .Unsigned("revision", Raw(member.revision))
        .End();
  }
  out.End().List("owned");
  for (const auto service : view.owned) out.Unsigned("", Raw(service));
  out.End()
      .Object("orders")
      .Unsigned("issued", view.order.issued)
      .Unsigned("ran", view.order.ran)
      .Unsigned("not_run", view.order.not_run)
      .Unsigned("unknown", view.order.unknown)
      .Unsigned("copies", view.order.copies)
      .End();
  out.Object("queries")
      .Unsigned("complete", view.query.complete)
      .Unsigned("partial", view.query.partial)
      .Unsigned("incomplete", view.query.incomplete)
      .End();
  return out.Finish();
}

}  // namespace corianderrail
