/** @file edge_state.h Private state of edge_process. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "edge/decision_log.h"
#include "edge/edge_process.h"
#include "edge/handler_guard.h"
#include "edge/http_server.h"
#include "edge/leaf_pool.h"
#include "edge/line_writer.h"
#include "edge/peer_link.h"
#include "edge/process_time.h"
#include "edge/relay_server.h"
#include "edge/store_link.h"
#include "gateway/gateway.h"
#include "gateway/hosts/clock_gap.h"
#include "gateway/hosts/entry_choice.h"
#include "gateway/hosts/fleet_view.h"
#include "gateway/hosts/load_signal.h"
#include "gateway/hosts/stop_timing.h"
#include "gateway/leafs/performance_report.h"
#include "gateway/store/lag_detector.h"

namespace corianderrail::edge {

namespace asio = boost::asio;

/** Interval of the periodic checks: connection time limits, clock gaps, lag
 *  behind peers, processor load and the end of a planned stop. */
inline constexpr std::chrono::milliseconds kSweepPeriod{200};

inline constexpr gateway::entry_settings kEntrySettings;

/** Sockets, timers and reducers of one edge process. */
struct edge_process::state {
  state(edge_settings given, std::string given_path);

  void Reduce(gateway::event event);
  void Execute(gateway::send_leaf_effect& effect) {
    leafs.Send(std::move(effect));
  }
  void Execute(gateway::cancel_leaf_effect& effect) {
    leafs.Cancel(effect.call);
  }
  void Execute(gateway::connect_leaf_effect& effect) { leafs.Connect(effect); }
  void Execute(gateway::disconnect_leaf_effect& effect) {
    leafs.Disconnect(effect.leaf);
  }
  void Execute(gateway::stop_sending_effect& effect) {
    leafs.StopSending(effect.leaf, effect.send_before);
  }
  void Execute(gateway::withdraw_call_effect& effect) {
    leafs.Withdraw(effect.call);
  }
  void Execute(gateway::answer_effect& effect);
  void Execute(gateway::send_figures_effect& effect);
  void Execute(gateway::log_effect& effect) { log.Write(effect, Now()); }

  http_handler ClientHandler();
  void OnClientRequest(request_id id, http_request&& request);
  http_handler ReadyHandler();
  http_handler LookupHandler();
  http_handler MetricsHandler();
  http_reply ExplainPlacement(const http_request& request);
  store_link_settings StoreLinkSettings();
  void StartMemoryBounds();
  void SetMemoryBounds();
  void OnConnectionEnd(const connection_end& end);
  void OnSource(const source_change& change);
  void OnStoreUpdate(const gateway::store_update& update);
  void OnConfig(const gateway::store_item& item);
  void OnLeafs(const gateway::store_update& update);
  void OnEvacuations(const gateway::store_update& update);
  void StartStoreLink();
  void OnMembers();
  void OnMembersChanged();
  void CheckReady();
  void EndStartupPeriod();
  void WaitForSignal();
  void OnSignal(int number);
  void WatchSettings();
  void ReloadSettings();
  void ApplySettings(const edge_settings& fresh);
  void Sweep();
  void ReceiveFigures();
  void ReportFigures();
  void ScheduleWake();
  void CheckRevisionLag();
  void CheckClock();
  gateway::stop_settings StopSettings() const;
  void ContinueStop();

  edge_settings settings;
  std::string path;           ///< Settings file.
  std::string settings_text;  ///< Content of the file at the last read.
  asio::io_context io{1};
  line_writer lines;
  decision_log log;
  handler_guard guard;
  gateway::gateway core;
  leaf_pool leafs;
  http_server client_server;
  http_server ready_server;
  http_server lookup_server;
  http_server metrics_server;
  peer_link peers;
  relay_server relay;
  store_link store;
  asio::signal_set signals;
  asio::steady_timer wake_timer;
  asio::steady_timer sweep_timer;
  asio::steady_timer start_timer;
  asio::steady_timer settings_timer;
  asio::steady_timer members_timer;
  asio::steady_timer stop_timer;
  bool store_link_started = false;
  time_point wake_at = kNever;  ///< Expiry of wake_timer; kNever if unset.
  bool reducing = false;        ///< Reduce() is on the call stack.
  std::vector<gateway::event> posted;  ///< Events not reduced yet.
  std::vector<member_record> members;
  time_point members_applied{};  ///< Last call of OnMembers().
  bool members_pending = false;  ///< members_timer runs.
  gateway::fleet_view fleet;
  gateway::load_signal load;
  gateway::figure_receivers receivers;  ///< Of figures about leafs.
  time_point reported{};                ///< Last report of figures.
  gateway::lag_detector revision_lag;
  gateway::clock_gap gap{kSweepPeriod};
  time_point started = Now();
  time_point placement_explained{};  ///< When one was explained last.
  bool starting = true;              ///< In the startup period.
  bool ready = false;                ///< Result of the readiness check.
  bool stopping = false;
  gateway::stop_step step = gateway::stop_step::serve;  ///< While stopping.
  gateway::stop_progress stop;
};

}  // namespace corianderrail::edge
