/** @file free_port.cpp Ports below the range of outgoing connections. */

#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace corianderrail {

namespace {

// A port that the kernel hands out for an outgoing connection can be taken
// between the choice of a port and the start of its listener. The kernel's
// range starts at 32768, so ports below it are only taken by listeners.
constexpr int kFirstPort = 10'000;
constexpr int kEndPort = 32'000;

/// Test processes that run side by side start at different ports.
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
  throw std::runtime_error("no free ports; stop other test processes");
}

}  // namespace corianderrail
