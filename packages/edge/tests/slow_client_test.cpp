/** @file slow_client_test.cpp Clients that read and send slowly, beside sound
 *  ones. */

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "edge/http_server.h"
#include "edge/stream_end.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t kLargeAnswer = 1u << 20;
constexpr gateway::byte_bounds kBounds{8u << 20, 6u << 20, 2u << 20};

/** Clients on several loopback addresses of a server with small bounds. */
class slow_client_fixture {
 public:
  slow_client_fixture() {
    for (unsigned short port = 20300; !server_ && port < 20400; ++port) {
      address_ = "127.0.0.1:" + std::to_string(port);
      try {
        server_ = std::make_unique<http_server>(io_, address_, 64, Handler());
      } catch (const boost::system::system_error&) {
        continue;
      }
    }
    REQUIRE(server_);
    server_->SetBounds(kBounds, kBounds);
  }

  http_handler Handler() {
    return {[this](request_id id, http_request&& request) {
              ++served_;
              const bool large = request.target() == "/large";
              server_->Reply(
                  id, {200, {}, std::string(large ? kLargeAnswer : 2, 'x')});
            },
            [](request_id) {},
            [this](const connection_end& end) { ends_.push_back(end); }};
  }

  /** Connects from 127.0.0.HOST; a slow client has a small receive buffer. */
  std::shared_ptr<tcp::socket> Connect(int host, bool slow = true) {
    auto socket = std::make_shared<tcp::socket>(io_, tcp::v4());
    if (slow) {
      socket->set_option(asio::socket_base::receive_buffer_size(8 << 10));
    }
    socket->bind(
        {asio::ip::make_address("127.0.0." + std::to_string(host)), 0});
    socket->connect(ParseEndpoint(address_));
    return socket;
  }

  static std::string Get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  static std::string Name(const tcp::socket& socket) {
    const auto end = socket.local_endpoint();
    return end.address().to_string() + ":" + std::to_string(end.port());
  }

  /** A client that asks for a large answer and does not read it. */
  std::shared_ptr<tcp::socket> AskWithoutReading(int host) {
    auto socket = Connect(host);
    asio::write(*socket, asio::buffer(Get("/large")));
    Run(milliseconds(20));
    return socket;
  }

  /** True if a sound client gets its whole large answer. */
  bool SoundClientIsServed(int host) {
    auto socket = Connect(host, false);
    asio::write(*socket, asio::buffer(Get("/large")));
    socket->non_blocking(true);
    std::vector<char> piece(64u << 10);
    std::size_t received = 0;
    for (int i = 0; i < 2000 && received < kLargeAnswer; ++i) {
      Run(milliseconds(1));
      boost::system::error_code error;
      received += socket->read_some(asio::buffer(piece), error);
      if (error && error != asio::error::would_block) return false;
    }
    return received > kLargeAnswer;
  }

  /** Lets time pass with the periodic checks. */
  void Pass(milliseconds time) {
    for (; time > milliseconds(0); time -= milliseconds(50)) {
      Run(milliseconds(50));
      server_->Sweep();
    }
  }

  void Run(milliseconds length) {
    io_.restart();
    io_.run_for(length);
  }

 protected:
  asio::io_context io_;
  std::string address_;
  int served_ = 0;
  std::vector<connection_end> ends_;
  std::unique_ptr<http_server> server_;
};

}  // namespace

// Guards against unread answers that fill the memory, and against ending other
// connections than the slowest for them.
TEST_CASE_METHOD(slow_client_fixture,
                 "Server_ManyUnreadAnswers_EndsTheSlowestAtTheTotal") {
  std::vector<std::shared_ptr<tcp::socket>> slow;
  for (int host = 2; host < 5; ++host) {
    slow.push_back(AskWithoutReading(host));
    Pass(milliseconds(250));
  }
  Pass(milliseconds(500));
  CHECK(ends_.empty());
  CHECK(server_->Counters().answers.bytes >= 3 * kLargeAnswer);
  CHECK(SoundClientIsServed(10));
  for (int host = 5; host < 9; ++host) {
    slow.push_back(AskWithoutReading(host));
    CHECK(server_->Counters().answers.bytes <= kBounds.total);
    CHECK(SoundClientIsServed(10));
  }
  REQUIRE(ends_.size() >= 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(ends_[i].peer == Name(*slow[i]));
    CHECK(ends_[i].cause == end_cause::total_bytes);
    CHECK(ends_[i].kind == held_kind::answer);
    CHECK(ends_[i].bytes >= kLargeAnswer);
    CHECK(ends_[i].behind >= milliseconds(500));
  }
  for (const connection_end& end : ends_)
    CHECK(end.peer.find(".10:") == std::string::npos);
  CHECK(server_->Counters()
            .answers.ended[static_cast<std::size_t>(end_cause::total_bytes)] ==
        ends_.size());
}

// Guards against one client address whose many connections fill the memory, at
// the expense of a slower client elsewhere.
TEST_CASE_METHOD(slow_client_fixture,
                 "Server_OneAddressHoldsMuch_OnlyItsConnectionsEnd") {
  const auto elsewhere = AskWithoutReading(3);
  Pass(milliseconds(600));
  std::array<std::shared_ptr<tcp::socket>, 5> slow;
  for (auto& one : slow) one = AskWithoutReading(2);
  REQUIRE_FALSE(ends_.empty());
  for (const connection_end& end : ends_) {
    CHECK(end.peer.rfind("127.0.0.2:", 0) == 0);
    CHECK(end.cause == end_cause::peer_bytes);
  }
}

// Guards against an end that leaves the unread bytes in the system, which would
// go on sending them.
TEST_CASE_METHOD(slow_client_fixture,
                 "Server_ConnectionHoldsTooMuch_IsResetAndReleased") {
  server_->SetBounds({4u << 20, 3u << 20, 256u << 10}, kBounds);
  const auto socket = AskWithoutReading(2);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].cause == end_cause::connection_bytes);
  CHECK(server_->Counters().answers.bytes == 0);
  CHECK(server_->Counters().open == 0);
  boost::system::error_code error;
  std::vector<char> all(kLargeAnswer);
  asio::read(*socket, asio::buffer(all), error);
  CHECK(error == asio::error::connection_reset);
}

// Guards against counting an answer that was read, which would end a sound
// client later, and against memory that an idle connection keeps.
TEST_CASE_METHOD(slow_client_fixture, "Server_AnswersRead_HoldsNothing") {
  for (int i = 0; i < 10; ++i) CHECK(SoundClientIsServed(2));
  Pass(milliseconds(100));
  CHECK(server_->Counters().answers.bytes == 0);
  CHECK(ends_.empty());
}

// Guards against bodies that arrive slowly and together fill the memory, and
// against ending a body that arrives at a usual rate.
TEST_CASE_METHOD(slow_client_fixture,
                 "Server_ManySlowBodies_EndsTheSlowestAtTheTotal") {
  constexpr std::size_t kBody = 200'000;
  constexpr std::size_t kPart = 180'000;
  server_->SetBounds(kBounds, {600'000, 400'000, 300'000});
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(kBody) + "\r\n\r\n";
  std::vector<std::shared_ptr<tcp::socket>> slow;
  const auto begin = [&](int host) {
    slow.push_back(Connect(host));
    asio::write(*slow.back(), asio::buffer(head));
    slow.back()->non_blocking(true);
    std::size_t sent = 0;
    const std::string part(kPart, 'b');
    for (int i = 0; i < 200 && sent < kPart; ++i) {
      boost::system::error_code error;
      sent += slow.back()->write_some(
          asio::buffer(part.data() + sent, kPart - sent), error);
      Run(milliseconds(1));
    }
    REQUIRE(sent == kPart);
  };
  for (int host = 2; host < 5; ++host) {
    begin(host);
    Pass(milliseconds(200));
  }
  CHECK(ends_.empty());
  CHECK(server_->Counters().requests.bytes >= 3 * kPart);
  Pass(milliseconds(600));
  for (int host = 5; host < 8; ++host) begin(host);
  REQUIRE(ends_.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(ends_[i].peer == Name(*slow[i]));
    CHECK(ends_[i].kind == held_kind::client_request);
    CHECK(ends_[i].cause == end_cause::total_bytes);
  }
  // The last ones complete.
  CHECK(served_ == 0);
  for (std::size_t i = 3; i < 6; ++i) {
    slow[i]->non_blocking(false);
    asio::write(*slow[i], asio::buffer(std::string(kBody - kPart, 'b')));
  }
  Run(milliseconds(50));
  CHECK(served_ == 3);
  CHECK(server_->Counters().requests.bytes == 0);
}

// Guards against a request that is held in whole for a client which does not
// read its answer, and against one that is lost since its body had to wait.
TEST_CASE_METHOD(slow_client_fixture,
                 "Server_BodyFollowsARequest_IsServedAfterIt") {
  constexpr std::size_t kBody = 150'000;
  auto socket = Connect(2);
  const std::string all =
      Get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'b') + Get("/3");
  asio::async_write(*socket, asio::buffer(all), [](auto, std::size_t) {});
  Run(milliseconds(100));
  CHECK(served_ == 3);
}

// Guards against a last answer that is cut by a reset, since a further request
// on the connection was not read.
TEST_CASE_METHOD(slow_client_fixture,
                 "Server_ClosesWhileABodyWaits_AnswerArrivesInOrder") {
  server_->StartDraining();
  auto socket = Connect(2, false);
  asio::write(*socket,
              asio::buffer(Get("/1") +
                           "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           "90000\r\n\r\n" + std::string(20'000, 'b')));
  Run(milliseconds(100));
  socket->non_blocking(true);
  std::vector<char> piece(4096);
  boost::system::error_code error;
  const std::size_t size = socket->read_some(asio::buffer(piece), error);
  CHECK(std::string(piece.data(), size).ends_with("xx"));
  socket->read_some(asio::buffer(piece), error);
  CHECK(error == asio::error::eof);
  // A reset after the end of the stream is only a pending error.
  CHECK_FALSE(SignsOf(*socket, {}, {}).pending);
  Pass(milliseconds(1300));
  CHECK(server_->Counters().open == 0);
}

// Guards against a stalled request that ends without a report.
TEST_CASE_METHOD(slow_client_fixture, "Server_BodyStalls_ReportsTheTimeout") {
  gateway::client_limits limits;
  limits.header_timeout = milliseconds(100);
  server_->SetLimits(limits);
  auto socket = Connect(2);
  asio::write(*socket,
              asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                                       "Content-Length: 100\r\n\r\nabc")));
  Pass(milliseconds(400));
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].cause == end_cause::timeout);
  CHECK(ends_[0].kind == held_kind::client_request);
  CHECK(server_->Counters().open == 0);
  CHECK(server_->Counters().requests.bytes == 0);
}

}  // namespace corianderrail::edge
