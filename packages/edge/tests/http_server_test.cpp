/** @file http_server_test.cpp Hostile, slow and disconnecting clients. */

#include "edge/http_server.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

/** Request placed after or inside the body of another one. */
constexpr std::string_view kSmuggledRequest =
    "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

class server_fixture {
 public:
  server_fixture() {
    for (unsigned short port = 20100; !server_ && port < 20200; ++port) {
      address_ = "127.0.0.1:" + std::to_string(port);
      try {
        server_ = std::make_unique<http_server>(io_, address_, 64, Handler());
      } catch (const boost::system::system_error&) {
        continue;
      }
    }
    REQUIRE(server_);
  }

  http_handler Handler() {
    return {[this](request_id id, http_request&& request) {
              targets_.emplace_back(request.target());
              bodies_.push_back(request.body());
              last_id_ = id;
              if (reply_at_once_) server_->Reply(id, {200, {}, "ok"});
            },
            [this](request_id) { ++disconnects_; }};
  }

  std::unique_ptr<tcp::socket> Connect() {
    auto socket = std::make_unique<tcp::socket>(io_);
    socket->connect(ParseEndpoint(address_));
    return socket;
  }

  /** Sends bytes on a new connection. @return Bytes received soon after. */
  std::string Exchange(const std::string& bytes, bool half_close = true) {
    auto socket = Connect();
    asio::write(*socket, asio::buffer(bytes));
    boost::system::error_code ignored;
    if (half_close) socket->shutdown(tcp::socket::shutdown_send, ignored);
    std::string answer;
    Run(milliseconds(5));
    socket->non_blocking(true);
    std::vector<char> buffer(65536);
    for (int i = 0; i < 3; ++i) {
      const std::size_t size = socket->read_some(asio::buffer(buffer), ignored);
      answer.append(buffer.data(), size);
      Run(milliseconds(1));
    }
    return answer;
  }

  void Run(milliseconds length) {
    io_.restart();
    io_.run_for(length);
  }

 protected:
  asio::io_context io_;
  std::string address_;
  std::vector<std::string> targets_;
  std::vector<std::string> bodies_;
  request_id last_id_{};
  bool reply_at_once_ = true;
  int disconnects_ = 0;
  std::unique_ptr<http_server> server_;
};

bool StartsWith(const std::string& text, std::string_view begin) {
  return text.rfind(begin, 0) == 0;
}

}  // namespace

// Guards against a busy loop while the system has no descriptor for a waiting
// connection, and against a server that never accepts again.
TEST_CASE_METHOD(server_fixture, "Server_NoDescriptorLeft_AcceptsLater") {
  tcp::socket client(io_, tcp::v4());
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const int highest = open("/dev/null", O_RDONLY);
  close(highest);
  rlimit low = before;
  low.rlim_cur = static_cast<rlim_t>(highest);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  client.connect(ParseEndpoint(address_));
  io_.restart();
  const std::size_t handled = io_.run_for(milliseconds(200));
  const std::uint64_t failures = server_->Counters().accept_failures;
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(failures >= 1);
  CHECK(handled < 20);
  asio::write(client,
              asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")));
  for (int wait = 0; targets_.empty() && wait < 200; ++wait) {
    Run(milliseconds(10));
  }
  CHECK(targets_ == std::vector<std::string>{"/1"});
}

// Guards against a port that is cut to 16 bits or read as 0.
TEST_CASE("Endpoint_BadPort_Throws") {
  CHECK(ParseEndpoint("127.0.0.1:65535").port() == 65535);
  for (const char* text : {"127.0.0.1:70000", "127.0.0.1:", "127.0.0.1:-1",
                           "127.0.0.1:80x", "127.0.0.1", ":80", ""}) {
    CHECK_THROWS_AS(ParseEndpoint(text), std::invalid_argument);
  }
}

// Guards against losing or reordering pipelined requests.
TEST_CASE_METHOD(server_fixture,
                 "Server_TwoRequestsAtOnce_AnswersBothInOrder") {
  const auto answer = Exchange(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      false);
  CHECK(targets_ == std::vector<std::string>{"/1", "/2"});
  CHECK(bodies_[1] == "abc");
  CHECK(answer.find("HTTP/1.1 200", 10) != std::string::npos);
}

// Guards against the time of a new connection being left out of the latency
// that its client sees.
TEST_CASE_METHOD(server_fixture, "Server_FirstRequest_IsOfANewConnection") {
  reply_at_once_ = false;
  auto socket = Connect();
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<duration> times;
  std::vector<bool> is_new;
  for (int i = 0; i < 2; ++i) {
    asio::write(*socket, asio::buffer(request));
    for (int wait = 0; targets_.size() <= times.size() && wait < 400; ++wait) {
      Run(milliseconds(5));
    }
    REQUIRE(targets_.size() == times.size() + 1);
    const auto connection = server_->ConnectionOf(last_id_);
    REQUIRE(connection);
    times.push_back(connection->round_trip.value_or(duration{}));
    is_new.push_back(connection->is_new);
    server_->Reply(last_id_, {200, {}, "ok"});
  }
  CHECK(is_new == std::vector<bool>{true, false});
  CHECK(times[0] == times[1]);
  CHECK(times[1] > duration{});
  CHECK_FALSE(server_->ConnectionOf(request_id{999}));
}

// Guards against a client that fills the memory of this host: Beast limits
// neither chunk extensions nor trailers.
TEST_CASE_METHOD(server_fixture, "Server_BytesWithoutEnd_AreNotKept") {
  constexpr std::string_view kHead =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kMaxBytes = 8u << 20;
  const std::string lines = "0\r\n";
  for (const std::string& begin : {std::string("4;x="), lines}) {
    auto socket = Connect();
    asio::write(*socket, asio::buffer(std::string(kHead) + begin));
    socket->non_blocking(true);
    const std::string piece =
        begin == lines ? "X-Trailer: value\r\n" : std::string(18, 'e');
    std::string block;
    while (block.size() < 64'000) block += piece;
    std::size_t sent = 0;
    boost::system::error_code error;
    while (sent < 4 * kMaxBytes) {
      sent += socket->write_some(asio::buffer(block), error);
      if (error && error != asio::error::would_block) break;
      Run(milliseconds(1));
    }
    CHECK(error);
    CHECK(sent < kMaxBytes);
  }
  CHECK(targets_.empty());
}

// Guards against passing chunk sizes on as a part of the body.
TEST_CASE_METHOD(server_fixture, "Server_ChunkedBody_IsDecoded") {
  Exchange(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      false);
  REQUIRE(bodies_.size() == 1);
  CHECK(bodies_[0] == "abcde");
}

// Guards against request smuggling: a leaf that reads another body length would
// take a part of the body for a request.
TEST_CASE_METHOD(server_fixture, "Server_AmbiguousFraming_IsRefused") {
  const std::string fields = GENERATE(
      "Content-Length: 3\r\nContent-Length: 3\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
      "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: -3\r\n", "Content-Length: +3\r\n",
      "Content-Length: 3, 3\r\n", "Content-Length: 0x3\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Content-Length: 6148914691236517203\r\n", "Content-Length : 3\r\n",
      "Host: other\r\n");
  const auto answer = Exchange("POST /x HTTP/1.1\r\nHost: h\r\n" + fields +
                                   "\r\nabc" + std::string(kSmuggledRequest),
                               false);
  INFO(fields);
  CHECK(targets_.empty());
  CHECK(StartsWith(answer, "HTTP/1.1 4"));
}

// Guards against headers and bodies that exhaust the memory.
TEST_CASE_METHOD(server_fixture, "Server_TooLarge_IsRefusedWithItsStatus") {
  gateway::client_limits limits;
  limits.header_bytes = 2000;
  limits.body_bytes = 1000;
  server_->SetLimits(limits);
  CHECK(StartsWith(Exchange("GET / HTTP/1.1\r\nHost: h\r\nA: " +
                                std::string(5000, 'a') + "\r\n\r\n",
                            false),
                   "HTTP/1.1 431"));
  CHECK(StartsWith(
      Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n",
               false),
      "HTTP/1.1 413"));
}

// Guards against slow clients that hold connections forever with an unfinished
// header.
TEST_CASE_METHOD(server_fixture, "Server_HeadNeverEnds_ConnectionIsClosed") {
  gateway::client_limits limits;
  limits.header_timeout = milliseconds(60);
  server_->SetLimits(limits);
  auto socket = Connect();
  asio::write(*socket, asio::buffer(std::string("GET / HT")));
  for (int i = 0; i < 10; ++i) {
    Run(milliseconds(20));
    server_->Sweep();
  }
  CHECK(server_->Counters().open == 0);
}

// Guards against work that goes on after its client has disconnected.
TEST_CASE_METHOD(server_fixture, "Server_ClientCloses_NotifiesHandler") {
  reply_at_once_ = false;
  {
    auto socket = Connect();
    asio::write(
        *socket,
        asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")));
    Run(milliseconds(10));
    CHECK(targets_.size() == 1);
  }
  Run(milliseconds(10));
  CHECK(disconnects_ == 1);
  server_->Reply(last_id_, {200, {}, "late"});
  Run(milliseconds(5));
}

// Guards against a planned stop that drops requests that were already read.
TEST_CASE_METHOD(server_fixture, "Server_Draining_AnswersAndAsksToClose") {
  server_->StartDraining();
  const auto answer = Exchange("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", false);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(answer.find("\r\n\r\nok") != std::string::npos);
}

// Guards against mutated framing that lets a request inside a body pass as a
// separate request. CORIANDERRAIL_HOSTILE_CASES sets the number of mutations.
TEST_CASE_METHOD(server_fixture,
                 "Server_MutatedRequests_PassNoSmuggledRequest") {
  const char* given = std::getenv("CORIANDERRAIL_HOSTILE_CASES");
  const int cases = given == nullptr ? 300 : std::atoi(given);
  std::mt19937 random(7);
  const std::vector<std::string> pieces = {"Content-Length: 5\r\n",
                                           "Content-Length: 500\r\n",
                                           "Content-Length: 0\r\n",
                                           "Content-Length:\r\n",
                                           "Content-Length: 1e2\r\n",
                                           "Transfer-Encoding: chunked\r\n",
                                           "Transfer-Encoding: identity\r\n",
                                           "Transfer-Encoding:\tchunked\r\n",
                                           "Transfer-Encoding: xchunked\r\n",
                                           "X: a\r\n b\r\n",
                                           "Connection: keep-alive\r\n",
                                           "Expect: 100-continue\r\n",
                                           std::string("A: \0\r\n", 6),
                                           "\r\n",
                                           "A:b\n"};
  const std::vector<std::string> bodies = {
      "",
      "0\r\n\r\n",
      "5\r\nabcde\r\n0\r\n\r\n",
      "-1\r\n",
      "fffffffffffffffff\r\n",
      "5;x=y\r\nabcde\r\n0\r\nT: u\r\n\r\n"};
  for (int i = 0; i < cases; ++i) {
    targets_.clear();
    std::string text = "POST /outer HTTP/1.1\r\nHost: h\r\n";
    const auto count = 2 + random() % 3;
    for (unsigned k = 0; k < count; ++k)
      text += pieces[random() % pieces.size()];
    const bool framed = random() % 2 == 0;
    text += "\r\n";
    const std::string& body = bodies[random() % bodies.size()];
    text += body;
    // After a request whose header is refused, nothing may be accepted.
    Exchange(text + (framed ? "" : "x") + std::string(kSmuggledRequest), false);
    const bool outer = !targets_.empty() && targets_[0] == "/outer";
    const bool hidden = std::find(targets_.begin(), targets_.end(),
                                  "/hidden") != targets_.end();
    INFO(text);
    // Bytes after a complete request may be the next request; after a refused
    // one, none may pass.
    CHECK((outer || !hidden));
    CHECK(targets_.size() <= 2);
  }
}

// Guards against limits that reach a kept connection one request late, or while
// the head of a request arrives.
TEST_CASE_METHOD(server_fixture, "Server_LimitsChange_HoldOnKeptConnections") {
  const auto limits = [](std::size_t header, std::size_t body) {
    gateway::client_limits result;
    result.header_bytes = header;
    result.body_bytes = body;
    return result;
  };
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const auto sized = [&](std::size_t size) {
    return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
           std::string(size, 'b');
  };
  const auto chunked = [&](std::size_t size) {
    std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (; size > 0; size -= 100)
      text += "64\r\n" + std::string(100, 'b') + "\r\n";
    return text + "0\r\n\r\n";
  };
  const std::string padded = head + "X-Pad: " + std::string(3000, 'p') +
                             "\r\nContent-Length: 0\r\n\r\n";
  struct sample {
    const char* name;
    std::string request;
    gateway::client_limits small;
    std::string_view refused;
  };
  const std::vector<sample> samples = {
      {"body with a length", sized(2000), limits(16384, 1000), "HTTP/1.1 413"},
      {"body in chunks", chunked(2000), limits(16384, 1000), "HTTP/1.1 413"},
      {"head", padded, limits(1000, 262144), "HTTP/1.1 431"}};
  const gateway::client_limits large = limits(16384, 262144);
  for (const sample& one : samples) {
    for (const bool raised : {true, false}) {
      for (const bool within_head : {false, true}) {
        INFO(one.name << (raised ? " raised" : " lowered")
                      << (within_head ? " within the head" : " before it"));
        server_->SetLimits(raised ? one.small : large);
        auto socket = Connect();
        socket->set_option(tcp::no_delay(true));
        const auto receive = [&] {
          Run(milliseconds(5));
          socket->non_blocking(true);
          std::string text(4096, 0);
          boost::system::error_code ignored;
          text.resize(socket->read_some(asio::buffer(text), ignored));
          return text;
        };
        asio::write(*socket, asio::buffer(sized(10)));
        CHECK(StartsWith(receive(), "HTTP/1.1 200"));
        const std::size_t before = within_head ? 20 : 0;
        asio::write(*socket, asio::buffer(one.request, before));
        Run(milliseconds(5));
        server_->SetLimits(raised ? large : one.small);
        asio::write(*socket, asio::buffer(one.request.substr(before)));
        const std::string answer = receive();
        INFO(answer);
        CHECK(StartsWith(answer, raised ? "HTTP/1.1 200" : one.refused));
      }
    }
  }
}

// Guards against taking a part of a request for one: its client reset the
// connection or ended it in the body.
TEST_CASE_METHOD(server_fixture, "Server_BodyBreaksOff_IsNoRequest") {
  for (const char* begin :
       {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234",
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\n01234\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Len"}) {
    for (const bool reset : {false, true}) {
      auto socket = Connect();
      asio::write(*socket, asio::buffer(std::string(begin)));
      Run(milliseconds(5));
      if (reset) socket->set_option(asio::socket_base::linger(true, 0));
      socket->close();
      Run(milliseconds(5));
    }
  }
  CHECK(targets_.empty());
  CHECK(server_->Counters().open == 0);
}

}  // namespace corianderrail::edge
