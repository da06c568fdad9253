/** @file slow_leaf_test.cpp Leafs that do not read, beside sound ones. */

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "edge/leaf_pool.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using gateway::leaf_answer_event;
using gateway::leaf_failure;
using gateway::leaf_failure_event;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr std::size_t kLargeBody = 400u << 10;

/** A leaf that reads and answers each request, or reads nothing. */
class test_leaf {
 public:
  test_leaf(asio::io_context& io, bool reads) : acceptor_(io), reads_(reads) {
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any.protocol());
    // Connections inherit the small buffer, so that the host's writes block.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(8 << 10));
    acceptor_.bind(any);
    acceptor_.listen();
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int connections = 0;
  int requests = 0;
  bool answers = true;  ///< Else requests are only read.

 private:
  void Accept() {
    acceptor_.async_accept([this](auto error, tcp::socket socket) {
      if (error) return;
      ++connections;
      sockets_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      if (reads_) Serve(sockets_.back(), std::make_shared<asio::streambuf>());
      Accept();
    });
  }

  void Serve(const std::shared_ptr<tcp::socket>& socket,
             const std::shared_ptr<asio::streambuf>& in) {
    asio::async_read_until(
        *socket, *in, "\r\n\r\n",
        [this, socket, in](auto error, std::size_t size) {
          if (error) return;
          const auto data = asio::buffers_begin(in->data());
          const std::string head(data, data + static_cast<long>(size));
          in->consume(size);
          const std::size_t at = head.find("Content-Length: ");
          const std::size_t length = std::stoul(head.substr(at + 16));
          ReadBody(socket, in, length);
        });
  }

  void ReadBody(const std::shared_ptr<tcp::socket>& socket,
                const std::shared_ptr<asio::streambuf>& in,
                std::size_t length) {
    const std::size_t left = length - std::min(length, in->size());
    asio::async_read(
        *socket, *in, asio::transfer_exactly(left),
        [this, socket, in, length](auto error, std::size_t) {
          if (error) return;
          in->consume(length);
          ++requests;
          if (!answers) return;
          asio::write(*socket,
                      asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                               "Content-Length: 2\r\n\r\nok")));
          Serve(socket, in);
        });
  }

  tcp::acceptor acceptor_;
  bool reads_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

class slow_leaf_fixture {
 public:
  slow_leaf_fixture()
      : slow_(io_, false),
        sound_(io_, true),
        pool_(io_, [this](gateway::event one) {
          events_.push_back(std::move(one));
        }) {
    pool_.OnEnd([this](const connection_end& end) { ends_.push_back(end); });
  }

  std::uint64_t Send(const test_leaf& leaf, std::uint32_t handle,
                     std::size_t body) {
    auto request = std::make_shared<gateway::client_request>();
    request->method = "POST";
    request->target = "/x";
    request->fields = {{"Host", "h"}};
    request->body = std::string(body, 'b');
    request->has_body = true;
    gateway::send_leaf_effect effect;
    effect.call = gateway::leaf_call{++calls_};
    effect.leaf = gateway::leaf_handle{handle};
    effect.address = leaf.Address();
    effect.instance = "i";
    effect.request = request;
    effect.remaining_time = milliseconds(500);
    effect.connections = 16;
    pool_.Send(std::move(effect));
    Run(milliseconds(20));
    return calls_;
  }

  /** Runs until a call was answered, 2 s at most. */
  bool IsAnswered(std::uint64_t call) {
    for (int i = 0; i < 200; ++i) {
      for (const gateway::event& one : events_) {
        const auto* answer = std::get_if<leaf_answer_event>(&one);
        if (answer && answer->call == gateway::leaf_call{call}) return true;
      }
      Run(milliseconds(10));
    }
    return false;
  }

  std::vector<leaf_failure_event> Failures() const {
    std::vector<leaf_failure_event> failures;
    for (const gateway::event& one : events_) {
      const auto* failure = std::get_if<leaf_failure_event>(&one);
      if (failure) failures.push_back(*failure);
    }
    return failures;
  }

  void Pass(milliseconds time) {
    for (; time > milliseconds(0); time -= milliseconds(50)) {
      Run(milliseconds(50));
      pool_.Sweep();
    }
  }

  void Run(milliseconds length) {
    io_.restart();
    io_.run_for(length);
  }

 protected:
  asio::io_context io_;
  test_leaf slow_;
  test_leaf sound_;
  std::uint64_t calls_ = 0;
  std::vector<gateway::event> events_;
  std::vector<connection_end> ends_;
  leaf_pool pool_;
};

}  // namespace

// Guards against requests to leafs that do not read which fill the memory, and
// against ending a request to a sound leaf for them.
TEST_CASE_METHOD(slow_leaf_fixture,
                 "Pool_LeafsDoNotRead_EndsTheSlowestAtTheTotal") {
  gateway::memory_shares shares;
  shares.leaf_requests = {6 * kLargeBody, 4 * kLargeBody, 3 * kLargeBody};
  shares.leaf_answers.total = 1u << 20;
  shares.leaf_in_flight = 3 * kLargeBody;
  pool_.SetBounds(shares);
  Send(slow_, 1, kLargeBody);
  Pass(milliseconds(800));
  CHECK(ends_.empty());
  // The rest is in the receive buffer of the leaf.
  CHECK(pool_.Counters().requests.bytes >= kLargeBody * 9 / 10);
  for (std::uint32_t leaf = 2; leaf < 8; ++leaf) {
    Send(slow_, leaf, kLargeBody);
    CHECK(IsAnswered(Send(sound_, 20, kLargeBody)));
    CHECK(pool_.Counters().requests.bytes <= shares.leaf_requests.total);
  }
  REQUIRE_FALSE(ends_.empty());
  CHECK(ends_[0].kind == held_kind::leaf_request);
  CHECK(ends_[0].cause == end_cause::total_bytes);
  CHECK(ends_[0].behind >= milliseconds(500));
  for (const connection_end& end : ends_) CHECK(end.peer == slow_.Address());
  Run(milliseconds(10));
  const auto failures = Failures();
  REQUIRE(failures.size() == ends_.size());
  CHECK(failures[0].call == gateway::leaf_call{1});
  for (const auto& one : failures) CHECK(one.failure == leaf_failure::broken);
}

// Guards against requests that together exceed the memory of one leaf, and
// against a wait that never ends.
TEST_CASE_METHOD(slow_leaf_fixture, "Pool_ManyBytesInFlight_FurtherOnesWait") {
  sound_.answers = false;
  std::array<std::uint64_t, 4> calls{};
  for (std::uint64_t& call : calls) call = Send(sound_, 1, kLargeBody);
  Run(milliseconds(200));
  CHECK(sound_.requests == 2);
  CHECK(sound_.connections == 2);
  CHECK(pool_.Counters().delayed == 2);
  pool_.Cancel(gateway::leaf_call{calls[0]});
  Run(milliseconds(200));
  CHECK(sound_.requests == 3);
  sound_.answers = true;
  pool_.Cancel(gateway::leaf_call{calls[1]});
  CHECK(IsAnswered(calls[3]));
  CHECK(ends_.empty());
}

// Guards against a request above the bound that would never be sent.
TEST_CASE_METHOD(slow_leaf_fixture, "Pool_OneRequestAboveTheBound_IsSent") {
  CHECK(IsAnswered(Send(sound_, 1, 2 * gateway::kMinLeafBytesInFlight)));
}

// Guards against counting requests that were read.
TEST_CASE_METHOD(slow_leaf_fixture, "Pool_RequestsRead_HoldsNothing") {
  for (int i = 0; i < 5; ++i) CHECK(IsAnswered(Send(sound_, 1, kLargeBody)));
  Pass(milliseconds(100));
  CHECK(pool_.Counters().requests.bytes == 0);
  CHECK(pool_.Counters().delayed == 0);
}

}  // namespace corianderrail::edge
