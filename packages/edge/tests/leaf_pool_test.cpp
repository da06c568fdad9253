/** @file leaf_pool_test.cpp Invalid leaf answers and connection reuse. */

#include "edge/leaf_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "edge/process_time.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using gateway::leaf_answer_event;
using gateway::leaf_failure;
using gateway::leaf_failure_event;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

/** Reaction of the leaf to one request. */
struct reply_script {
  std::string bytes;          ///< Sent at once.
  bool close = false;         ///< Closes the connection after them.
  bool reset = false;         ///< Resets the connection after them.
  std::string repeated = {};  ///< Sent again until the host closes.
};

/** A leaf that follows a script with one entry per request. */
class pool_fixture {
 public:
  pool_fixture()
      : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        pool_(io_, [this](gateway::event one) {
          events_.push_back(std::move(one));
        }) {
    Accept();
  }

  static std::string Answer(const std::string& attempt,
                            const std::string& body = "ok",
                            const std::string& fields = "") {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Server-Stamp: p\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Send(const std::string& attempt, bool idempotent = true,
            std::uint32_t leaf = 1) {
    auto request = std::make_shared<gateway::client_request>();
    request->attempt = attempt;
    request->method = "GET";
    request->target = "/x";
    request->fields = {{"Host", "h"}, {"X-Attempt-Id", attempt}};
    gateway::send_leaf_effect effect;
    effect.call = gateway::leaf_call{++calls_};
    effect.leaf = gateway::leaf_handle{leaf};
    effect.address =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    effect.instance = "i";
    effect.request = request;
    effect.remaining_time = milliseconds(500);
    effect.idempotent = idempotent;
    effect.connections = 2;
    effect.keep_idle = keep_idle_;
    effect.send_before = send_before_;
    pool_.Send(std::move(effect));
    Run();
  }

  void Run(milliseconds length = milliseconds(20)) {
    io_.restart();
    io_.run_for(length);
  }

  /** Body of the answer to a call; "-" for a failure, empty for neither. */
  std::string Outcome(std::uint64_t call) const {
    for (const gateway::event& one : events_) {
      if (const auto* answer = std::get_if<leaf_answer_event>(&one)) {
        if (answer->call == gateway::leaf_call{call}) {
          return answer->answer.body;
        }
      }
      if (const auto* failure = std::get_if<leaf_failure_event>(&one)) {
        if (failure->call == gateway::leaf_call{call}) return "-";
      }
    }
    return {};
  }

  leaf_failure Failure(std::uint64_t call) const {
    for (const gateway::event& one : events_) {
      const auto* failure = std::get_if<leaf_failure_event>(&one);
      if (failure && failure->call == gateway::leaf_call{call}) {
        return failure->failure;
      }
    }
    FAIL("no failure of the call");
    return {};
  }

 protected:
  bool keep_idle_ = true;            ///< Of the requests from now on.
  time_point send_before_ = kNever;  ///< Likewise.

  void Accept() {
    acceptor_.async_accept([this](auto error, tcp::socket socket) {
      if (error) return;
      ++accepted_;
      sockets_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      Serve(sockets_.back(), std::make_shared<asio::streambuf>());
      Accept();
    });
  }

  void Serve(const std::shared_ptr<tcp::socket>& socket,
             const std::shared_ptr<asio::streambuf>& in) {
    asio::async_read_until(
        *socket, *in, "\r\n\r\n",
        [this, socket, in](auto error, std::size_t size) {
          if (error) return;
          in->consume(size);
          if (script_.empty()) return;
          const reply_script next = script_.front();
          script_.pop_front();
          if (next.bytes.size() > kBufferedBytes) {
            const auto bytes = std::make_shared<std::string>(next.bytes);
            asio::async_write(*socket, asio::buffer(*bytes),
                              [bytes, socket](auto, std::size_t) {});
          } else {
            asio::write(*socket, asio::buffer(next.bytes));
          }
          if (!next.repeated.empty()) {
            SendWithoutEnd(socket,
                           std::make_shared<std::string>(next.repeated));
            return;
          }
          if (next.reset) {
            socket->set_option(asio::socket_base::linger(true, 0));
          }
          if (next.reset || next.close) {
            socket->close();
            return;
          }
          Serve(socket, in);
        });
  }

  void SendWithoutEnd(const std::shared_ptr<tcp::socket>& socket,
                      const std::shared_ptr<std::string>& piece) {
    asio::async_write(*socket, asio::buffer(*piece),
                      [this, socket, piece](auto error, std::size_t size) {
                        endless_bytes_ += size;
                        if (error) {
                          ++closed_by_host_;
                          return;
                        }
                        SendWithoutEnd(socket, piece);
                      });
  }

  /** Checks that bytes without end fail the call and close the connection
   *  before the host has accepted many of them. */
  void CheckEndless(const std::string& begin, const std::string& repeated) {
    script_ = {{begin, false, false, repeated}, {Answer("b", "2")}};
    Send("a");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (closed_by_host_ == 0 && std::chrono::steady_clock::now() < end) {
      Run();
    }
    CHECK(Outcome(1) == "-");
    CHECK(closed_by_host_ == 1);
    CHECK(endless_bytes_ <= kMaxEndlessBytes);
    CHECK(Failure(1) == leaf_failure::malformed);
    Send("b");
    CHECK(Outcome(2) == "2");
  }

  /** Bytes that a leaf may send in one answer, including socket buffers: an
   *  eighth of the memory of a small host. */
  static constexpr std::size_t kMaxEndlessBytes = 20u << 20;

  /** Fits the buffers of a connection; more is written while the pool reads. */
  static constexpr std::size_t kBufferedBytes = 64u << 10;

  std::size_t endless_bytes_ = 0;
  int closed_by_host_ = 0;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::deque<reply_script> script_;  ///< Empty: requests get no answer.
  int accepted_ = 0;
  std::uint64_t calls_ = 0;
  std::vector<gateway::event> events_;
  leaf_pool pool_;
};

/** Bytes sent at a time by a leaf that does not stop. */
std::string Piece(const std::string& unit) {
  std::string piece;
  while (piece.size() < 16'000) piece += unit;
  return piece;
}

}  // namespace

// Guards against a leaf in trouble that fills the memory of this host or keeps
// a call open until its deadline: each part of an answer may come without end.
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessHeaderFields_FailsAndCloses") {
  CheckEndless("HTTP/1.1 200 OK\r\n", Piece("X-Field: value\r\n"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessHeaderLine_FailsAndCloses") {
  CheckEndless("HTTP/1.1 200 OK\r\nX-Field: ", Piece("v"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessBody_FailsAndCloses") {
  CheckEndless("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n", Piece("b"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessChunks_FailsAndCloses") {
  CheckEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               Piece("4\r\nbody\r\n"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessChunkExtension_FailsAndCloses") {
  CheckEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=",
               Piece("e"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessTrailer_FailsAndCloses") {
  CheckEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
               Piece("X-Trailer: value\r\n"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessInterimAnswers_FailsAndCloses") {
  CheckEndless("", Piece("HTTP/1.1 103 Early Hints\r\n\r\n"));
}
TEST_CASE_METHOD(pool_fixture, "Pool_EndlessBytesAreNoHttp_FailsAndCloses") {
  CheckEndless("", Piece("\x01\x02"));
}

// Guards against many endless answers that together fill the memory.
TEST_CASE_METHOD(pool_fixture, "Pool_ManyEndlessBodies_StayWithinABound") {
  constexpr int kCalls = 12;
  for (int i = 0; i < kCalls; ++i) {
    script_.push_back({"HTTP/1.1 200 OK\r\n\r\n", false, false, Piece("b")});
  }
  for (int i = 0; i < kCalls; ++i) Send(std::to_string(i), true, i + 1);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (closed_by_host_ < kCalls && std::chrono::steady_clock::now() < end) {
    Run();
    CHECK(pool_.Counters().answer_bytes <= kMaxEndlessBytes);
  }
  CHECK(closed_by_host_ == kCalls);
}

// Guards against opening a connection for each request.
TEST_CASE_METHOD(pool_fixture, "Pool_TwoRequests_UseOneConnection") {
  script_ = {{Answer("a", "1")}, {Answer("b", "2")}};
  Send("a");
  Send("b");
  CHECK(Outcome(1) == "1");
  CHECK(Outcome(2) == "2");
  CHECK(accepted_ == 1);
}

// Guards against taking an answer without an attempt for that of the present
// request, although the leaf names the attempt in all its answers.
TEST_CASE_METHOD(pool_fixture, "Pool_AnswerLosesAttempt_FailsAndCloses") {
  const std::string unnamed =
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: p\r\nContent-Length: 2\r\n\r\nxx";
  script_ = {{unnamed}, {Answer("b")}, {unnamed}, {Answer("d")}};
  Send("a");
  CHECK(Outcome(1) == "xx");  // A leaf that names none.
  Send("b");
  Send("c");
  CHECK(Outcome(2) == "ok");
  CHECK(Outcome(3) == "-");
  CHECK(Failure(3) == leaf_failure::malformed);
  Send("d");
  CHECK(Outcome(4) == "ok");
  CHECK(accepted_ == 2);
}

// Guards against filling a leaf with idle connections of hosts that hardly send
// requests.
TEST_CASE_METHOD(pool_fixture, "Pool_IdleConnectionNotKept_ClosesAfterAnswer") {
  script_ = {{Answer("a", "1")}, {Answer("b", "2")}};
  keep_idle_ = false;
  Send("a");
  CHECK(Outcome(1) == "1");
  CHECK(pool_.Counters().open == 0);
  Send("b");
  CHECK(Outcome(2) == "2");
  CHECK(accepted_ == 2);
}

// Guards against forwarding an answer that belongs to another request.
TEST_CASE_METHOD(pool_fixture, "Pool_AnswerOfOtherAttempt_FailsAndCloses") {
  script_ = {{Answer("other")}, {Answer("b", "2")}};
  Send("a");
  CHECK(Outcome(1) == "-");
  CHECK(Failure(1) == leaf_failure::malformed);
  Send("b");
  CHECK(Outcome(2) == "2");
  CHECK(accepted_ == 2);
}

// Guards against an unexpected second answer that is mistaken for the answer to
// the next request.
TEST_CASE_METHOD(pool_fixture,
                 "Pool_SecondAnswerFollows_ConnectionIsNotReused") {
  script_ = {{Answer("a", "1") + Answer("a", "again")}, {Answer("a", "2")}};
  Send("a");
  CHECK(Outcome(1) == "1");
  Send("a");
  CHECK(Outcome(2) == "2");
  CHECK(accepted_ == 2);
}

// Guards against an allocation for a Content-Length that does not fit into
// memory, found by fuzzing: the parser reserves that length before it checks
// the limit.
TEST_CASE_METHOD(pool_fixture, "Pool_AnswerStatesHugeLength_IsAFailure") {
  const std::string length =
      GENERATE("6148914691236517203", "18446744073709551615", "4000000000");
  script_ = {
      {"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Stamp: p\r\n"
       "Content-Length: " +
       length + "\r\n\r\nok"}};
  Send("a");
  CHECK(Outcome(1) == "-");
}

// Guards against truncated answers that are accepted as complete.
TEST_CASE_METHOD(pool_fixture, "Pool_AnswerIncomplete_IsAFailure") {
  std::string whole = Answer("a", "0123456789");
  SECTION("closed in the body") {
    script_ = {{whole.substr(0, whole.size() - 3), true}};
  }
  SECTION("closed in the head") { script_ = {{whole.substr(0, 30), true}}; }
  SECTION("reset without a length") {
    script_ = {
        {"HTTP/1.1 200 OK\r\nX-Server-Stamp: p\r\n\r\n0123", false, true}};
  }
  SECTION("no answer in the protocol") { script_ = {{"hello\r\n\r\n"}}; }
  Send("a");
  CHECK(Outcome(1) == "-");
}

// Guards against an empty success for a leaf that stops in the middle of the
// head of its answer.
TEST_CASE_METHOD(pool_fixture, "Pool_HeadEndsAnywhere_IsAFailure") {
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
                    "X-Server-Stamp: p\r\nContent-Length: 10\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
                    "X-Server-Stamp: p\r\n\r\n")}) {
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      events_.clear();
      script_ = {{head.substr(0, cut), true}};
      Send("a");
      INFO("cut after " << cut << " of " << head.size() << " bytes");
      CHECK(Outcome(calls_) == "-");
    }
  }
}

// Guards against losing answers without a length, which end with the
// connection.
TEST_CASE_METHOD(pool_fixture, "Pool_AnswerWithoutLength_EndsWithConnection") {
  script_ = {{"HTTP/1.1 200 OK\r\nX-Server-Stamp: p\r\n\r\n0123", true}};
  Send("a");
  CHECK(Outcome(1) == "0123");
}

// Guards against sending a request that must not run twice on a connection that
// the leaf may be closing.
TEST_CASE_METHOD(pool_fixture,
                 "Pool_NonIdempotentAfterIdleTime_OpensANewConnection") {
  script_ = {{Answer("a", "1")}, {Answer("b", "2")}};
  Send("a");
  Run(milliseconds(450));
  Send("b", false);
  CHECK(Outcome(2) == "2");
  CHECK(accepted_ == 2);
}

// Guards against a connection that stays open beyond the idle limit that the
// leaf states.
TEST_CASE_METHOD(pool_fixture, "Pool_LeafStatesIdleLimit_ClosesBefore") {
  script_ = {{Answer("a", "1", "Keep-Alive: timeout=1\r\n")}};
  Send("a");
  Run(milliseconds(350));
  pool_.Sweep();
  CHECK(pool_.Counters().open == 0);
}

// Guards against a leaf that keeps working on a canceled request.
TEST_CASE_METHOD(pool_fixture, "Pool_Canceled_ClosesTheConnection") {
  Send("a");
  CHECK(pool_.Counters().open == 1);
  pool_.Cancel(gateway::leaf_call{1});
  Run();
  CHECK(pool_.Counters().open == 0);
  CHECK(Outcome(1).empty());
}

// Guards against a request reported as possibly run although its connection was
// refused.
TEST_CASE_METHOD(pool_fixture, "Pool_NothingListens_IsNotSent") {
  const auto port = acceptor_.local_endpoint().port();
  acceptor_.close();
  auto request = std::make_shared<gateway::client_request>();
  gateway::send_leaf_effect effect;
  effect.call = gateway::leaf_call{++calls_};
  effect.address = "127.0.0.1:" + std::to_string(port);
  effect.request = request;
  pool_.Send(std::move(effect));
  Run();
  CHECK(Failure(1) == leaf_failure::not_sent);
}

// Guards against a request that is written to a leaf after its drain time,
// because it waited until a connection was free.
TEST_CASE_METHOD(pool_fixture, "Pool_LeafStopsWhileRequestWaits_IsWithdrawn") {
  Send("a");
  Send("b");
  Send("c");
  send_before_ = Now() + milliseconds(30);
  pool_.StopSending(gateway::leaf_handle{1}, send_before_);
  Run(milliseconds(40));
  pool_.Sweep();
  Run();
  CHECK(Failure(3) == leaf_failure::withdrawn);
  CHECK(Outcome(1).empty());
  CHECK(Outcome(2).empty());
  Send("d");
  CHECK(Failure(4) == leaf_failure::withdrawn);
}

// Guards against requests that are written to an evacuated leaf until the next
// check of the pool, and against a leaf that gets none after the evacuation.
TEST_CASE_METHOD(pool_fixture, "Pool_LeafStopsNow_WithdrawsAtOnce") {
  Send("a");
  Send("b");
  Send("c");
  pool_.StopSending(gateway::leaf_handle{1}, Now());
  Run();
  CHECK(Failure(3) == leaf_failure::withdrawn);
  pool_.StopSending(gateway::leaf_handle{1}, kNever);
  script_ = {{Answer("d", "4")}};
  Send("d", true, 2);
  CHECK(Outcome(4) == "4");
}

// Guards against a request that is written although its region was forbidden
// while it waited, and against cutting one that was sent.
TEST_CASE_METHOD(pool_fixture, "Pool_CallsWithdrawn_OnlyUnsentOnesFail") {
  for (const char* attempt : {"a", "b", "c", "d"}) Send(attempt);
  for (std::uint64_t call = 1; call <= 3; ++call) {
    pool_.Withdraw(gateway::leaf_call{call});
  }
  pool_.Withdraw(gateway::leaf_call{9});
  Run();
  CHECK(Failure(3) == leaf_failure::withdrawn);
  for (const std::uint64_t call : {1, 2, 4}) CHECK(Outcome(call).empty());
  CHECK(pool_.Counters().open == 2);
}

// Guards against a statement of a leaf that is lost between the wire and the
// rules.
TEST_CASE_METHOD(pool_fixture, "Pool_LeafSaysItLeaves_IsPassedOn") {
  script_ = {{Answer("a", "1", "Server-Leaving: 1\r\n")},
             {Answer("b", "2", "server-leaving:  1 \r\n")},
             {Answer("c", "3", "Server-Leaving: 0\r\n")}};
  for (const char* attempt : {"a", "b", "c"}) Send(attempt);
  std::vector<bool> leaving;
  for (const gateway::event& one : events_) {
    const auto* answer = std::get_if<leaf_answer_event>(&one);
    REQUIRE(answer != nullptr);
    leaving.push_back(answer->answer.leaving);
  }
  CHECK(leaving == std::vector<bool>{true, true, false});
}

// Guards against one leaf that takes the memory for all answers: by large ones
// that it announces and sends slowly, or by many bytes that do not end.
TEST_CASE_METHOD(pool_fixture, "Pool_OneLeafFillsTheMemory_OthersAreServed") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: p\r\nContent-Length: 8388608\r\n\r\n";
  std::size_t sent = 0;
  SECTION("announced only") { sent = 10; }
  SECTION("nearly sent") { sent = 7u << 20; }
  const std::string part = head + std::string(sent, 'x');
  const std::string sound(3u << 20, 's');
  script_ = {{part}, {part}, {Answer("c", sound)}};
  Send("a");
  Send("b");
  Run(milliseconds(300));
  Send("c", true, 2);
  Run(milliseconds(300));
  CHECK(Outcome(3) == sound);
  const bool full = sent > 10;
  const int failed = (Outcome(1) == "-" ? 1 : 0) + (Outcome(2) == "-" ? 1 : 0);
  CHECK(failed == (full ? 1 : 0));
  CHECK(pool_.Counters().answer_bytes <= 16u << 20);
}

}  // namespace corianderrail::edge
