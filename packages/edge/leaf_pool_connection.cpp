/** @file leaf_pool_connection.cpp One HTTP connection to a leaf. */

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "edge/http_server.h"
#include "edge/leaf_pool_state.h"
#include "edge/stream_end.h"
#include "platform/message_codec.h"

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using gateway::leaf_call;
using gateway::leaf_failure;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

/** Largest body and header of a leaf's answer. The answer is kept in memory
 *  until it is complete. */
constexpr std::size_t kMaxAnswerBytes = 8u << 20;
constexpr std::uint32_t kMaxAnswerHeaderBytes = 64u << 10;

/** The same for an answer that does not state its length. A leaf in trouble may
 *  send without end. */
constexpr std::size_t kMaxUnsizedAnswerBytes = 4u << 20;

/** Bodies that are announced as larger are read in pieces, so that they count
 *  while they arrive. */
constexpr std::size_t kSmallAnswerBytes = 64u << 10;

/** A request of at most this size is counted only if the leaf has not read it
 *  at a later check, so that usual requests cost no accounting. */
constexpr std::size_t kSmallRequestBytes = 16u << 10;

/** Interim (1xx) answers before the answer. */
constexpr std::uint32_t kMaxInterimAnswers = 8;

/** A connection attempt to a leaf fails after this time, so that the request
 *  can go to another leaf. */
constexpr std::chrono::milliseconds kConnectTimeout{300};

/** A connection is closed this long before the idle limit that the leaf
 *  states, so that no request is sent while the leaf closes the connection. */
constexpr std::chrono::milliseconds kIdleMargin{700};

std::optional<std::chrono::seconds> StatedIdleLimit(
    const platform::http_response& answer) {
  const auto field = answer[http::field::keep_alive];
  const std::string_view value(field.data(), field.size());
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = value.substr(at + kTimeout.size());
  int seconds = 0;
  const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::size_t RequestBytes(const gateway::client_request& request) {
  std::size_t bytes = request.target.size() + request.body.size();
  for (const gateway::header_field& field : request.fields) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

void leaf_pool::state::connection::Open(const std::string& address) {
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (error) return;
    error_code ignored;
    self->socket_.close(ignored);
  });
  socket_.async_connect(
      ParseEndpoint(address), [self = shared_from_this()](error_code error) {
        self->timer_.cancel();
        if (self->closed_) return;
        error_code ignored;
        const bool ok = !error && self->socket_.is_open();
        if (ok) self->socket_.set_option(tcp::no_delay(true), ignored);
        // A leaf at its connection limit accepts and then resets; if nothing
        // listens on the address, the connection is refused.
        const bool full = error == asio::error::connection_reset;
        self->owner_->OnOpened(self->handle_, self,
                               ok     ? open_outcome::open
                               : full ? open_outcome::full
                                      : open_outcome::failed);
        if (ok && !self->current_) self->BecomeIdle();
      });
}

void leaf_pool::state::connection::Send(gateway::send_leaf_effect effect) {
  write_buffer_ = platform::EncodeLeafRequest(
      *effect.request, effect.remaining_time, effect.instance);
  current_ = std::move(effect);
  interim_answers_ = 0;
  owner_->busy[static_cast<std::uint64_t>(current_->call)] = weak_from_this();
  writing_ = true;
  write_error_.clear();
  written_ = 0;
  unread_ = true;
  in_flight_ = RequestBytes(*current_->request);
  owner_->leafs[handle_].in_flight += in_flight_;
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        return error ? 0 : self->OnWriteStep(size);
      },
      [self = shared_from_this()](error_code error, std::size_t) {
        // An answer may still arrive, so the read decides the
        // outcome.
        self->writing_ = false;
        self->write_error_ = error;
        // Not clear(), which would keep the memory while the connection is
        // idle.
        self->write_buffer_ = {};
      });
  StartRead();
  if (write_buffer_.size() > kSmallRequestBytes) CountUnread();
}

/** @return How much to write next. */
std::size_t leaf_pool::state::connection::OnWriteStep(std::size_t written) {
  constexpr std::size_t kPiece = 64u << 10;
  sent_ += written - written_;
  written_ = written;
  const std::size_t left = write_buffer_.size() - written;
  if (written > 0 && left > 0) CountUnread();
  return closed_ ? 0 : std::min(left, kPiece);
}

/** Counts what the leaf has not read: the request, which is kept until all of
 *  it is written, and what the system holds. */
void leaf_pool::state::connection::CountUnread() {
  if (closed_ || !current_ || !unread_) return;
  const gateway::message_id message{static_cast<std::uint64_t>(current_->call)};
  const std::size_t queued = UnconfirmedBytes(socket_);
  const std::uint64_t confirmed =
      std::max(confirmed_, sent_ - std::min<std::uint64_t>(queued, sent_));
  const std::size_t moved = confirmed - std::exchange(confirmed_, confirmed);
  const std::size_t held = write_buffer_.size() + queued;
  unread_ = held > 0;
  if (!unread_) {
    owner_->unread.Remove(message);
    return;
  }
  const gateway::sender_id leaf{static_cast<std::uint64_t>(handle_)};
  owner_->EndAll(owner_->unread, message,
                 owner_->unread.Update(message, leaf, held, moved));
}

// Reading starts together with the write, because a leaf may answer before it
// has read the whole request.
void leaf_pool::state::connection::StartRead() {
  parser_.emplace();
  parser_->body_limit(kMaxAnswerBytes);
  parser_->header_limit(kMaxAnswerHeaderBytes);
  if (current_->request->method == "HEAD") parser_->skip(true);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        self->OnHeader(error);
      });
}

// Beast reserves memory for the stated body length before it compares the
// length with the limit. The header is therefore read alone and the length
// checked here.
void leaf_pool::state::connection::OnHeader(error_code error) {
  if (closed_ || !current_) return;
  if (error || parser_->is_done()) {
    OnAnswer(error);
    return;
  }
  const auto length = parser_->content_length();
  if (length && *length > kMaxAnswerBytes) {
    OnAnswer(http::make_error_code(http::error::body_limit));
    return;
  }
  if (!length) parser_->body_limit(kMaxUnsizedAnswerBytes);
  if (!length || *length > kSmallAnswerBytes) {
    ReadBody();
    return;
  }
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t) {
        self->OnAnswer(failure);
      });
}

/** Reads the body in pieces, so that its size counts while it grows. */
void leaf_pool::state::connection::ReadBody() {
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_ || !self->current_) return;
        const std::size_t size = self->parser_->get().body().size();
        if (!error &&
            !self->owner_->Reserve(self->handle_, self->current_->call, size)) {
          return;  // Ended.
        }
        if (error || self->parser_->is_done()) {
          self->OnAnswer(error);
          return;
        }
        self->ReadBody();
      });
}

void leaf_pool::state::connection::OnAnswer(error_code error) {
  if (closed_ || !current_) return;
  owner_->incomplete.Remove(
      gateway::message_id{static_cast<std::uint64_t>(current_->call)});
  // Only the end of the connection says that such an answer is complete.
  const bool ends_here = !error && parser_->need_eof();
  if (ends_here && !EndedInOrder(SignsOf(socket_, error, write_error_))) {
    error = asio::error::connection_reset;
  }
  if (error) {
    const bool protocol_error =
        error.category() ==
            http::make_error_code(http::error::bad_version).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    if (protocol_error) ++owner_->counters.malformed;
    // A leaf resets connections beyond its limit at their first use.
    const bool rejected = !has_answered_ &&
                          error == asio::error::connection_reset &&
                          !parser_->got_some();
    if (rejected) owner_->OnLimitReached(handle_);
    FailCall(protocol_error ? leaf_failure::malformed
             : rejected     ? leaf_failure::rejected
                            : leaf_failure::broken);
    Close();
    return;
  }
  const unsigned status = parser_->get().result_int();
  const bool interim = status >= 100 && status < 200;
  if (!interim) {
    Finish();
    return;
  }
  if (++interim_answers_ > kMaxInterimAnswers) {
    ++owner_->counters.malformed;
    FailCall(leaf_failure::malformed);
    Close();
    return;
  }
  StartRead();
}

void leaf_pool::state::connection::Finish() {
  has_answered_ = true;
  platform::http_response message = parser_->release();
  // This host would read bytes after the answer as the next answer, and the
  // leaf would read the rest of an unfinished write as the next request.
  const bool reusable = message.keep_alive() && !message.need_eof() &&
                        buffer_.size() == 0 && !writing_;
  if (const auto limit = StatedIdleLimit(message)) {
    idle_limit_ = *limit - std::min<clock::duration>(kIdleMargin, *limit);
  }
  gateway::leaf_answer answer = platform::DecodeLeafAnswer(std::move(message));
  const gateway::send_leaf_effect done = *current_;
  EndCall();
  const bool wrong_attempt =
      answer.attempt != done.request->attempt &&
      (!answer.attempt.empty() || owner_->NamesAttempts(handle_));
  if (!answer.attempt.empty()) owner_->leafs[handle_].names_attempts = true;
  const auto self = shared_from_this();
  if (wrong_attempt) {
    ++owner_->counters.malformed;
    owner_->Fail(done.call, leaf_failure::malformed);
    Close();
    return;
  }
  if (reusable) {
    BecomeIdle();
  } else {
    Close();
  }
  owner_->sink(gateway::leaf_answer_event{done.call, std::move(answer)});
}

void leaf_pool::state::connection::BecomeIdle() {
  idle_since_ = clock::now();
  parser_.reset();
  WatchIdle();
  owner_->OnIdle(handle_, shared_from_this());
}

void leaf_pool::state::connection::WatchIdle() {
  if (watching_) return;
  watching_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code) {
                       self->watching_ = false;
                       if (self->closed_ || self->current_) return;
                       // The leaf closed the connection or sent bytes that
                       // belong to no request.
                       self->Close();
                     });
}

void leaf_pool::state::connection::FailCall(leaf_failure failure) {
  if (!current_) return;
  const leaf_call call = current_->call;
  EndCall();
  owner_->Fail(call, failure);
}

/** Forgets the present call and what is counted for it. */
void leaf_pool::state::connection::EndCall() {
  const auto call = static_cast<std::uint64_t>(current_->call);
  owner_->busy.erase(call);
  owner_->incomplete.Remove(gateway::message_id{call});
  owner_->unread.Remove(gateway::message_id{call});
  const auto leaf = owner_->leafs.find(handle_);
  if (leaf != owner_->leafs.end()) leaf->second.in_flight -= in_flight_;
  in_flight_ = 0;
  current_.reset();
}

/** Fails the call and drops what the connection holds. A request may have been
 *  received in whole, so the call counts as broken. */
void leaf_pool::state::connection::End(held_bytes& held,
                                       const gateway::given_up_message& cause) {
  const connection_end end{held.Kind(), CauseOf(cause.bound), PeerName(socket_),
                           cause.bytes, cause.behind};
  const bool of_answer = held.Kind() == held_kind::leaf_answer;
  if (of_answer) ++owner_->counters.malformed;
  FailCall(of_answer ? leaf_failure::malformed : leaf_failure::broken);
  if (!of_answer) ResetConnection(socket_);
  Close();
  held.Report(owner_->on_end, end);
}

void leaf_pool::state::connection::Close() {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  if (current_) EndCall();
  error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  owner_->OnClosed(handle_, self);
}

}  // namespace corianderrail::edge
