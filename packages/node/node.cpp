/** @file node.cpp One host process: the reducer with its sockets. */

#include "node/node.h"

#include <atomic>
#include <chrono>
#include <concepts>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "contract/contract_validate.h"
#include "contract/topology_parser.h"
#include "core/host_address.h"
#include "node/audit_log.h"
#include "node/call_table.h"
#include "node/caller_server.h"
#include "node/event_loop.h"
#include "node/leaf_client.h"
#include "node/logging.h"
#include "node/metrics.h"
#include "node/platform_client.h"
#include "wire/incarnation.h"
#include "wire/peer_codec.h"
#include "wire/peer_transport.h"

namespace corianderrail {

namespace {

host_settings MakeHostSettings(const node_settings& from) {
  host_settings host = from.host;
  host.self.ref = {HostIdOf(from.peer_address), MakeIncarnation()};
  host.self.peer_address = from.peer_address;
  host.self.caller_address = from.caller_address;
  host.self.zone = from.zone;
  host.self.region = from.region;
  host.self.capacity = from.capacity;
  host.seed =
      (std::uint64_t{std::random_device{}()} << 32) ^ std::random_device{}();
  host.started = event_loop::Now();
  host.contracts = ValidateContracts;
  host.topologies = ParseTopology;
  host.heads = ValidateHead;
  return host;
}

}  // namespace

struct node::state {
  explicit state(node_settings given);

  caller_backend MakeBackend();
  void OnPeerBytes(std::string_view bytes);
  std::string MetricsText();

  /** Completes the call of an effect that answers a caller. */
  template <typename Answer>
  requires std::constructible_from<call_outcome, Answer>
  void Apply(Answer& effect, const host_reducer&) {
    const call_id call = effect.call;
    calls.Finish(call, std::move(effect));
  }
  void Apply(send_peer_effect& effect, const host_reducer& reducer);
  void Apply(send_leaf_effect& effect, const host_reducer&) {
    leafs.Send(std::move(effect));
  }
  void Apply(cancel_leaf_effect& effect, const host_reducer&) {
    leafs.Cancel(effect);
  }
  void Apply(set_connections_effect& effect, const host_reducer&) {
    leafs.SetConnections(std::move(effect));
  }
  void Apply(read_config_effect& effect, const host_reducer&) {
    platform.Read(effect);
  }
  void Apply(read_host_list_effect&, const host_reducer&) {
    platform.ReadHostList();
  }
  void Apply(audit_effect& effect, const host_reducer&) {
    audit.Append(effect.entry);
  }
  void Apply(log_effect& effect, const host_reducer&) { LogInfo(effect.text); }
  void Apply(stopped_effect&, const host_reducer&) { stopped = true; }

  node_settings settings;
  host_settings host;
  call_table calls;
  audit_log audit;
  metrics answer_metrics;
  std::atomic<bool> stopped{false};
  std::atomic<std::uint64_t> refused_messages{0};
  event_loop loop;
  peer_transport peers;
  leaf_client leafs;
  platform_client platform;
  caller_server server;
  std::chrono::steady_clock::time_point idle_checked_at{};
};

node::state::state(node_settings given)
    : settings(std::move(given)),
      host(MakeHostSettings(settings)),
      calls(settings.caller_threads),
      loop(host,
           [this](effect& effect, const host_reducer& reducer) {
             std::visit([&](auto& content) { Apply(content, reducer); },
                        effect);
           }),
      peers({settings.peer_address},
            [this](std::string_view bytes) { OnPeerBytes(bytes); }),
      leafs(host.self.ref.incarnation,
            [this](event event) { loop.Post(std::move(event)); }),
      platform(settings.platform_address,
               [this](event event) { loop.Post(std::move(event)); }),
      server(settings.caller_address, settings.caller_threads, MakeBackend()) {}

void node::state::OnPeerBytes(std::string_view bytes) {
  try {
    loop.Post(peer_event{DecodePeerMessage(bytes, settings.shared_key)});
  } catch (const wire_error& error) {
    // Only the first refused message is logged; the counter covers the others.
    if (refused_messages.fetch_add(1) == 0) LogWarning(error.what());
  }
}

void node::state::Apply(send_peer_effect& effect, const host_reducer& reducer) {
  try {
    peers.Send(effect.address, EncodePeerMessage(reducer.Envelope(effect),
                                                 settings.shared_key));
  } catch (const wire_error& error) {
    LogError(error.what());
  }
  const auto now = std::chrono::steady_clock::now();
  if (now - idle_checked_at < std::chrono::seconds(10)) return;
  idle_checked_at = now;
  peers.CloseIdle(now);
}

std::string node::state::MetricsText() {
  metrics_snapshot from;
  from.view = loop.View();
  from.loop = loop.Counters();
  from.peers = peers.Counters();
  from.peers_refused = refused_messages;
  from.leafs = leafs.Counters();
  from.platform_calls = platform.Calls();
  from.calls_waiting = calls.Waiting();
  from.calls_refused = server.RefusedCalls();
  return answer_metrics.Text(from);
}

caller_backend node::state::MakeBackend() {
  caller_backend backend;
  backend.post = [this](event event) { loop.Post(std::move(event)); };
  backend.phase = [this] { return loop.Phase(); };
  backend.status_json = [this] { return StatusJson(loop.View()); };
  backend.audit_json = [this] { return audit.Json(); };
  backend.metrics_text = [this] { return MetricsText(); };
  backend.on_answer = [this](duration elapsed) {
    answer_metrics.OnAnswer(elapsed);
  };
  backend.calls = &calls;
  return backend;
}

node::node(node_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {
  LogInfo("listening for hosts on " + state_->settings.peer_address +
          " and for callers on " + state_->settings.caller_address);
  state_->loop.Start();
  state_->server.Start();
}

node::~node() { state_->loop.Stop(); }

void node::RequestStop() { state_->loop.Post(stop_event{}); }

bool node::Stopped() const {
  return state_->stopped && state_->calls.Waiting() == 0;
}

}  // namespace corianderrail
