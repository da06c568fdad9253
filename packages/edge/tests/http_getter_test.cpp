/** @file http_getter_test.cpp Reads from servers that fail or stall. */

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/http_getter.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

class getter_fixture {
 public:
  getter_fixture()
      : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        getter_(io_, Address()) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /** Makes a read and runs until it ends. @return Its duration. */
  milliseconds Read(duration timeout) {
    const auto begin = std::chrono::steady_clock::now();
    bool ended = false;
    getter_.Get("/", timeout, [&](get_outcome outcome) {
      result_.reset();
      too_large_ = false;
      if (auto* result = std::get_if<http_result>(&outcome)) {
        result_ = std::move(*result);
      } else {
        too_large_ = std::get<get_failure>(outcome) == get_failure::too_large;
      }
      ended = true;
    });
    while (!ended && io_.run_one_for(seconds(10)) > 0) {
    }
    REQUIRE(ended);
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - begin);
  }

  /** Answers the next connection's first request with `bytes`; with none, the
   *  request gets no answer. */
  void Serve(const std::string& bytes) {
    auto peer = std::make_shared<tcp::socket>(io_);
    peers_.push_back(peer);
    acceptor_.async_accept(*peer, [peer, bytes](auto error) {
      if (error) return;
      auto in = std::make_shared<asio::streambuf>();
      asio::async_read_until(*peer, *in, "\r\n\r\n",
                             [peer, in, bytes](auto failure, std::size_t) {
                               if (failure || bytes.empty()) return;
                               asio::write(*peer, asio::buffer(bytes));
                             });
    });
  }

  /** Answers like Serve(), then repeats `piece` until the connection ends. */
  void ServeWithoutEnd(const std::string& begin, const std::string& piece) {
    auto peer = std::make_shared<tcp::socket>(io_);
    peers_.push_back(peer);
    auto block = std::make_shared<std::string>();
    while (block->size() < 64'000) *block += piece;
    acceptor_.async_accept(*peer, [this, peer, begin, block](auto error) {
      if (error) return;
      asio::write(*peer, asio::buffer(begin));
      Repeat(peer, block);
    });
  }

  /** Answers with `bytes`, a tenth at a time with `pause` in between. */
  void ServeSlowly(const std::string& bytes, milliseconds pause) {
    auto peer = std::make_shared<tcp::socket>(io_);
    peers_.push_back(peer);
    acceptor_.async_accept(*peer, [this, peer, bytes, pause](auto error) {
      if (!error) SendPiece(peer, bytes, bytes.size() / 10, pause);
    });
  }

  void SendPiece(const std::shared_ptr<tcp::socket>& peer,
                 const std::string& bytes, std::size_t size,
                 milliseconds pause) {
    asio::write(*peer, asio::buffer(bytes, std::min(size, bytes.size())));
    if (bytes.size() <= size) return;
    auto timer = std::make_shared<asio::steady_timer>(io_, pause);
    timer->async_wait([this, timer, peer, rest = bytes.substr(size), size,
                       pause](auto) { SendPiece(peer, rest, size, pause); });
  }

  void Repeat(const std::shared_ptr<tcp::socket>& peer,
              const std::shared_ptr<std::string>& block) {
    asio::async_write(*peer, asio::buffer(*block),
                      [this, peer, block](auto error, std::size_t size) {
                        sent_ += size;
                        if (!error) Repeat(peer, block);
                      });
  }

 protected:
  std::size_t sent_ = 0;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  http_getter getter_;
  std::optional<http_result> result_;
  bool too_large_ = false;
  std::vector<std::shared_ptr<tcp::socket>> peers_;
};

}  // namespace

// Guards against a large configuration that never arrives over a narrow link,
// because each read of it starts anew after the timeout.
TEST_CASE_METHOD(getter_fixture, "Getter_BytesKeepArriving_IsReadToItsEnd") {
  const std::string body(1000, 'x');
  ServeSlowly("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body,
              milliseconds(50));
  Read(milliseconds(200));
  REQUIRE(result_);
  CHECK(result_->body == body);
}

// Guards against a read that waits for the rest of an answer whose connection
// has fallen silent.
TEST_CASE_METHOD(getter_fixture, "Getter_AnswerStopsArriving_Fails") {
  Serve("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nxxx");
  CHECK(Read(seconds(25)) < seconds(5));
  CHECK_FALSE(result_);
}

// Guards against losing the status or the body of a valid answer.
TEST_CASE_METHOD(getter_fixture, "Getter_CompleteAnswer_GivesStatusAndBody") {
  Serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Read(seconds(5));
  REQUIRE(result_);
  CHECK(result_->status == 200);
  CHECK(result_->body == "ok");
}

// Guards against an allocation for a Content-Length that does not fit into
// memory: the parser reserves that length before it checks the limit.
TEST_CASE_METHOD(getter_fixture, "Getter_AnswerStatesHugeLength_Fails") {
  Serve("HTTP/1.1 200 OK\r\nContent-Length: 6148914691236517203\r\n\r\nok");
  Read(seconds(5));
  CHECK_FALSE(result_);
}

// Guards against a store or peer in trouble that fills the memory until the
// read times out.
TEST_CASE_METHOD(getter_fixture, "Getter_ChunkExtensionWithoutEnd_Fails") {
  ServeWithoutEnd("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=",
                  "eeeeeeeeeeeeeeee");
  CHECK(Read(seconds(5)) < seconds(3));
  CHECK_FALSE(result_);
  CHECK(sent_ <= 8u << 20);
}

// Guards against a connect that may take as long as a watch: after a network
// partition has healed, a host would not learn of changes for half a minute.
TEST_CASE_METHOD(getter_fixture, "Getter_ConnectHangs_FailsLongBeforeWatch") {
  // Nothing is accepted, so connections beyond the backlog stay unanswered.
  acceptor_.listen(0);
  std::vector<tcp::socket> filler;
  for (int i = 0; i < 4; ++i) {
    filler.emplace_back(io_);
    filler.back().async_connect(acceptor_.local_endpoint(), [](auto) {});
  }
  io_.run_for(milliseconds(50));
  const milliseconds elapsed = Read(seconds(25));
  CHECK_FALSE(result_);
  CHECK(elapsed < seconds(3));
}

// Guards against a canceled read that still waits for its stalled connection.
TEST_CASE_METHOD(getter_fixture, "Getter_Canceled_EndsAtOnce") {
  Serve("");
  asio::steady_timer later(io_, milliseconds(50));
  later.async_wait([this](auto) { getter_.Cancel(); });
  CHECK(Read(seconds(25)) < seconds(3));
  CHECK_FALSE(result_);
}

// Guards against a truncated answer that is accepted as complete.
TEST_CASE_METHOD(getter_fixture, "Getter_AnswerCutOff_GivesNothing") {
  Serve("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok");
  asio::steady_timer later(io_, milliseconds(50));
  later.async_wait([this](auto) { peers_[0]->close(); });
  Read(seconds(5));
  CHECK_FALSE(result_);
}

}  // namespace corianderrail::edge
