/** @file peer_transport.h Sockets between hosts. */

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corianderrail {

/** Counters of the transport, all rising. */
struct peer_transport_counters {
  std::uint64_t sent = 0;        ///< Messages queued for a peer.
  std::uint64_t dropped = 0;     ///< Messages dropped because a queue was full.
  std::uint64_t received = 0;    ///< Messages received.
  std::uint64_t sockets = 0;     ///< Sockets open now.
  std::uint64_t bytes_sent = 0;  ///< Bytes of the messages queued.
  std::uint64_t bytes_received = 0;  ///< Bytes of the messages received.
};

/** Limits of the transport. */
struct peer_transport_settings {
  std::string listen_address;  ///< IP number and port.
  int send_queue = 256;        ///< Messages waiting for one peer.
  int receive_queue = 1024;    ///< Messages waiting for the event loop.
  std::chrono::seconds idle_timeout{
      60};  ///< Unused sockets are closed after this.
};

/**
 * One socket to receive and one for each peer that was written to. Send()
 * never blocks: a message for a peer whose queue is full is dropped. Messages
 * may be lost, and delivered to a later life of the peer.
 */
class peer_transport {
 public:
  /** Called with the bytes of each message, on a thread of the transport. */
  using message_handler = std::function<void(std::string_view)>;

  /** @throws wire_error when the address cannot be listened on. */
  peer_transport(peer_transport_settings settings, message_handler on_message);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /** @return False when the message was dropped. */
  bool Send(const std::string& address, std::string_view bytes);

  /** Closes sockets that were not used for a while. */
  void CloseIdle(std::chrono::steady_clock::time_point now);

  peer_transport_counters Counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
