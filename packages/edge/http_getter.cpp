/** @file http_getter.cpp GET on a persistent Boost.Beast connection. */

#include "edge/http_getter.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

#include "edge/http_server.h"
#include "edge/stream_end.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/** Largest body of an answer. A listing of the store has at most about 1 MB,
 *  in base64. */
constexpr std::size_t kMaxAnswerBytes = 8u << 20;

/** Received bytes that are not parsed yet. Beast itself does not limit the
 *  length of chunk extensions and trailers. */
constexpr std::size_t kMaxUnparsedBytes = 128u << 10;

/** TCP keep-alive detects a peer that stopped responding after about four
 *  seconds, also while a watch waits for its answer. */
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

/** Time limit for unacknowledged data. It is needed in addition, because TCP
 *  sends no keep-alive probes while a request is not acknowledged. */
constexpr unsigned kUserTimeoutMs = 3000;

/** Time limit for connecting. TCP repeats a lost SYN only after seconds, even
 *  when the network has recovered meanwhile, so a new attempt is faster. */
constexpr duration kConnectTimeout = std::chrono::milliseconds(800);

void ConfigureSocket(tcp::socket& socket) {
  error_code ignored;
  using idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using user_timeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(user_timeout(kUserTimeoutMs), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(idle(kKeepAliveIdleS), ignored);
  socket.set_option(interval(kKeepAliveIntervalS), ignored);
  socket.set_option(probes(kKeepAliveProbes), ignored);
  socket.set_option(tcp::no_delay(true), ignored);
}

/** An answer that has begun fails when no byte arrives for the first time, or
 *  when it takes longer than the second. A large answer over a narrow link must
 *  not be read from its beginning again and again. */
constexpr duration kMaxSilence = std::chrono::milliseconds(1000);
constexpr duration kMaxReceiveTime = std::chrono::seconds(15);

}  // namespace

struct http_getter::state : std::enable_shared_from_this<http_getter::state> {
  state(asio::io_context& io, std::string given)
      : address(std::move(given)), socket(io), timer(io) {}

  void Start();
  void StartTimeout(duration timeout);
  void Write();
  void OnHeader(error_code error);
  void ReadBody();
  void OnMessage(error_code error);
  void Finish(get_outcome outcome);
  void CloseConnection();

  std::string address;
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::string_body>> parser;
  std::string write_buffer;
  duration answer_timeout{};  ///< Of the current read.
  bool receiving = false;     ///< The header of the answer was read.
  std::chrono::steady_clock::time_point receive_until{};
  callback done;
  /** Number of the read. Handlers of earlier reads see another number and do
   *  nothing. */
  std::uint64_t read_id = 0;
};

/** Starts the timer that fails the read after `timeout`. */
void http_getter::state::StartTimeout(duration timeout) {
  timer.expires_after(timeout);
  timer.async_wait(
      [self = shared_from_this(), own_id = read_id](error_code error) {
        if (error || own_id != self->read_id || !self->done) return;
        self->Finish(get_failure::unreachable);
      });
}

void http_getter::state::Start() {
  ++read_id;
  if (socket.is_open()) {
    Write();
    return;
  }
  StartTimeout(std::min(kConnectTimeout, answer_timeout));
  socket.async_connect(
      ParseEndpoint(address),
      [self = shared_from_this(), own_id = read_id](error_code error) {
        if (own_id != self->read_id || !self->done) return;
        if (error) {
          self->Finish(get_failure::unreachable);
          return;
        }
        ConfigureSocket(self->socket);
        self->Write();
      });
}

void http_getter::state::Write() {
  StartTimeout(answer_timeout);
  asio::async_write(socket, asio::buffer(write_buffer),
                    [self = shared_from_this(), own_id = read_id](
                        error_code error, std::size_t) {
                      if (own_id != self->read_id || !self->done) return;
                      if (error) self->Finish(get_failure::unreachable);
                    });
  parser.emplace();
  parser->body_limit(kMaxAnswerBytes);
  http::async_read_header(socket, buffer, *parser,
                          [self = shared_from_this(), own_id = read_id](
                              error_code error, std::size_t) {
                            if (own_id != self->read_id || !self->done) return;
                            self->OnHeader(error);
                          });
}

// Beast reserves memory for the stated body length before it compares the
// length with the limit. The header is therefore read alone and the length
// checked here.
void http_getter::state::OnHeader(error_code error) {
  const bool too_large =
      !error && parser->content_length().value_or(0) > kMaxAnswerBytes;
  if (too_large) error = http::make_error_code(http::error::body_limit);
  if (error || parser->is_done()) {
    OnMessage(error);
    return;
  }
  receiving = true;
  receive_until = std::chrono::steady_clock::now() + kMaxReceiveTime;
  ReadBody();
}

void http_getter::state::ReadBody() {
  const auto left = receive_until - std::chrono::steady_clock::now();
  StartTimeout(
      std::min(kMaxSilence, std::chrono::duration_cast<duration>(left)));
  http::async_read_some(socket, buffer, *parser,
                        [self = shared_from_this(), own_id = read_id](
                            error_code error, std::size_t) {
                          if (own_id != self->read_id || !self->done) return;
                          if (error || self->parser->is_done()) {
                            self->OnMessage(error);
                            return;
                          }
                          self->ReadBody();
                        });
}

void http_getter::state::OnMessage(error_code error) {
  // A write that fails ends the read, so none has failed here.
  const bool cut =
      !error && parser->need_eof() && !EndedInOrder(SignsOf(socket, error, {}));
  if (error || cut) {
    const bool too_large = error == http::error::body_limit;
    Finish(too_large ? get_failure::too_large : get_failure::unreachable);
    return;
  }
  auto message = parser->release();
  const bool reusable =
      message.keep_alive() && !message.need_eof() && buffer.size() == 0;
  http_result result;
  result.status = static_cast<int>(message.result_int());
  result.body = std::move(message.body());
  if (!reusable) CloseConnection();
  Finish(std::move(result));
}

void http_getter::state::CloseConnection() {
  error_code ignored;
  socket.close(ignored);
  buffer.clear();
}

void http_getter::state::Finish(get_outcome outcome) {
  ++read_id;
  receiving = false;
  timer.cancel();
  if (std::holds_alternative<get_failure>(outcome)) CloseConnection();
  const callback finished = std::exchange(done, nullptr);
  finished(std::move(outcome));
}

http_getter::http_getter(asio::io_context& io, std::string address)
    : state_(std::make_shared<state>(io, std::move(address))) {}

http_getter::~http_getter() {
  state_->done = nullptr;
  state_->timer.cancel();
  state_->CloseConnection();
}

void http_getter::Get(const std::string& target, duration timeout,
                      callback done) {
  state_->write_buffer =
      "GET " + target + " HTTP/1.1\r\nHost: " + state_->address + "\r\n\r\n";
  state_->done = std::move(done);
  state_->answer_timeout = timeout;
  state_->Start();
}

bool http_getter::Receiving() const { return state_->receiving; }

void http_getter::Cancel() {
  if (state_->done) state_->Finish(get_failure::unreachable);
}

}  // namespace corianderrail::edge
