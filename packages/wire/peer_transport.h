/** @file peer_transport.h Message transport between hosts. */

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corianderrail {

/** Counters of the transport; all except `sockets` only increase. */
struct peer_transport_counters {
  std::uint64_t sent = 0;      ///< Messages queued for a peer.
  std::uint64_t dropped = 0;   ///< Messages dropped: queue full or bad address.
  std::uint64_t received = 0;  ///< Messages received.
  std::uint64_t sockets = 0;   ///< Sockets to peers that are open now.
  std::uint64_t bytes_sent = 0;      ///< Bytes of the messages queued.
  std::uint64_t bytes_received = 0;  ///< Bytes of the messages received.
};

/** Limits of the transport. */
struct peer_transport_settings {
  std::string listen_address;  ///< IP address and port.
  int send_queue = 256;        ///< Maximum messages queued for one peer.
  int receive_queue = 1024;    ///< Maximum messages waiting for the event loop.
  std::chrono::seconds idle_timeout{60};  ///< Until a socket is closed.
};

/**
 * Sends and receives messages with one receiving socket and one sending socket
 * per peer. Send() never blocks: it drops a message when the queue of the peer
 * is full. Messages can be lost, or delivered to a later incarnation of the
 * peer.
 */
class peer_transport {
 public:
  /** Called with each received message, on a thread of the transport. */
  using message_handler = std::function<void(std::string_view)>;

  /** @throws wire_error when it cannot listen on the address. */
  peer_transport(peer_transport_settings settings, message_handler on_message);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /** @return False when the message was dropped. */
  bool Send(const std::string& address, std::string_view bytes);

  /** Closes sockets to peers that were unused for the idle timeout. */
  void CloseIdle(std::chrono::steady_clock::time_point now);

  peer_transport_counters Counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
