/** @file http_getter.h HTTP GET client for one address. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "core/time_type.h"

namespace corianderrail::edge {

/** A complete answer. */
struct http_result {
  int status = 0;    ///< HTTP status code.
  std::string body;  ///< May be empty.
};

/** Why a read gave no answer. */
enum class get_failure : std::uint8_t {
  unreachable,  ///< No complete answer in time, or not in the protocol.
  too_large,    ///< The answer exceeds the bound on its size.
};

using get_outcome = std::variant<http_result, get_failure>;

/**
 * Makes one read at a time and keeps the connection open between reads. The
 * connection is closed when a read fails or exceeds its timeout, so that a late
 * answer is never mistaken for the answer to the next read.
 */
class http_getter {
 public:
  using callback = std::function<void(get_outcome)>;

  http_getter(boost::asio::io_context& io, std::string address);
  ~http_getter();
  http_getter(const http_getter&) = delete;
  http_getter& operator=(const http_getter&) = delete;

  /**
   * Starts a read.
   * @param timeout Bounds connecting and, separately, the time until the answer
   *     begins. An answer that has begun may take longer while bytes arrive.
   * @pre No other read is open.
   */
  void Get(const std::string& target, duration timeout, callback done);

  /** Fails the open read, if any, as unreachable. */
  void Cancel();

  /** True while an answer has begun and is not complete. */
  bool Receiving() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderrail::edge
