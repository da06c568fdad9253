/** @file stream_end_test.cpp Answers that end early, by every sign of it. */

#include "edge/stream_end.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/random.h"
#include "edge/leaf_pool.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kReset = asio::error::connection_reset;
constexpr auto kBrokenPipe = asio::error::broken_pipe;

/**
 * Model of a socket whose peer sends pieces and then ends or resets the
 * connection: a reset is reported to one call, and as a broken pipe after an
 * orderly end; bytes that were received stay readable.
 */
class socket_model {
 public:
  void Receive() {
    if (!gone_ && !ended_) ++unread_;
  }
  void End() { ended_ = ended_ || !gone_; }
  void Reset() {
    if (gone_) return;
    gone_ = true;
    error_ = ended_ ? kBrokenPipe : kReset;
  }

  /** Error of a write that is tried now. */
  error_code Write() {
    if (error_) return std::exchange(error_, {});
    return gone_ ? kBrokenPipe : error_code();
  }

  enum class read_result { bytes, nothing, end, error };
  read_result Read() {
    if (unread_ > 0) {
      --unread_;
      return read_result::bytes;
    }
    if (ended_) return read_result::end;
    if (error_) {
      error_.clear();
      return read_result::error;
    }
    return gone_ ? read_result::end : read_result::nothing;
  }

  error_code TakeError() { return std::exchange(error_, {}); }
  bool EndedFirst() const { return ended_; }
  peer_end State() const {
    if (gone_) return peer_end::closed;
    return ended_ ? peer_end::in_order : peer_end::unknown;
  }

 private:
  int unread_ = 0;
  bool ended_ = false;
  bool gone_ = false;
  error_code error_;
};

/** How the body of an answer is delimited. */
enum class framing { sized, chunked, unsized };

/** Where an answer stops. */
enum class moment { before_head, in_head, in_body, after_last_byte };

/** How the leaf ends the connection. */
enum class ending { in_order, reset };

std::string WholeAnswer(framing how) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Stamp: p\r\n";
  switch (how) {
    case framing::sized:
      return head + "Content-Length: 10\r\n\r\n0123456789";
    case framing::chunked:
      return head + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n" +
             "0\r\n\r\n";
    default:
      return head + "\r\n0123456789";
  }
}

std::string CutAt(const std::string& whole, moment at) {
  switch (at) {
    case moment::before_head:
      return {};
    case moment::in_head:
      return whole.substr(0, 30);
    case moment::in_body:
      return whole.substr(0, whole.find("01234") + 5);
    default:
      return whole;
  }
}

/** A leaf that answers one request with given bytes and ends the connection. */
class ending_fixture {
 public:
  ending_fixture()
      : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  /** Body of the answer, "-" for a failure, or empty for neither.
   *  @param body_bytes Size of the body of the request; one that is larger than
   *      the buffers of a connection is still being written. */
  std::string Outcome(const std::string& bytes, ending how,
                      std::size_t body_bytes) {
    std::string outcome;
    leaf_pool pool(io_, [&](const gateway::event& one) {
      if (const auto* answer = std::get_if<gateway::leaf_answer_event>(&one)) {
        outcome = answer->answer.body;
      }
      if (std::holds_alternative<gateway::leaf_failure_event>(one)) {
        outcome = "-";
      }
    });
    tcp::socket leaf(io_);
    asio::streambuf in(kHeadBytes);
    acceptor_.async_accept(leaf, [&](error_code) {
      asio::async_read_until(leaf, in, "\r\n\r\n",
                             [&](error_code, std::size_t) {
                               asio::write(leaf, asio::buffer(bytes));
                               End(leaf, how);
                             });
    });
    pool.Send(Request(body_bytes));
    for (int i = 0; i < 100 && outcome.empty(); ++i) {
      io_.restart();
      io_.run_for(milliseconds(5));
    }
    return outcome;
  }

 private:
  static constexpr std::size_t kHeadBytes = 4096;

  static void End(tcp::socket& leaf, ending how) {
    if (how == ending::in_order) {
      leaf.shutdown(tcp::socket::shutdown_send);
      return;
    }
    leaf.set_option(asio::socket_base::linger(true, 0));
    leaf.close();
  }

  gateway::send_leaf_effect Request(std::size_t body_bytes) {
    auto request = std::make_shared<gateway::client_request>();
    request->attempt = "a";
    request->method = "POST";
    request->target = "/x";
    request->fields = {{"X-Attempt-Id", "a"}};
    request->has_body = true;
    request->body.assign(body_bytes, 'b');
    gateway::send_leaf_effect effect;
    effect.call = gateway::leaf_call{1};
    effect.leaf = gateway::leaf_handle{1};
    effect.address =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    effect.request = std::move(request);
    effect.remaining_time = milliseconds(500);
    return effect;
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
};

}  // namespace

// Guards against each sign of a reset that is missed on its own.
TEST_CASE("StreamEnd_AnySign_IsJudged") {
  struct sample {
    end_signs signs;
    bool in_order;
  };
  const std::vector<sample> samples = {
      {{{}, {}, {}, peer_end::in_order}, true},
      {{{}, {}, {}, peer_end::unknown}, true},
      {{{}, {}, {}, peer_end::closed}, false},
      {{kReset, {}, {}, peer_end::unknown}, false},
      {{kReset, {}, {}, peer_end::in_order}, false},
      {{{}, kReset, {}, peer_end::unknown}, false},
      {{{}, kReset, {}, peer_end::closed}, false},
      {{{}, {}, kReset, peer_end::unknown}, false},
      {{{}, {}, kReset, peer_end::closed}, false},
      {{{}, kBrokenPipe, {}, peer_end::closed}, true},
      {{{}, {}, kBrokenPipe, peer_end::closed}, true},
      {{{}, asio::error::timed_out, {}, peer_end::closed}, false},
      {{{}, {}, asio::error::host_unreachable, peer_end::unknown}, false},
  };
  for (std::size_t i = 0; i < samples.size(); ++i) {
    INFO("sample " << i);
    CHECK(EndedInOrder(samples[i].signs) == samples[i].in_order);
  }
}

// Guards against a whole success out of a cut body, and against a whole answer
// that is reported as failed, in any order of reads, writes, end and reset.
TEST_CASE("StreamEnd_RandomInterleavings_AreAllJudgedRight") {
  constexpr std::uint64_t kSeeds = 100'000;
  std::uint64_t whole = 0;
  std::uint64_t cut = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_source random(seed);
    socket_model socket;
    error_code write_error;
    bool writing = true;
    std::optional<bool> complete;
    while (!complete) {
      switch (random.Below(6)) {
        case 0:
          socket.Receive();
          break;
        case 1:
          if (random.Below(3) == 0) socket.End();
          break;
        case 2:
          if (random.Below(3) == 0) socket.Reset();
          break;
        case 3:
          if (!writing) break;
          write_error = socket.Write();
          writing = !write_error && random.Below(4) != 0;
          break;
        default: {
          const auto read = socket.Read();
          if (read == socket_model::read_result::error) complete = false;
          if (read == socket_model::read_result::end) {
            const peer_end state = socket.State();
            complete =
                EndedInOrder({{}, write_error, socket.TakeError(), state});
          }
        }
      }
    }
    INFO("seed " << seed);
    REQUIRE(*complete == socket.EndedFirst());
    ++(*complete ? whole : cut);
  }
  CHECK(whole > kSeeds / 10);
  CHECK(cut > kSeeds / 10);
}

// Guards against half of an answer that is passed on as a whole one: each
// framing, cut at each moment, in order or by a reset, after the request was
// written and while it still is.
TEST_CASE_METHOD(ending_fixture, "StreamEnd_AnswerCutAnywhere_IsNeverWhole") {
  constexpr std::size_t kWritten = 100;
  constexpr std::size_t kStillWriting = 16u << 20;
  for (const framing how : {framing::sized, framing::chunked, framing::unsized})
    for (const moment at : {moment::before_head, moment::in_head,
                            moment::in_body, moment::after_last_byte})
      for (const ending end : {ending::in_order, ending::reset})
        for (const std::size_t body : {kWritten, kStillWriting}) {
          const bool delimited = how != framing::unsized;
          const bool ended = end == ending::in_order;
          std::string expected = "-";
          if (at == moment::after_last_byte && (delimited || ended)) {
            expected = "0123456789";
          }
          // Nothing tells an unsized body that ends early in order from one
          // that is meant to be short.
          if (at == moment::in_body && !delimited && ended) expected = "01234";
          INFO("framing " << static_cast<int>(how) << " moment "
                          << static_cast<int>(at) << " ending "
                          << static_cast<int>(end) << " body " << body);
          const std::string whole = WholeAnswer(how);
          CHECK(Outcome(CutAt(whole, at), end, body) == expected);
        }
}

}  // namespace corianderrail::edge
