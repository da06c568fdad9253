/** @file http_server_state.h Private state of http_server. */

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
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "edge/held_bytes.h"
#include "edge/http_server.h"
#include "edge/socket_state.h"
#include "gateway/admission/memory_shares.h"

namespace corianderrail::edge {

struct http_server::state : std::enable_shared_from_this<http_server::state> {
  using clock = std::chrono::steady_clock;
  class session;

  state(boost::asio::io_context& io, std::size_t limit, http_handler given)
      : acceptor(io),
        accept_timer(io),
        max_connections(limit),
        handler(std::move(given)) {}

  void Accept();
  void AcceptLater();
  void Serve(boost::asio::ip::tcp::socket socket);
  void EndAll(held_bytes& held,
              const std::vector<gateway::given_up_message>& given_up);

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer accept_timer;  ///< After an error.
  std::size_t max_connections;
  http_handler handler;
  gateway::client_limits limits;
  http_server_counters counters;
  bool draining = false;
  held_bytes answers{held_kind::answer,
                     gateway::SharesOf(gateway::kDefaultMemoryLimit).answers,
                     gateway::byte_flow::read_by_peer};
  held_bytes incomplete{
      held_kind::client_request,
      gateway::SharesOf(gateway::kDefaultMemoryLimit).client_requests,
      gateway::byte_flow::sent_by_peer};
  std::uint64_t next_request_id = 1;
  std::uint64_t next_session_id = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<session>> sessions;
  std::unordered_map<std::uint64_t, std::weak_ptr<session>> requests;
};

/** One client connection. */
class http_server::state::session
    : public std::enable_shared_from_this<session> {
 public:
  session(boost::asio::ip::tcp::socket socket, std::shared_ptr<state> owner)
      : socket_(std::move(socket)),
        owner_(std::move(owner)),
        id_(owner_->next_session_id++),
        address_(PeerAddressId(socket_)),
        round_trip_(RoundTripTime(socket_)) {}

  void Read();
  void Reply(const http_reply& reply);
  void Close();
  void Sweep(clock::time_point now);
  void ApplyLimits();
  void End(held_bytes& held, end_cause cause, std::size_t bytes,
           duration behind);
  std::uint64_t Id() const { return id_; }
  client_connection Connection() const { return {round_trip_, requests_ <= 1}; }

 private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  gateway::message_id Message() const { return gateway::message_id{id_}; }
  void OnHeader(boost::system::error_code error);
  void BeginBody();
  void ReadBody();
  void OnMessage(boost::system::error_code error);
  void OnReadError(boost::system::error_code error);
  void Dispatch();
  void Write(std::string text, bool close);
  std::size_t OnWriteStep(std::size_t written);
  void CountAnswer();
  void CountRequest();
  void SweepUnread(clock::time_point now);
  void SweepWrite(clock::time_point now);
  void EndUnread(clock::time_point now);
  void OnWritten(boost::system::error_code error, bool close);
  void SendContinue();
  void EndRequest();

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<state> owner_;
  std::uint64_t id_;
  gateway::sender_id address_;          ///< Of the client.
  std::optional<duration> round_trip_;  ///< Measured by the handshake.
  std::uint64_t requests_ = 0;          ///< Dispatched on this connection.
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  /** Complete request that is not dispatched yet. */
  std::optional<http_request> pipelined_request_;
  std::string write_buffer_;
  std::size_t written_ = 0;        ///< Bytes of `write_buffer_`.
  std::uint64_t sent_ = 0;         ///< Bytes written on this connection.
  std::uint64_t confirmed_ = 0;    ///< Those of them that the client received.
  bool answer_unread_ = false;     ///< An answer may not be confirmed yet.
  std::size_t request_bytes_ = 0;  ///< Of a partial request, as counted.
  std::uint64_t current_request_ = 0;  ///< Identifier; 0 for none.
  bool keep_alive_ = true;
  bool is_head_request_ = false;  ///< Answered without a body.
  bool reading_ = false;
  /** The head of the next request is complete. Its body is read once the
   *  present request is answered, so that only one body is held. */
  bool body_waits_ = false;
  bool writing_ = false;
  bool closing_ = false;  ///< Reads and serves no more.
  /** Status of a read error during a request or write; 0 for none. The
   *  connection is closed after the current answer. */
  int read_error_status_ = 0;
  clock::time_point last_progress_ = clock::now();
  bool request_started_ = false;  ///< Sweep() saw a partial request.
};

}  // namespace corianderrail::edge
