/** @file http_session.cpp One client connection, based on Boost.Beast. */

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>
#include <utility>

#include "edge/http_server_state.h"
#include "edge/reply_text.h"
#include "edge/request_framing.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

/** A connection is closed when writing an answer takes longer than this. */
constexpr std::chrono::seconds kWriteTimeout{10};

/** Time for the client to close the connection after this side has shut down
 *  sending. */
constexpr std::chrono::seconds kLingerTimeout{1};

/** Received bytes beyond the header limit that are not parsed yet. Beast itself
 *  does not limit the length of chunk extensions and trailers. */
constexpr std::size_t kMaxUnparsedBytes = 128u << 10;

/** An answer of at most this size is counted only if it is unread at a later
 *  check, so that usual answers cost no accounting. */
constexpr std::size_t kSmallAnswerBytes = 16u << 10;

/** A connection is closed at once after its last answer if at most this much of
 *  it is unconfirmed, else once the client has confirmed it. */
constexpr std::size_t kMaxUnconfirmedAtClose = 4u << 10;

/** Capacity that an idle connection may keep for the next request. */
constexpr std::size_t kMaxIdleCapacity = 4u << 10;

bool IsHeadMethod(boost::beast::string_view method) { return method == "HEAD"; }

}  // namespace

void http_server::state::session::Read() {
  if (reading_ || closing_) return;
  reading_ = true;
  request_started_ = false;
  if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleCapacity) {
    buffer_.shrink_to_fit();
  }
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
  if (current_request_ != 0 || writing_) {
    body_waits_ = true;
    return;
  }
  BeginBody();
}

void http_server::state::session::BeginBody() {
  body_waits_ = false;
  if (iequals(parser_->get()[http::field::expect], "100-continue")) {
    SendContinue();
  }
  parser_->eager(true);
  ReadBody();
}

/** Reads the body in pieces, so that its size counts while it grows. */
void http_server::state::session::ReadBody() {
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        if (!self->socket_.is_open()) return;
        if (error || self->parser_->is_done()) {
          self->OnMessage(error);
          return;
        }
        self->CountRequest();
        if (self->socket_.is_open()) self->ReadBody();
      });
}

void http_server::state::session::SendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  writing_ = true;
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](error_code, std::size_t size) {
                      self->writing_ = false;
                      self->sent_ += size;
                      if (!self->write_buffer_.empty()) {
                        self->Write(std::move(self->write_buffer_),
                                    !self->keep_alive_);
                      } else if (self->pipelined_request_) {
                        self->Dispatch();
                      }
                    });
}

void http_server::state::session::OnMessage(error_code error) {
  if (error) {
    OnReadError(error);
    return;
  }
  reading_ = false;
  request_bytes_ = 0;
  owner_->incomplete.Remove(Message());
  last_progress_ = clock::now();
  pipelined_request_ = parser_->release();
  if (current_request_ == 0 && !writing_) Dispatch();
}

void http_server::state::session::OnReadError(error_code error) {
  reading_ = false;
  request_bytes_ = 0;
  owner_->incomplete.Remove(Message());
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
  written_ = 0;
  answer_unread_ = true;
  last_progress_ = clock::now();
  if (write_buffer_.size() > kSmallAnswerBytes) CountAnswer();
  if (!socket_.is_open()) return;
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        return error ? 0 : self->OnWriteStep(size);
      },
      [self = shared_from_this(), close](error_code error, std::size_t) {
        // Not clear(), which would keep the memory while the connection is
        // idle.
        self->write_buffer_ = {};
        self->OnWritten(error, close);
      });
}

/** @return How much to write next. */
std::size_t http_server::state::session::OnWriteStep(std::size_t written) {
  constexpr std::size_t kPiece = 64u << 10;
  sent_ += written - written_;
  written_ = written;
  const std::size_t left = write_buffer_.size() - written;
  if (written > 0 && left > 0) CountAnswer();
  return socket_.is_open() ? std::min(left, kPiece) : 0;
}

/** Counts what the client has not read: the answer, which is kept until all of
 *  it is written, and what the system holds. */
void http_server::state::session::CountAnswer() {
  if (!socket_.is_open()) return;
  const std::size_t queued = UnconfirmedBytes(socket_);
  const std::uint64_t confirmed =
      std::max(confirmed_, sent_ - std::min<std::uint64_t>(queued, sent_));
  const std::size_t moved = confirmed - std::exchange(confirmed_, confirmed);
  const std::size_t held = write_buffer_.size() + queued;
  answer_unread_ = held > 0;
  if (held == 0) {
    owner_->answers.Remove(Message());
    return;
  }
  owner_->EndAll(owner_->answers,
                 owner_->answers.Update(Message(), address_, held, moved));
}

/** Counts what has arrived of a request that is not complete. */
void http_server::state::session::CountRequest() {
  if (!socket_.is_open()) return;
  const std::size_t held = buffer_.size() + parser_->get().body().size();
  const std::size_t moved = held - std::min(held, request_bytes_);
  request_bytes_ = held;
  if (held == 0) return;
  owner_->EndAll(owner_->incomplete,
                 owner_->incomplete.Update(Message(), address_, held, moved));
}

/** Ends the connection and drops what it holds. */
void http_server::state::session::End(held_bytes& held, end_cause cause,
                                      std::size_t bytes, duration behind) {
  const connection_end end{held.Kind(), cause, PeerName(socket_), bytes,
                           behind};
  ResetConnection(socket_);
  Close();
  held.Report(owner_->handler.on_end, end);
}

void http_server::state::session::OnWritten(error_code error, bool close) {
  writing_ = false;
  last_progress_ = clock::now();
  if (!socket_.is_open()) return;
  if (error) {
    Close();
    return;
  }
  if (written_ > kSmallAnswerBytes) CountAnswer();
  if (!socket_.is_open()) return;
  if (close) {
    closing_ = true;
    error_code ignored;
    // Only sending is shut down; closing at once could reset the connection
    // before the client has read the answer.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (!reading_ && UnconfirmedBytes(socket_) <= kMaxUnconfirmedAtClose) {
      Close();
    }
    return;
  }
  if (pipelined_request_) {
    Dispatch();
  } else if (body_waits_) {
    BeginBody();
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
  owner_->answers.Remove(Message());
  owner_->incomplete.Remove(Message());
  error_code ignored;
  socket_.close(ignored);
  owner_->sessions.erase(id_);
}

/** Counts an unread answer and ends the connection if it was not read in
 *  time. */
void http_server::state::session::SweepUnread(clock::time_point now) {
  if (!answer_unread_) return;
  CountAnswer();
  if (!socket_.is_open() || !answer_unread_) return;
  if (now - last_progress_ <= kWriteTimeout || current_request_ != 0) return;
  EndUnread(now);
}

/** Bounds the time of a write, also of one that is not counted. The client has
 *  not read its answer, so its next request counts as held for it. */
void http_server::state::session::SweepWrite(clock::time_point now) {
  if (now - last_progress_ > kWriteTimeout) {
    EndUnread(now);
    return;
  }
  if (reading_ && parser_->got_some()) CountRequest();
}

void http_server::state::session::EndUnread(clock::time_point now) {
  End(owner_->answers, end_cause::timeout,
      write_buffer_.size() + UnconfirmedBytes(socket_),
      std::chrono::duration_cast<duration>(now - last_progress_));
}

void http_server::state::session::Sweep(clock::time_point now) {
  SweepUnread(now);
  if (!socket_.is_open()) return;
  if (writing_) {
    SweepWrite(now);
    return;
  }
  if (current_request_ != 0) return;
  if (closing_) {
    if (!answer_unread_ && now - last_progress_ > kLingerTimeout) Close();
    return;
  }
  const bool started = parser_ && (parser_->got_some() || buffer_.size() > 0);
  if (started && !request_started_) {
    request_started_ = true;
    last_progress_ = now;
  }
  if (started) CountRequest();
  if (!socket_.is_open()) return;
  const gateway::client_limits& limits = owner_->limits;
  const duration limit =
      request_started_ ? limits.header_timeout : limits.idle_timeout;
  if (now - last_progress_ <= limit) return;
  if (!started) {
    Close();
    return;
  }
  End(owner_->incomplete, end_cause::timeout, request_bytes_,
      std::chrono::duration_cast<duration>(now - last_progress_));
}

}  // namespace corianderrail::edge
