/** @file http_server.cpp Accepts client connections. */

#include "edge/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "edge/http_server_state.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr int kListenBacklog = 1024;

/** Pause before the next connection is accepted when the system has no
 *  descriptor or memory for one. The waiting connection keeps the listening
 *  socket readable, so accepting at once would use the whole processor. */
constexpr std::chrono::milliseconds kAcceptPause{50};

/** What the system may buffer of an answer (it grants twice this). Without a
 *  limit it buffers some megabytes for a client that reads slowly. Over a round
 *  trip of 30 ms this still allows 70 Mbit/s. */
constexpr int kSendBufferBytes = 256 << 10;

}  // namespace

http_server::http_server(asio::io_context& io, const std::string& address,
                         std::size_t max_connections, http_handler handler)
    : state_(std::make_shared<state>(io, max_connections, std::move(handler))) {
  const tcp::endpoint endpoint = ParseEndpoint(address);
  state_->acceptor.open(endpoint.protocol());
  state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  state_->acceptor.bind(endpoint);
  state_->acceptor.listen(kListenBacklog);
  state_->Accept();
}

http_server::~http_server() {
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->accept_timer.cancel();
  state_->handler = {[](request_id, http_request&&) {}, [](request_id) {}};
  while (!state_->sessions.empty()) {
    const auto last = state_->sessions.begin()->second;
    last->Close();
  }
}

void http_server::state::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          self->AcceptLater();
          return;
        }
        ++self->counters.accepted;
        if (self->sessions.size() >= self->max_connections) {
          ++self->counters.rejected;
        } else {
          self->Serve(std::move(socket));
        }
        if (self->acceptor.is_open()) self->Accept();
      });
}

void http_server::state::Serve(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes),
                    ignored);
  auto fresh = std::make_shared<session>(std::move(socket), shared_from_this());
  sessions.emplace(fresh->Id(), fresh);
  fresh->Read();
}

/** Ends the connections that a bound gives up. */
void http_server::state::EndAll(
    held_bytes& held, const std::vector<gateway::given_up_message>& given_up) {
  for (const gateway::given_up_message& one : given_up) {
    const auto found = sessions.find(static_cast<std::uint64_t>(one.message));
    if (found == sessions.end()) continue;
    const std::shared_ptr<session> ended = found->second;
    ended->End(held, CauseOf(one.bound), one.bytes, one.behind);
  }
}

void http_server::state::AcceptLater() {
  ++counters.accept_failures;
  accept_timer.expires_after(kAcceptPause);
  accept_timer.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->acceptor.is_open()) self->Accept();
  });
}

void http_server::Reply(request_id request, const http_reply& reply) {
  const auto found = state_->requests.find(static_cast<std::uint64_t>(request));
  if (found == state_->requests.end()) return;
  if (const auto open = found->second.lock()) open->Reply(reply);
}

std::optional<client_connection> http_server::ConnectionOf(
    request_id request) const {
  const auto found = state_->requests.find(static_cast<std::uint64_t>(request));
  if (found == state_->requests.end()) return std::nullopt;
  const auto open = found->second.lock();
  if (!open) return std::nullopt;
  return open->Connection();
}

void http_server::SetLimits(const gateway::client_limits& limits) {
  state_->limits = limits;
  for (const auto& [key, one] : state_->sessions) one->ApplyLimits();
}

void http_server::SetBounds(const gateway::byte_bounds& answers,
                            const gateway::byte_bounds& requests) {
  state_->answers.SetBounds(answers);
  state_->incomplete.SetBounds(requests);
}

void http_server::StartDraining() { state_->draining = true; }

void http_server::Sweep() {
  const auto now = state::clock::now();
  std::vector<std::shared_ptr<state::session>> all;
  all.reserve(state_->sessions.size());
  for (const auto& [key, one] : state_->sessions) all.push_back(one);
  for (const auto& one : all) one->Sweep(now);
}

http_server_counters http_server::Counters() const {
  http_server_counters counters = state_->counters;
  counters.open = state_->sessions.size();
  counters.answers = state_->answers.Counters();
  counters.requests = state_->incomplete.Counters();
  return counters;
}

}  // namespace corianderrail::edge
