/** @file http_getter.h GET requests to one address, one at a time. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/time_type.h"

namespace corianderrail::edge {

/** A whole answer. */
struct http_result {
  int status = 0;    ///< HTTP status.
  std::string body;  ///< Whole body.
};

/**
 * Keeps one connection. A read that fails or takes too long closes it, and
 * nothing that arrives later is taken for an answer.
 */
class http_getter {
 public:
  /** Called with the answer, or with nothing when there is none. */
  using callback = std::function<void(std::optional<http_result>)>;

  http_getter(boost::asio::io_context& io, std::string address);
  ~http_getter();
  http_getter(const http_getter&) = delete;
  http_getter& operator=(const http_getter&) = delete;

  /** @pre No other read is open. */
  void Get(const std::string& target, duration timeout, callback done);

  /** Ends the open read, if any, without an answer; its callback is called. */
  void Cancel();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderrail::edge
