/** @file edge_handlers.cpp Request handlers of the four HTTP servers. */

#include <memory>
#include <string>
#include <utility>

#include "edge/edge_metrics.h"
#include "edge/edge_state.h"
#include "edge/placement_json.h"
#include "edge/process_time.h"
#include "gateway/http_status.h"
#include "platform/message_codec.h"
#include "platform/wire_names.h"

namespace corianderrail::edge {

namespace {

/** Clients read at most this many addresses of a lookup answer. */
constexpr std::size_t kMaxLookupAddresses = 64;

}  // namespace

http_handler edge_process::state::ClientHandler() {
  http_handler handler;
  handler.on_request = [this](request_id id, http_request&& request) {
    stop.last_request = Now();
    const bool done =
        guard.Call("request", [&] { OnClientRequest(id, std::move(request)); });
    if (!done) client_server.Reply(id, {gateway::kStatusBadGateway, {}, {}});
  };
  handler.on_disconnect = [this](request_id id) {
    Reduce(gateway::client_disconnected_event{
        gateway::exchange_id{static_cast<std::uint64_t>(id)}});
  };
  handler.on_end = [this](const connection_end& end) { OnConnectionEnd(end); };
  return handler;
}

void edge_process::state::OnClientRequest(request_id id,
                                          http_request&& request) {
  auto decoded = std::make_shared<gateway::client_request>(
      platform::DecodeRequest(std::move(request)));
  if (const auto connection = client_server.ConnectionOf(id)) {
    decoded->round_trip = connection->round_trip;
    decoded->new_connection = connection->is_new;
  }
  Reduce(gateway::request_event{
      gateway::exchange_id{static_cast<std::uint64_t>(id)},
      std::move(decoded)});
}

http_handler edge_process::state::ReadyHandler() {
  http_handler handler;
  handler.on_request = [this](request_id id, http_request&& request) {
    const std::string target(request.target());
    const bool known = target == platform::kReadyPath;
    const int status = !known  ? gateway::kStatusNotFound
                       : ready ? gateway::kStatusOk
                               : gateway::kStatusUnavailable;
    ready_server.Reply(id, {status, {}, {}});
  };
  handler.on_disconnect = [](request_id) {};
  return handler;
}

http_handler edge_process::state::LookupHandler() {
  http_handler handler;
  handler.on_request = [this](request_id id, http_request&& request) {
    const std::string target(request.target());
    if (!target.starts_with(platform::kLookupPath)) {
      lookup_server.Reply(id, {gateway::kStatusNotFound, {}, {}});
      return;
    }
    if (!gateway::AnswersLookups(peers.Joined(), Now() - started)) {
      lookup_server.Reply(id, {gateway::kStatusUnavailable, {}, {}});
      return;
    }
    const auto from = platform::DecodeLookupRequest(target);
    const auto addresses = gateway::ChooseEntries(
        members, {from.zone, from.region, core.HomeRegions(from.name)},
        kEntrySettings, kMaxLookupAddresses);
    if (addresses.empty()) {
      lookup_server.Reply(id, {gateway::kStatusUnavailable, {}, {}});
      return;
    }
    lookup_server.Reply(
        id, {gateway::kStatusOk,
             {{"Content-Type", "application/json"}},
             platform::EncodeLookupReply(
                 addresses, static_cast<int>(settings.lookup_ttl_s))});
  };
  handler.on_disconnect = [](request_id) {};
  return handler;
}

http_handler edge_process::state::MetricsHandler() {
  http_handler handler;
  handler.on_request = [this](request_id id, http_request&& request) {
    if (std::string(request.target()) == kPlacementPath) {
      http_reply reply{gateway::kStatusBadGateway, {}, {}};
      guard.Call("placement", [&] { reply = ExplainPlacement(request); });
      metrics_server.Reply(id, reply);
      return;
    }
    edge_metrics_snapshot from;
    from.core = core.Counters();
    from.answers = core.Answers();
    from.open_exchanges = core.OpenExchanges();
    from.open_calls = core.OpenCalls();
    from.known_leafs = core.Leafs();
    from.cold_leafs = core.ColdLeafs();
    from.differing_leafs = core.DifferingLeafs();
    from.version = static_cast<std::uint64_t>(core.Version());
    from.evacuated_zones = core.Evacuations().Size();
    from.exclusions = core.Exclusions();
    from.clients = client_server.Counters();
    from.leafs = leafs.Counters();
    from.peers = peers.Counters();
    from.members = members.size();
    from.relay_calls = store.RelayCalls();
    from.store_calls = store.StoreCalls();
    from.store_failures = store.Failures();
    from.handler_failures = guard.Failures();
    from.store_revision = store.Reader().CompleteRevision();
    from.items_age = store.Reader().Age(Now());
    from.log_lines_dropped = lines.Dropped() + log.Suppressed();
    from.ready = ready;
    metrics_server.Reply(id, {gateway::kStatusOk,
                              {{"Content-Type", "text/plain"}},
                              MetricsText(from)});
  };
  handler.on_disconnect = [](request_id) {};
  return handler;
}

}  // namespace corianderrail::edge
