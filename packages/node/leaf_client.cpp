/** @file leaf_client.cpp Connection pools to leafs. */

#include "node/leaf_client.h"

#include "node/leaf_connection.h"

#include <cxxtools/event.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "node/event_loop.h"
#include "wire/leaf_codec.h"

namespace corianderrail {

namespace {

/** Period of the check for passed deadlines and closed connections. */
constexpr std::uint64_t kSweepPeriodMs = 10;

/** Time limit for opening a connection and for a cancellation. */
constexpr duration kOpenTimeout = std::chrono::seconds(2);
/** Bounds of the exponential delay before reconnecting after a failure. */
constexpr duration kMinReconnectDelay = std::chrono::milliseconds(100);
constexpr duration kMaxReconnectDelay = std::chrono::seconds(2);

/** Added to the remaining time of a request, so that the reply with which a
 *  leaf reports a passed deadline still arrives. */
constexpr duration kReplyMargin = std::chrono::milliseconds(100);

/** Largest number of cancellations queued for one leaf. When the queue is full,
 *  the oldest cancellation is dropped: the leaf then does unneeded work, but
 *  results stay correct. */
constexpr std::size_t kMaxPendingCancels = 64;

using command =
    std::variant<set_connections_effect, send_leaf_effect, cancel_leaf_effect>;

/** Passes a command to the thread of the client. */
class command_event : public cxxtools::BasicEvent<command_event> {
 public:
  explicit command_event(command given) : content(std::move(given)) {}
  command content;  ///< Effect to execute.
};

/** Connections to one leaf. */
struct leaf_pool {
  leaf_id leaf{};              ///< Identifies the leaf in events.
  ip_endpoint address;         ///< Where the leaf listens.
  std::uint32_t target = 0;    ///< Connections that the reducer asked for.
  std::uint32_t reported = 0;  ///< Usable connections in the last report.
  std::vector<std::unique_ptr<leaf_connection>> connections;  ///< For requests.
  std::unique_ptr<leaf_connection> control;  ///< For cancellations.
  std::deque<std::string> pending_cancels;   ///< Identifiers of requests.
};

}  // namespace

struct leaf_client::state : cxxtools::Connectable {
  state(incarnation_id given_owner, sink given_sink);

  void Run();
  void OnEvent(const cxxtools::Event& event);
  void OnSweep();
  void Apply(set_connections_effect& effect);
  void Apply(send_leaf_effect& effect);
  void Apply(cancel_leaf_effect& effect);
  void OnFinished(leaf_pool& pool, leaf_connection& connection,
                  leaf_connection::outcome result);
  void Maintain(leaf_pool& pool, time_point now);
  void Resize(leaf_pool& pool);
  void SendCancels(leaf_pool& pool, time_point now);
  void ReportConnections(leaf_pool& pool);
  std::unique_ptr<leaf_connection> MakeConnection(leaf_pool& pool);

  incarnation_id owner;
  sink deliver;
  cxxtools::EventLoop loop;
  cxxtools::Timer sweep;
  std::map<leaf_id, std::unique_ptr<leaf_pool>> pools;
  std::atomic<std::uint64_t> open{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> timeouts{0};
  std::thread thread;
};

leaf_client::state::state(incarnation_id given_owner, sink given_sink)
    : owner(given_owner), deliver(std::move(given_sink)), sweep(&loop) {
  cxxtools::connect(loop.event, *this, &state::OnEvent);
  cxxtools::connect(sweep.timeout, *this, &state::OnSweep);
}

void leaf_client::state::Run() {
  sweep.start(cxxtools::Milliseconds(static_cast<double>(kSweepPeriodMs)));
  loop.run();
  pools.clear();
}

void leaf_client::state::OnEvent(const cxxtools::Event& event) {
  const auto* received = dynamic_cast<const command_event*>(&event);
  if (received == nullptr) return;
  auto content = received->content;
  std::visit([this](auto& effect) { Apply(effect); }, content);
}

std::unique_ptr<leaf_connection> leaf_client::state::MakeConnection(
    leaf_pool& pool) {
  return std::make_unique<leaf_connection>(
      loop, pool.address,
      [this, &pool](leaf_connection& connection,
                    leaf_connection::outcome result) {
        OnFinished(pool, connection, std::move(result));
      });
}

void leaf_client::state::Apply(set_connections_effect& effect) {
  auto& pool = pools[effect.leaf];
  if (!pool) {
    pool = std::make_unique<leaf_pool>();
    pool->leaf = effect.leaf;
    try {
      pool->address = ParseIpEndpoint(effect.address);
    } catch (const wire_error&) {
      pools.erase(effect.leaf);
      return;
    }
  }
  pool->target = effect.target;
  Maintain(*pool, event_loop::Now());
}

void leaf_client::state::Apply(send_leaf_effect& effect) {
  const auto now = event_loop::Now();
  const auto found = pools.find(effect.leaf);
  if (found != pools.end()) {
    for (auto& connection : found->second->connections) {
      if (connection->Phase() != leaf_connection::phase::idle) continue;
      const duration remaining =
          std::max(effect.request.remaining, duration::zero());
      leaf_exchange exchange{effect.call, std::move(effect.request),
                             LeafRequestId(owner, effect.call)};
      connection->Send(std::move(exchange), now + remaining + kReplyMargin);
      return;
    }
  }
  deliver(leaf_failure_event{effect.call, leaf_failure::not_sent});
}

void leaf_client::state::Apply(cancel_leaf_effect& effect) {
  const auto found = pools.find(effect.leaf);
  if (found == pools.end()) return;
  auto& pool = *found->second;
  if (pool.pending_cancels.size() >= kMaxPendingCancels)
    pool.pending_cancels.pop_front();
  pool.pending_cancels.push_back(LeafRequestId(owner, effect.call));
  SendCancels(pool, event_loop::Now());
}

void leaf_client::state::SendCancels(leaf_pool& pool, time_point now) {
  if (pool.pending_cancels.empty()) return;
  if (!pool.control) pool.control = MakeConnection(pool);
  auto& control = *pool.control;
  if (control.Phase() == leaf_connection::phase::closed) {
    if (now >= control.reconnect_at) control.Open(now + kOpenTimeout);
    return;
  }
  if (control.Phase() != leaf_connection::phase::idle) return;
  const std::string id = std::move(pool.pending_cancels.front());
  pool.pending_cancels.pop_front();
  control.SendCancel(id, now + kOpenTimeout);
}

void leaf_client::state::OnFinished(leaf_pool& pool,
                                    leaf_connection& connection,
                                    leaf_connection::outcome result) {
  const auto now = event_loop::Now();
  if (connection.Phase() == leaf_connection::phase::closed) {
    // A connection that closed after a complete reply is opened again without
    // delay; after a failure the delay doubles.
    connection.reconnect_delay =
        result.reply ? duration::zero()
                     : std::clamp(2 * connection.reconnect_delay,
                                  kMinReconnectDelay, kMaxReconnectDelay);
    connection.reconnect_at = now + connection.reconnect_delay;
  } else {
    connection.reconnect_delay = duration::zero();
  }
  if (result.exchange) {
    const auto call = result.exchange->call;
    if (result.reply) {
      deliver(leaf_reply_event{call, std::move(*result.reply)});
    } else {
      if (result.failure == leaf_failure::malformed) ++malformed;
      if (result.failure == leaf_failure::timeout) ++timeouts;
      deliver(leaf_failure_event{call, result.failure});
    }
  }
  ReportConnections(pool);
}

void leaf_client::state::ReportConnections(leaf_pool& pool) {
  const auto usable = static_cast<std::uint32_t>(std::count_if(
      pool.connections.begin(), pool.connections.end(),
      [](const auto& connection) {
        return connection->Phase() == leaf_connection::phase::idle ||
               connection->Phase() == leaf_connection::phase::busy;
      }));
  if (usable == pool.reported) return;
  open += usable;
  open -= pool.reported;
  pool.reported = usable;
  deliver(leaf_connections_event{pool.leaf, usable});
}

/** Adds or removes connections until `target` is reached; a connection with a
 *  request in flight is not removed. */
void leaf_client::state::Resize(leaf_pool& pool) {
  auto& connections = pool.connections;
  while (connections.size() < pool.target)
    connections.push_back(MakeConnection(pool));
  while (connections.size() > pool.target) {
    const auto unused = std::find_if(
        connections.rbegin(), connections.rend(), [](const auto& connection) {
          return connection->Phase() != leaf_connection::phase::busy;
        });
    if (unused == connections.rend()) return;
    connections.erase(std::next(unused).base());
  }
}

void leaf_client::state::Maintain(leaf_pool& pool, time_point now) {
  Resize(pool);
  for (auto& connection : pool.connections) {
    if (connection->Deadline() <= now) {
      connection->Abort(connection->Phase() == leaf_connection::phase::opening
                            ? leaf_failure::not_sent
                            : leaf_failure::timeout);
    }
    if (connection->Phase() == leaf_connection::phase::closed &&
        now >= connection->reconnect_at) {
      connection->Open(now + kOpenTimeout);
    }
  }
  if (pool.control && pool.control->Deadline() <= now) {
    pool.control->Abort(leaf_failure::timeout);
  }
  SendCancels(pool, now);
  ReportConnections(pool);
}

void leaf_client::state::OnSweep() {
  const auto now = event_loop::Now();
  for (auto it = pools.begin(); it != pools.end();) {
    Maintain(*it->second, now);
    const bool unused = it->second->target == 0 &&
                        it->second->connections.empty() &&
                        it->second->pending_cancels.empty();
    it = unused ? pools.erase(it) : std::next(it);
  }
}

leaf_client::leaf_client(incarnation_id owner, sink deliver)
    : state_(std::make_unique<state>(owner, std::move(deliver))) {
  state_->thread = std::thread([this] { state_->Run(); });
}

leaf_client::~leaf_client() {
  state_->loop.exit();
  state_->thread.join();
}

void leaf_client::SetConnections(set_connections_effect effect) {
  state_->loop.commitEvent(command_event(std::move(effect)));
}

void leaf_client::Send(send_leaf_effect effect) {
  state_->loop.commitEvent(command_event(std::move(effect)));
}

void leaf_client::Cancel(cancel_leaf_effect effect) {
  state_->loop.commitEvent(command_event(effect));
}

leaf_client_counters leaf_client::Counters() const {
  return {state_->open, state_->malformed, state_->timeouts};
}

}  // namespace corianderrail
