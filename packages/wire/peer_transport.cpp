/** @file peer_transport.cpp Message transport on nng push and pull sockets. */

#include "wire/peer_transport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <cstring>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "wire/peer_codec.h"
#include "wire/wire_error.h"

namespace corianderrail {

namespace {

/** Initial and maximum delay between attempts to connect to a peer. */
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1000;

void ThrowOnError(int code, const std::string& what) {
  if (code == 0) return;
  throw wire_error(wire_error::kind::transport_failed,
                   what + ": " + nng_strerror(code));
}

/** A push socket to one peer and the time of its last use. */
struct push_socket {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  std::chrono::steady_clock::time_point last_used{};

  push_socket() = default;
  push_socket(const push_socket&) = delete;
  push_socket& operator=(const push_socket&) = delete;
  ~push_socket() { nng_close(socket); }
};

}  // namespace

struct peer_transport::state {
  state(peer_transport_settings initial_settings, message_handler callback)
      : settings(std::move(initial_settings)),
        on_message(std::move(callback)) {}

  void Listen();
  void OnReceived();
  std::unique_ptr<push_socket> Dial(const std::string& address) const;

  peer_transport_settings settings;
  message_handler on_message;
  nng_socket pull = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  mutable std::mutex mutex;  ///< Guards `peers`.
  std::unordered_map<std::string, std::unique_ptr<push_socket>> peers;
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
};

void peer_transport::state::Listen() {
  const std::string what = "cannot listen on peer address " +
                           settings.listen_address +
                           "; check 'peer_address' in the settings";
  ThrowOnError(nng_pull0_open(&pull), what);
  ThrowOnError(
      nng_socket_set_size(pull, NNG_OPT_RECVMAXSZ, kMaxPeerMessageBytes), what);
  ThrowOnError(
      nng_socket_set_int(pull, NNG_OPT_RECVBUF, settings.receive_queue), what);
  const std::string url = "tcp://" + settings.listen_address;
  ThrowOnError(nng_listen(pull, url.c_str(), nullptr, 0), what);
  const auto callback = [](void* self) {
    static_cast<state*>(self)->OnReceived();
  };
  ThrowOnError(nng_aio_alloc(&aio, callback, this), what);
  nng_recv_aio(pull, aio);
}

void peer_transport::state::OnReceived() {
  // A receive fails only when the socket has been closed, so there is no retry.
  if (nng_aio_result(aio) != 0) return;
  nng_msg* message = nng_aio_get_msg(aio);
  received.fetch_add(1, std::memory_order_relaxed);
  bytes_received.fetch_add(nng_msg_len(message), std::memory_order_relaxed);
  on_message(std::string_view(static_cast<const char*>(nng_msg_body(message)),
                              nng_msg_len(message)));
  nng_msg_free(message);
  nng_recv_aio(pull, aio);
}

std::unique_ptr<push_socket> peer_transport::state::Dial(
    const std::string& address) const {
  auto peer = std::make_unique<push_socket>();
  if (nng_push0_open(&peer->socket) != 0) return nullptr;
  nng_socket_set_int(peer->socket, NNG_OPT_SENDBUF, settings.send_queue);
  nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  const std::string url = "tcp://" + address;
  const int code =
      nng_dial(peer->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (code != 0) return nullptr;
  return peer;
}

peer_transport::peer_transport(peer_transport_settings settings,
                               message_handler on_message)
    : state_(
          std::make_unique<state>(std::move(settings), std::move(on_message))) {
  try {
    state_->Listen();
  } catch (...) {
    nng_close(state_->pull);
    throw;
  }
}

peer_transport::~peer_transport() {
  nng_close(state_->pull);
  nng_aio_stop(state_->aio);
  nng_aio_free(state_->aio);
}

bool peer_transport::Send(const std::string& address, std::string_view bytes) {
  const std::lock_guard lock(state_->mutex);
  auto& peer = state_->peers[address];
  if (!peer) peer = state_->Dial(address);
  nng_msg* message = nullptr;
  if (!peer || nng_msg_alloc(&message, bytes.size()) != 0) {
    if (!peer) state_->peers.erase(address);
    state_->dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
  peer->last_used = std::chrono::steady_clock::now();
  if (nng_sendmsg(peer->socket, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    state_->dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  state_->sent.fetch_add(1, std::memory_order_relaxed);
  state_->bytes_sent.fetch_add(bytes.size(), std::memory_order_relaxed);
  return true;
}

void peer_transport::CloseIdle(std::chrono::steady_clock::time_point now) {
  const std::lock_guard lock(state_->mutex);
  std::erase_if(state_->peers, [&](const auto& entry) {
    return now - entry.second->last_used > state_->settings.idle_timeout;
  });
}

peer_transport_counters peer_transport::Counters() const {
  const std::lock_guard lock(state_->mutex);
  return {state_->sent,         state_->dropped,    state_->received,
          state_->peers.size(), state_->bytes_sent, state_->bytes_received};
}

}  // namespace corianderrail
