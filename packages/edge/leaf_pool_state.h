/** @file leaf_pool_state.h Private state of leaf_pool. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "edge/held_bytes.h"
#include "edge/leaf_pool.h"
#include "edge/socket_state.h"
#include "gateway/admission/byte_budget.h"

namespace corianderrail::edge {

/** Result of a connection attempt; `full` means that the leaf has reached its
 *  connection limit. */
enum class open_outcome : std::uint8_t { open, full, failed };

struct leaf_pool::state : std::enable_shared_from_this<leaf_pool::state> {
  using clock = std::chrono::steady_clock;
  class connection;
  using connection_ptr = std::shared_ptr<connection>;

  /** All connections to one leaf. */
  struct leaf {
    std::string address;
    std::uint32_t max_connections = 1;  ///< Set by the last request.
    std::uint32_t opening = 0;          ///< Connections being opened.
    clock::time_point full_until{};     ///< At its connection limit until then.
    time_point send_before = kNever;    ///< Requests that wait then fail.
    bool probe_pending = false;         ///< A Connect() awaits its event.
    bool disconnecting = false;         ///< Connections close once idle.
    bool keep_idle = true;              ///< Set by the last request.
    bool names_attempts = false;        ///< An answer has named its attempt.
    std::size_t in_flight = 0;  ///< Bytes of requests without an answer.
    std::vector<connection_ptr> all;
    std::vector<connection_ptr> idle;  ///< Most recently used last.
    std::deque<gateway::send_leaf_effect> pending;
  };

  state(boost::asio::io_context& given, event_sink given_sink)
      : io(given), sink(std::move(given_sink)) {}

  leaf& Leaf(gateway::leaf_handle handle, const std::string& address);
  void SendPending(gateway::leaf_handle handle);
  void Withdraw(leaf& from);
  bool Drop(gateway::leaf_call call);
  bool HasRoom(const leaf& to, const gateway::send_leaf_effect& next) const;
  void Open(gateway::leaf_handle handle, leaf& to);
  void OnOpened(gateway::leaf_handle handle, const connection_ptr& one,
                open_outcome outcome);
  void OnLimitReached(gateway::leaf_handle handle);
  bool NamesAttempts(gateway::leaf_handle handle) const;
  void OnIdle(gateway::leaf_handle handle, const connection_ptr& one);
  void OnClosed(gateway::leaf_handle handle, const connection_ptr& one);
  void Fail(gateway::leaf_call call, gateway::leaf_failure failure);
  bool Reserve(gateway::leaf_handle handle, gateway::leaf_call call,
               std::size_t bytes);
  bool EndAll(held_bytes& held, gateway::message_id present,
              const std::vector<gateway::given_up_message>& given_up);
  connection_ptr PopIdle(leaf& from, bool recent_only);

  boost::asio::io_context& io;
  event_sink sink;
  leaf_pool_counters counters;
  connection_end_sink on_end;
  /** Answers by leaf. Leafs in trouble may send without end. */
  held_bytes incomplete{
      held_kind::leaf_answer,
      gateway::SharesOf(gateway::kDefaultMemoryLimit).leaf_answers,
      gateway::byte_flow::sent_by_peer};
  /** Requests by leaf; without a bound until one is set, since only its user
   *  knows the largest request. */
  held_bytes unread{held_kind::leaf_request,
                    {std::numeric_limits<std::size_t>::max()},
                    gateway::byte_flow::read_by_peer};
  std::size_t max_in_flight = gateway::kMinLeafBytesInFlight;  ///< A leaf.
  std::map<gateway::leaf_handle, leaf> leafs;
  std::unordered_map<std::uint64_t, std::weak_ptr<connection>> busy;
};

/** One connection to a leaf; serves one request at a time. */
class leaf_pool::state::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<state> owner, gateway::leaf_handle handle)
      : owner_(std::move(owner)),
        handle_(handle),
        socket_(owner_->io),
        timer_(owner_->io) {}

  void Open(const std::string& address);
  void Send(gateway::send_leaf_effect effect);
  void End(held_bytes& held, const gateway::given_up_message& cause);
  void CountUnread();
  void Close();

  clock::time_point IdleSince() const { return idle_since_; }
  clock::time_point IdleUntil() const { return idle_since_ + idle_limit_; }

 private:
  /** Received bytes that are not parsed yet: twice the largest header. Beast
   *  itself does not limit the length of chunk extensions and trailers. */
  static constexpr std::size_t kMaxUnparsedBytes = 128u << 10;

  /** Idle limit of connections to leafs that state none in Keep-Alive. */
  static constexpr std::chrono::seconds kDefaultIdleLimit{30};

  using parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void StartRead();
  void OnHeader(boost::system::error_code error);
  void ReadBody();
  void OnAnswer(boost::system::error_code error);
  void Finish();
  void BecomeIdle();
  void WatchIdle();
  void FailCall(gateway::leaf_failure failure);
  void EndCall();
  std::size_t OnWriteStep(std::size_t written);

  std::shared_ptr<state> owner_;
  gateway::leaf_handle handle_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<parser> parser_;
  std::optional<gateway::send_leaf_effect> current_;
  std::string write_buffer_;
  std::size_t written_ = 0;      ///< Bytes of `write_buffer_`.
  std::uint64_t sent_ = 0;       ///< Bytes written on this connection.
  std::uint64_t confirmed_ = 0;  ///< Those of them that the leaf received.
  bool unread_ = false;          ///< The request may not be confirmed yet.
  std::size_t in_flight_ = 0;    ///< Bytes of the present request.
  std::uint32_t interim_answers_ = 0;  ///< Since the request was sent.
  bool writing_ = false;
  boost::system::error_code write_error_;  ///< Of the present request.
  bool closed_ = false;
  bool has_answered_ = false;  ///< At least one answer was complete.
  bool watching_ = false;      ///< A wait for input while idle is open.
  clock::time_point idle_since_{};
  clock::duration idle_limit_ = kDefaultIdleLimit;
};

/** Size of a request, without the few fields that are added to it. */
std::size_t RequestBytes(const gateway::client_request& request);

}  // namespace corianderrail::edge
