/** @file leaf_pool.cpp HTTP connections to leafs, based on Boost.Beast. */

#include "edge/leaf_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "edge/leaf_pool_state.h"
#include "edge/process_time.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using gateway::leaf_call;
using gateway::leaf_failure;
using gateway::leaf_handle;
using clock = std::chrono::steady_clock;

/** Requests that must not run twice use only connections that were idle for
 *  at most this long. The leaf may have closed a connection that was idle for
 *  longer, and a failure would not show whether the leaf ran the request. */
constexpr std::chrono::milliseconds kRecentIdle{400};

/** Idle connections to a leaf beyond the first are closed after this time.
 *  When this host loses power, the leaf counts the lost connections until its
 *  own idle limit. Until then it resets connections of the restarted host that
 *  exceed the leaf's connection limit. */
constexpr std::chrono::milliseconds kSurplusIdleLimit{1200};

/** Pause before a new connection to a leaf that has reached its connection
 *  limit. */
constexpr std::chrono::milliseconds kFullBackoff{300};

}  // namespace

leaf_pool::state::leaf& leaf_pool::state::Leaf(leaf_handle handle,
                                               const std::string& address) {
  leaf& found = leafs[handle];
  if (found.address.empty()) found.address = address;
  return found;
}

void leaf_pool::state::Fail(leaf_call call, leaf_failure failure) {
  // Posted, because the receiver may call Send() for the same leaf at once.
  asio::post(io, [self = shared_from_this(), call, failure] {
    self->sink(gateway::leaf_failure_event{call, failure});
  });
}

/**
 * Counts the bytes of an incomplete answer. If all together are too many, the
 * largest ones of the leaf that holds most are given up: their calls fail, and
 * so frees its connections. The pace is left out: a leaf that works on a large
 * answer may send slowly.
 * @return False when the given answer is one of them.
 */
bool leaf_pool::state::Reserve(leaf_handle handle, leaf_call call,
                               std::size_t bytes) {
  const gateway::message_id message{static_cast<std::uint64_t>(call)};
  const gateway::sender_id sender{static_cast<std::uint64_t>(handle)};
  return EndAll(incomplete, message,
                incomplete.Update(message, sender, bytes, 0, time_point{}));
}

/** Ends the connections that a bound gives up. @return False when the present
 *  one is among them. */
bool leaf_pool::state::EndAll(
    held_bytes& held, gateway::message_id present,
    const std::vector<gateway::given_up_message>& given_up) {
  bool kept = true;
  for (const gateway::given_up_message& one : given_up) {
    kept = kept && one.message != present;
    const auto found = busy.find(static_cast<std::uint64_t>(one.message));
    if (found == busy.end()) continue;
    if (const auto ended = found->second.lock()) ended->End(held, one);
  }
  return kept;
}

leaf_pool::state::connection_ptr leaf_pool::state::PopIdle(leaf& from,
                                                           bool recent_only) {
  if (from.idle.empty()) return nullptr;
  connection_ptr best = from.idle.back();
  const auto now = clock::now();
  if (recent_only && now - best->IdleSince() > kRecentIdle) return nullptr;
  from.idle.pop_back();
  return best;
}

/** Removes a request that waits for a connection.
 *  @return False when no request with this call waits. */
bool leaf_pool::state::Drop(leaf_call call) {
  for (auto& [handle, to] : leafs) {
    const auto erased = std::erase_if(
        to.pending, [&](const auto& one) { return one.call == call; });
    if (erased == 0) continue;
    // The next one may be small enough to be sent.
    SendPending(handle);
    return true;
  }
  return false;
}

/** Whether a request to a leaf may be written now. One alone always may. */
bool leaf_pool::state::HasRoom(const leaf& to,
                               const gateway::send_leaf_effect& next) const {
  return to.in_flight == 0 ||
         to.in_flight + RequestBytes(*next.request) <= max_in_flight;
}

/** Fails the pending requests of a leaf that takes no more of them. */
void leaf_pool::state::Withdraw(leaf& from) {
  if (Now() < from.send_before) return;
  for (const gateway::send_leaf_effect& one : from.pending) {
    Fail(one.call, leaf_failure::withdrawn);
  }
  from.pending.clear();
}

/** Sends pending requests on idle connections and opens connections for the
 *  rest. Each request to a leaf passes here. */
void leaf_pool::state::SendPending(leaf_handle handle) {
  const auto found = leafs.find(handle);
  if (found == leafs.end()) return;
  leaf& to = found->second;
  Withdraw(to);
  while (!to.pending.empty()) {
    if (!HasRoom(to, to.pending.front())) return;
    const connection_ptr idle = PopIdle(to, !to.pending.front().idempotent);
    if (!idle) break;
    gateway::send_leaf_effect next = std::move(to.pending.front());
    to.pending.pop_front();
    idle->Send(std::move(next));
  }
  while (to.opening < to.pending.size()) {
    if (to.all.size() >= to.max_connections && to.idle.empty()) break;
    if (!to.all.empty() && clock::now() < to.full_until) break;
    // At the connection limit, an idle connection that is too old for the
    // pending request is replaced by a new one.
    if (to.all.size() >= to.max_connections) to.idle.front()->Close();
    if (to.all.size() >= to.max_connections) break;
    Open(handle, to);
  }
}

void leaf_pool::state::Open(leaf_handle handle, leaf& to) {
  ++to.opening;
  const auto fresh = std::make_shared<connection>(shared_from_this(), handle);
  to.all.push_back(fresh);
  fresh->Open(to.address);
}

void leaf_pool::state::OnOpened(leaf_handle handle, const connection_ptr& one,
                                open_outcome outcome) {
  leaf& to = leafs[handle];
  --to.opening;
  const bool ok = outcome == open_outcome::open;
  if (std::exchange(to.probe_pending, false)) {
    // A leaf at its connection limit still listens.
    const bool listens = outcome != open_outcome::failed;
    asio::post(io, [self = shared_from_this(), handle, listens] {
      self->sink(gateway::leaf_connected_event{handle, listens});
    });
  }
  if (ok) {
    ++counters.opened;
    return;
  }
  ++counters.failed;
  const bool full = outcome == open_outcome::full;
  if (full) OnLimitReached(handle);
  // Pending requests fail only when no connection is established; otherwise
  // they wait for one to become idle.
  const bool none_established = to.all.size() == to.opening + 1;
  while (none_established && !to.pending.empty()) {
    Fail(to.pending.front().call,
         full ? leaf_failure::full : leaf_failure::not_sent);
    to.pending.pop_front();
  }
  one->Close();
}

/** A leaf reset a new connection: opens no further ones for a while. */
void leaf_pool::state::OnLimitReached(leaf_handle handle) {
  const auto found = leafs.find(handle);
  if (found == leafs.end()) return;
  found->second.full_until = clock::now() + kFullBackoff;
}

/** Whether answers of a leaf name their attempt. One that does not is then no
 *  answer to the present request, but a copy of an earlier one that was cut. */
bool leaf_pool::state::NamesAttempts(leaf_handle handle) const {
  const auto found = leafs.find(handle);
  return found != leafs.end() && found->second.names_attempts;
}

void leaf_pool::state::OnIdle(leaf_handle handle, const connection_ptr& one) {
  leaf& to = leafs[handle];
  if (to.disconnecting || (!to.keep_idle && to.pending.empty())) {
    one->Close();
    return;
  }
  to.idle.push_back(one);
  SendPending(handle);
}

void leaf_pool::state::OnClosed(leaf_handle handle, const connection_ptr& one) {
  const auto found = leafs.find(handle);
  if (found == leafs.end()) return;
  leaf& to = found->second;
  std::erase(to.all, one);
  std::erase(to.idle, one);
  if (to.disconnecting && to.all.empty() && to.pending.empty()) {
    leafs.erase(found);
    return;
  }
  SendPending(handle);
}

leaf_pool::leaf_pool(asio::io_context& io, event_sink sink)
    : state_(std::make_shared<state>(io, std::move(sink))) {}

leaf_pool::~leaf_pool() {
  state_->sink = [](const gateway::event&) {};
  state_->on_end = {};
  for (auto& [handle, to] : state_->leafs) to.pending.clear();
  std::vector<state::connection_ptr> all;
  for (auto& [handle, to] : state_->leafs) {
    all.insert(all.end(), to.all.begin(), to.all.end());
  }
  for (const auto& one : all) one->Close();
}

void leaf_pool::Send(gateway::send_leaf_effect effect) {
  const leaf_handle handle = effect.leaf;
  auto& to = state_->Leaf(handle, effect.address);
  to.max_connections = std::max<std::uint32_t>(effect.connections, 1);
  to.keep_idle = effect.keep_idle;
  to.send_before = effect.send_before;
  if (!state_->HasRoom(to, effect)) ++state_->counters.delayed;
  to.pending.push_back(std::move(effect));
  state_->SendPending(handle);
}

void leaf_pool::Cancel(leaf_call call) {
  const auto found = state_->busy.find(static_cast<std::uint64_t>(call));
  if (found != state_->busy.end()) {
    if (const auto one = found->second.lock()) one->Close();
    return;
  }
  state_->Drop(call);
}

void leaf_pool::Connect(const gateway::connect_leaf_effect& effect) {
  auto& to = state_->Leaf(effect.leaf, effect.address);
  if (!to.idle.empty()) {
    asio::post(state_->io, [self = state_, leaf = effect.leaf] {
      self->sink(gateway::leaf_connected_event{leaf, true});
    });
    return;
  }
  to.probe_pending = true;
  if (to.opening == 0) state_->Open(effect.leaf, to);
}

void leaf_pool::StopSending(leaf_handle leaf, time_point send_before) {
  const auto found = state_->leafs.find(leaf);
  if (found == state_->leafs.end()) return;
  found->second.send_before = send_before;
  state_->Withdraw(found->second);
}

void leaf_pool::Withdraw(leaf_call call) {
  if (state_->busy.contains(static_cast<std::uint64_t>(call))) return;
  if (state_->Drop(call)) state_->Fail(call, leaf_failure::withdrawn);
}

void leaf_pool::Disconnect(leaf_handle leaf) {
  const auto found = state_->leafs.find(leaf);
  if (found == state_->leafs.end()) return;
  found->second.disconnecting = true;
  const auto idle = found->second.idle;
  for (const auto& one : idle) one->Close();
  // Closing the last connection erased the leaf.
  const auto left = state_->leafs.find(leaf);
  if (left == state_->leafs.end()) return;
  if (left->second.all.empty() && left->second.pending.empty()) {
    state_->leafs.erase(left);
  }
}

void leaf_pool::Sweep() {
  const auto now = clock::now();
  std::vector<state::connection_ptr> expired;
  for (auto& [handle, to] : state_->leafs) {
    state_->Withdraw(to);
    for (const auto& one : to.idle) {
      const bool surplus =
          one != to.idle.back() && now - one->IdleSince() > kSurplusIdleLimit;
      if (surplus || now >= one->IdleUntil()) expired.push_back(one);
    }
  }
  for (const auto& one : expired) one->Close();
  std::vector<state::connection_ptr> sending;
  for (const auto& [call, weak] : state_->busy) {
    if (auto one = weak.lock()) sending.push_back(std::move(one));
  }
  for (const auto& one : sending) one->CountUnread();
}

void leaf_pool::SetBounds(const gateway::memory_shares& shares) {
  state_->unread.SetBounds(shares.leaf_requests);
  state_->incomplete.SetBounds(shares.leaf_answers);
  state_->max_in_flight = shares.leaf_in_flight;
}

void leaf_pool::OnEnd(connection_end_sink sink) {
  state_->on_end = std::move(sink);
}

leaf_pool_counters leaf_pool::Counters() const {
  leaf_pool_counters counters = state_->counters;
  counters.answer_bytes = state_->incomplete.Total();
  counters.requests = state_->unread.Counters();
  counters.answers = state_->incomplete.Counters();
  for (const auto& [handle, to] : state_->leafs) {
    counters.open += to.all.size();
  }
  return counters;
}

}  // namespace corianderrail::edge
