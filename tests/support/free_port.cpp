/** @file free_port.cpp Finds listening ports below the ephemeral range. */

#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace corianderrail {

namespace {

// The kernel assigns ephemeral ports to outgoing connections, so such a port
// may be in use again before the test's listener binds to it. The ephemeral
// range starts at 32768; ports below it are used by listeners only.
constexpr int kFirstPort = 10'000;
constexpr int kEndPort = 32'000;

/// Ports per block. Each test process starts its search in the block given by
/// its process id, so that processes running in parallel rarely collide.
constexpr int kPortsPerProcess = 100;

bool IsFree(int port) {
  const int file = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = bind(file, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  close(file);
  return free;
}

int StartOfProcess() {
  constexpr int kBlocks = (kEndPort - kFirstPort) / kPortsPerProcess;
  return kFirstPort + (getpid() % kBlocks) * kPortsPerProcess;
}

}  // namespace

std::uint16_t FreePorts(int count) {
  static int next = StartOfProcess();
  int run = 0;
  for (int tried = kFirstPort; tried < kEndPort; ++tried) {
    if (next >= kEndPort) {
      next = kFirstPort;
      run = 0;
    }
    run = IsFree(next++) ? run + 1 : 0;
    if (run == count) return static_cast<std::uint16_t>(next - count);
  }
  throw std::runtime_error(
      "no free ports below the ephemeral range; stop other test processes");
}

}  // namespace corianderrail
