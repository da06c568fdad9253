/** @file http_server.cpp HTTP server sessions, based on Boost.Beast. */

#include "edge/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "edge/request_framing.h"
#include "gateway/http_status.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr int kListenBacklog = 1024;

/** A connection is closed when writing an answer takes longer than this. */
constexpr std::chrono::seconds kWriteTimeout{10};

/** Time for the client to close the connection after this side has shut down
 *  sending. */
constexpr std::chrono::seconds kLingerTimeout{1};

/** Pause before the next connection is accepted when the system has no
 *  descriptor or memory for one. The waiting connection keeps the listening
 *  socket readable, so accepting at once would use the whole processor. */
constexpr std::chrono::milliseconds kAcceptPause{50};

/** Received bytes beyond the header limit that are not parsed yet. Beast itself
 *  does not limit the length of chunk extensions and trailers. */
constexpr std::size_t kMaxUnparsedBytes = 128u << 10;

/** Round trip time of a connection that was just accepted. */
std::optional<duration> RoundTripTime(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int result =
      getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (result != 0 || info.tcpi_rtt == 0) return std::nullopt;
  return std::chrono::microseconds(info.tcpi_rtt);
}

bool IsHeadMethod(boost::beast::string_view method) { return method == "HEAD"; }

/** Status to send after a read error; 0 when the connection is closed without
 *  an answer. */
int ErrorStatus(const error_code& error) {
  if (error == http::error::header_limit) return gateway::kStatusHeadTooLarge;
  if (error == http::error::body_limit) return gateway::kStatusTooLarge;
  if (error == http::error::end_of_stream) return 0;
  if (error == http::error::partial_message) return 0;
  if (error.category() ==
      http::make_error_code(http::error::bad_method).category()) {
    return gateway::kStatusBadRequest;
  }
  return 0;
}

std::string Serialize(const http_reply& reply, bool close,
                      bool is_head_request) {
  std::string text;
  text.reserve(256 + reply.body.size());
  text += "HTTP/1.1 ";
  text += std::to_string(reply.status);
  text += ' ';
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(reply.status));
  text.append(reason.data(), reason.size());
  text += "\r\n";
  for (const auto& field : reply.fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  if (close) text += "Connection: close\r\n";
  const bool bodiless = reply.status == 204 || reply.status == 304;
  if (!bodiless) {
    text += "Content-Length: ";
    text += std::to_string(reply.body.size());
    text += "\r\n";
  }
  text += "\r\n";
  if (!is_head_request && !bodiless) text += reply.body;
  return text;
}

}  // namespace

tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  unsigned short port = 0;
  const char* end = address.data() + address.size();
  bool has_port = false;
  if (colon != std::string::npos) {
    const auto read = std::from_chars(address.data() + colon + 1, end, port);
    has_port = read.ptr == end && read.ec == std::errc();
  }
  error_code error;
  const auto ip = asio::ip::make_address(
      has_port ? address.substr(0, colon) : std::string(), error);
  if (error) {
    throw std::invalid_argument("'" + address +
                                "' is not an address; write IP:PORT");
  }
  return {ip, port};
}

struct http_server::state : std::enable_shared_from_this<http_server::state> {
  class session;

  state(asio::io_context& io, std::size_t limit, http_handler given)
      : acceptor(io),
        accept_timer(io),
        max_connections(limit),
        handler(std::move(given)) {}

  void Accept();
  void AcceptLater();
  void Serve(tcp::socket socket);

  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;  ///< After an error.
  std::size_t max_connections;
  http_handler handler;
  gateway::client_limits limits;
  http_server_counters counters;
  bool draining = false;
  std::uint64_t next_request_id = 1;
  std::unordered_map<session*, std::shared_ptr<session>> sessions;
  std::unordered_map<std::uint64_t, std::weak_ptr<session>> requests;
};

/** One client connection. */
class http_server::state::session
    : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::shared_ptr<state> owner)
      : socket_(std::move(socket)),
        owner_(std::move(owner)),
        round_trip_(RoundTripTime(socket_)) {}

  void Read();
  void Reply(const http_reply& reply);
  void Close();
  void Sweep(clock::time_point now);
  void ApplyLimits();
  client_connection Connection() const { return {round_trip_, requests_ <= 1}; }

 private:
  using parser = http::request_parser<http::string_body>;

  void OnHeader(error_code error);
  void OnMessage(error_code error);
  void OnReadError(error_code error);
  void Dispatch();
  void Write(std::string text, bool close);
  void OnWritten(error_code error, bool close);
  void SendContinue();
  void EndRequest();

  tcp::socket socket_;
  std::shared_ptr<state> owner_;
  std::optional<duration> round_trip_;  ///< Measured by the handshake.
  std::uint64_t requests_ = 0;          ///< Dispatched on this connection.
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  /** Complete request that is not dispatched yet. */
  std::optional<http_request> pipelined_request_;
  std::string write_buffer_;
  std::uint64_t current_request_ = 0;  ///< Identifier; 0 for none.
  bool keep_alive_ = true;
  bool is_head_request_ = false;  ///< Answered without a body.
  bool reading_ = false;
  bool writing_ = false;
  bool closing_ = false;  ///< Reads and serves no more.
  /** Status of a read error during a request or write; 0 for none. The
   *  connection is closed after the current answer. */
  int read_error_status_ = 0;
  clock::time_point last_progress_ = clock::now();
  bool request_started_ = false;  ///< Sweep() saw a partial request.
};

void http_server::state::session::Read() {
  if (reading_ || closing_) return;
  reading_ = true;
  request_started_ = false;
  parser_.emplace();
  ApplyLimits();
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        self->OnHeader(error);
      });
}

/** A request is judged by the limits that are in force when its head is
 *  complete: its connection may have been idle since before they changed. */
void http_server::state::session::ApplyLimits() {
  if (!reading_ || parser_->is_header_done()) return;
  const gateway::client_limits& limits = owner_->limits;
  parser_->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_->body_limit(limits.body_bytes);
  buffer_.max_size(
      std::max(limits.header_bytes + kMaxUnparsedBytes, buffer_.size()));
}

void http_server::state::session::OnHeader(error_code error) {
  if (error) {
    OnReadError(error);
    return;
  }
  if (!IsUnambiguous(parser_->get())) {
    OnReadError(http::make_error_code(http::error::bad_field));
    return;
  }
  if (parser_->is_done()) {
    OnMessage({});
    return;
  }
  if (iequals(parser_->get()[http::field::expect], "100-continue") &&
      current_request_ == 0 && !writing_) {
    SendContinue();
  }
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t) {
        self->OnMessage(failure);
      });
}

void http_server::state::session::SendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  writing_ = true;
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](error_code, std::size_t) {
                      self->writing_ = false;
                      if (!self->write_buffer_.empty()) {
                        self->Write(std::move(self->write_buffer_),
                                    !self->keep_alive_);
                      }
                    });
}

void http_server::state::session::OnMessage(error_code error) {
  if (error) {
    OnReadError(error);
    return;
  }
  reading_ = false;
  last_progress_ = clock::now();
  pipelined_request_ = parser_->release();
  if (current_request_ == 0 && !writing_) Dispatch();
}

void http_server::state::session::OnReadError(error_code error) {
  reading_ = false;
  const int status = ErrorStatus(error);
  if (status != 0) {
    ++owner_->counters.malformed;
    closing_ = true;
    if (current_request_ != 0 || writing_) {
      read_error_status_ = status;
      return;
    }
    Write(Serialize({status, {}, {}}, true, false), true);
    return;
  }
  // The client closed or reset the connection.
  Close();
}

void http_server::state::session::Dispatch() {
  http_request request = std::move(*pipelined_request_);
  pipelined_request_.reset();
  keep_alive_ = request.keep_alive();
  is_head_request_ = IsHeadMethod(request.method_string());
  ++requests_;
  current_request_ = owner_->next_request_id++;
  owner_->requests[current_request_] = weak_from_this();
  const request_id id{current_request_};
  // The next read starts before this request is answered, so that a client that
  // disconnects meanwhile is detected.
  Read();
  if (closing_ && read_error_status_ == 0) return;
  owner_->handler.on_request(id, std::move(request));
}

void http_server::state::session::EndRequest() {
  owner_->requests.erase(current_request_);
  current_request_ = 0;
}

void http_server::state::session::Reply(const http_reply& reply) {
  EndRequest();
  if (!socket_.is_open()) return;
  const bool close =
      !keep_alive_ || owner_->draining || read_error_status_ != 0;
  keep_alive_ = !close;
  std::string text = Serialize(reply, close, is_head_request_);
  if (writing_) {
    write_buffer_ = std::move(text);  // Sent after "100 Continue".
    return;
  }
  Write(std::move(text), close);
}

void http_server::state::session::Write(std::string text, bool close) {
  writing_ = true;
  write_buffer_ = std::move(text);
  last_progress_ = clock::now();
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this(), close](error_code error, std::size_t) {
        self->write_buffer_.clear();
        self->OnWritten(error, close);
      });
}

void http_server::state::session::OnWritten(error_code error, bool close) {
  writing_ = false;
  last_progress_ = clock::now();
  if (error) {
    Close();
    return;
  }
  if (close) {
    closing_ = true;
    error_code ignored;
    // Only sending is shut down; closing at once could reset the connection
    // before the client has read the answer.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (!reading_) Close();
    return;
  }
  if (pipelined_request_) {
    Dispatch();
  } else {
    Read();
  }
}

void http_server::state::session::Close() {
  const auto self = shared_from_this();
  closing_ = true;
  if (current_request_ != 0) {
    const request_id id{current_request_};
    EndRequest();
    owner_->handler.on_disconnect(id);
  }
  error_code ignored;
  socket_.close(ignored);
  owner_->sessions.erase(this);
}

void http_server::state::session::Sweep(clock::time_point now) {
  const gateway::client_limits& limits = owner_->limits;
  if (writing_) {
    if (now - last_progress_ > kWriteTimeout) Close();
    return;
  }
  if (current_request_ != 0) return;
  if (closing_) {
    if (now - last_progress_ > kLingerTimeout) Close();
    return;
  }
  const bool started = parser_ && (parser_->got_some() || buffer_.size() > 0);
  if (started && !request_started_) {
    request_started_ = true;
    last_progress_ = now;
  }
  const duration limit =
      request_started_ ? limits.header_timeout : limits.idle_timeout;
  if (now - last_progress_ > limit) Close();
}

http_server::http_server(asio::io_context& io, const std::string& address,
                         std::size_t max_connections, http_handler handler)
    : state_(std::make_shared<state>(io, max_connections, std::move(handler))) {
  const tcp::endpoint endpoint = ParseEndpoint(address);
  state_->acceptor.open(endpoint.protocol());
  state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  state_->acceptor.bind(endpoint);
  state_->acceptor.listen(kListenBacklog);
  state_->Accept();
}

http_server::~http_server() {
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->accept_timer.cancel();
  state_->handler = {[](request_id, http_request&&) {}, [](request_id) {}};
  while (!state_->sessions.empty()) {
    state_->sessions.begin()->second->Close();
  }
}

void http_server::state::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          self->AcceptLater();
          return;
        }
        ++self->counters.accepted;
        if (self->sessions.size() >= self->max_connections) {
          ++self->counters.rejected;
        } else {
          self->Serve(std::move(socket));
        }
        if (self->acceptor.is_open()) self->Accept();
      });
}

void http_server::state::Serve(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto fresh = std::make_shared<session>(std::move(socket), shared_from_this());
  sessions.emplace(fresh.get(), fresh);
  fresh->Read();
}

void http_server::state::AcceptLater() {
  ++counters.accept_failures;
  accept_timer.expires_after(kAcceptPause);
  accept_timer.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->acceptor.is_open()) self->Accept();
  });
}

void http_server::Reply(request_id request, const http_reply& reply) {
  const auto found = state_->requests.find(static_cast<std::uint64_t>(request));
  if (found == state_->requests.end()) return;
  if (const auto open = found->second.lock()) open->Reply(reply);
}

std::optional<client_connection> http_server::ConnectionOf(
    request_id request) const {
  const auto found = state_->requests.find(static_cast<std::uint64_t>(request));
  if (found == state_->requests.end()) return std::nullopt;
  const auto open = found->second.lock();
  if (!open) return std::nullopt;
  return open->Connection();
}

void http_server::SetLimits(const gateway::client_limits& limits) {
  state_->limits = limits;
  for (const auto& [key, one] : state_->sessions) one->ApplyLimits();
}

void http_server::StartDraining() { state_->draining = true; }

void http_server::Sweep() {
  const auto now = clock::now();
  std::vector<std::shared_ptr<state::session>> all;
  all.reserve(state_->sessions.size());
  for (const auto& [key, one] : state_->sessions) all.push_back(one);
  for (const auto& one : all) one->Sweep(now);
}

http_server_counters http_server::Counters() const {
  http_server_counters counters = state_->counters;
  counters.open = state_->sessions.size();
  return counters;
}

}  // namespace corianderrail::edge
