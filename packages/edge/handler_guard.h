/** @file handler_guard.h Last line of defense against exceptions. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace corianderrail::edge {

/**
 * Calls handlers so that an exception ends what the handler was doing, and not
 * the process, which serves other clients. Each one is counted and reported.
 */
class handler_guard {
 public:
  /** Receives the name of the handler and the text of the exception. */
  using reporter = std::function<void(std::string_view, std::string_view)>;

  explicit handler_guard(reporter report) : report_(std::move(report)) {}

  /** Calls a handler. @return False when it threw. */
  template <typename Handler>
  bool Call(std::string_view name, Handler&& handler) {
    try {
      handler();
      return true;
    } catch (const std::exception& error) {
      ++failures_;
      report_(name, error.what());
      return false;
    }
  }

  /** Runs an event loop until it is stopped or has no work. */
  void Run(boost::asio::io_context& io) {
    while (!Call("event_loop", [&io] { io.run(); })) {
    }
  }

  std::uint64_t Failures() const { return failures_; }

 private:
  reporter report_;
  std::uint64_t failures_ = 0;
};

}  // namespace corianderrail::edge
