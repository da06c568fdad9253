/** @file peer_transport_test.cpp Tests of the transport between hosts. */

#include "wire/peer_transport.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "wire/wire_error.h"

namespace corianderrail {
namespace {

/** Collects the messages that a transport receives. */
class inbox {
 public:
  void Put(std::string_view bytes) {
    const std::lock_guard lock(mutex_);
    messages_.emplace_back(bytes);
    changed_.notify_all();
  }

  bool WaitFor(std::size_t count) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20),
                             [&] { return messages_.size() >= count; });
  }

  std::vector<std::string> Messages() {
    const std::lock_guard lock(mutex_);
    return messages_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> messages_;
};

peer_transport_settings SettingsForPort(int port) {
  peer_transport_settings settings;
  settings.listen_address = "127.0.0.1:" + std::to_string(port);
  settings.send_queue = 8;
  return settings;
}

/** Ports below the ephemeral range; each test uses its own, because tests run
 *  in parallel. */
constexpr int kFirstPort = 18'400;

// Guards against messages that are altered or reordered on one connection.
TEST_CASE("PeerTransport_MessagesToOnePeer_ArriveInOrder") {
  inbox received;
  peer_transport receiver(SettingsForPort(kFirstPort),
                          [&](std::string_view bytes) { received.Put(bytes); });
  peer_transport sender(SettingsForPort(kFirstPort + 1),
                        [](std::string_view) {});
  const std::string address = "127.0.0.1:" + std::to_string(kFirstPort);
  CHECK(sender.Send(address, std::string("a\0b", 3)));
  CHECK(sender.Send(address, "second"));
  REQUIRE(received.WaitFor(2));
  CHECK(received.Messages() ==
        std::vector<std::string>{std::string("a\0b", 3), "second"});
  CHECK(sender.Counters().bytes_sent == 9);
  CHECK(receiver.Counters().bytes_received == 9);
}

// Guards against an unreachable peer that blocks the event loop or makes its
// queue grow without limit.
TEST_CASE("PeerTransport_PeerThatIsDown_DropsAndCounts") {
  peer_transport sender(SettingsForPort(kFirstPort + 2),
                        [](std::string_view) {});
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    if (!sender.Send("127.0.0.1:1", "x")) ++refused;
  }
  CHECK(refused >= 90);
  CHECK(sender.Counters().dropped == static_cast<std::uint64_t>(refused));
}

// Guards against a malformed peer address that terminates the process.
TEST_CASE("PeerTransport_BadPeerAddress_DropsMessage") {
  peer_transport sender(SettingsForPort(kFirstPort + 3),
                        [](std::string_view) {});
  CHECK_FALSE(sender.Send("no address", "x"));
  CHECK(sender.Counters().sockets == 0);
}

// Guards against sockets to replaced hosts that are never closed.
TEST_CASE("PeerTransport_IdleSocket_IsClosed") {
  peer_transport sender(SettingsForPort(kFirstPort + 4),
                        [](std::string_view) {});
  sender.Send("127.0.0.1:1", "x");
  CHECK(sender.Counters().sockets == 1);
  sender.CloseIdle(std::chrono::steady_clock::now() + std::chrono::hours(1));
  CHECK(sender.Counters().sockets == 0);
}

// Guards against a second host that starts although its address is in use and
// that never receives a message.
TEST_CASE("PeerTransport_AddressInUse_ThrowsWireError") {
  peer_transport first(SettingsForPort(kFirstPort + 5),
                       [](std::string_view) {});
  CHECK_THROWS_AS(
      peer_transport(SettingsForPort(kFirstPort + 5), [](std::string_view) {}),
      wire_error);
}

}  // namespace
}  // namespace corianderrail
