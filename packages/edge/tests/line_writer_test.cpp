/** @file line_writer_test.cpp Slow readers of the log. */

#include "edge/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace corianderrail::edge {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxQueuedBytes = 256u << 10;

/** A pipe in packet mode: each read returns the bytes of one write. */
class line_fixture {
 public:
  line_fixture() { REQUIRE(pipe2(ends_.data(), O_DIRECT | O_NONBLOCK) == 0); }
  ~line_fixture() {
    for (const int end : ends_) close(end);
  }
  line_fixture(const line_fixture&) = delete;
  line_fixture& operator=(const line_fixture&) = delete;

  void Run() {
    io_.restart();
    io_.run_for(milliseconds(5));
  }

  /** Bytes of the next write; empty when there is none. */
  std::string ReadPacket() {
    std::string packet(1u << 20, '\0');
    const auto size = read(ends_[0], packet.data(), packet.size());
    packet.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return packet;
  }

 protected:
  boost::asio::io_context io_;
  std::array<int, 2> ends_{};
};

}  // namespace

// Guards against lines that are lost by readers that truncate long writes.
TEST_CASE_METHOD(line_fixture,
                 "Lines_ManyAtOnce_AreWrittenWholeInSmallWrites") {
  line_writer lines(io_, ends_[1], kMaxQueuedBytes);
  std::string expected;
  for (int i = 0; i < 300; ++i) {
    const std::string line = std::to_string(i) + std::string(100, 'x');
    CHECK(lines.Write(line));
    expected += line + '\n';
  }
  std::string seen;
  for (int i = 0; i < 200 && seen.size() < expected.size(); ++i) {
    Run();
    for (std::string packet = ReadPacket(); !packet.empty();
         packet = ReadPacket()) {
      CHECK(packet.size() <= 4096);
      CHECK(packet.back() == '\n');
      seen += packet;
    }
  }
  CHECK(seen == expected);
}

// Guards against a stopped reader that delays requests or exhausts the memory.
TEST_CASE_METHOD(line_fixture, "Lines_ReaderStopped_AreDroppedAndCounted") {
  line_writer lines(io_, ends_[1], kMaxQueuedBytes);
  const std::string line(1000, 'x');
  std::uint64_t refused = 0;
  for (int i = 0; i < 2000; ++i) {
    if (!lines.Write(line)) ++refused;
    if (i % 100 == 0) Run();
  }
  CHECK(refused > 1000);
  CHECK(lines.Dropped() == refused);
}

}  // namespace corianderrail::edge
