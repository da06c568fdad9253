/** @file handler_guard_test.cpp Handlers that throw. */

#include "edge/handler_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace corianderrail::edge {

// Guards against an unexpected error in one handler that ends the process, and
// with it the requests of all clients.
TEST_CASE("Guard_HandlerThrows_OthersStillRun") {
  std::vector<std::string> reports;
  handler_guard guard([&](std::string_view name, std::string_view error) {
    reports.push_back(std::string(name) + ": " + std::string(error));
  });
  boost::asio::io_context io;
  int ran = 0;
  boost::asio::post(io, [&] { ++ran; });
  boost::asio::post(io, [] { throw std::runtime_error("first"); });
  boost::asio::post(io, [] { throw std::bad_alloc(); });
  boost::asio::post(io, [&] { ++ran; });
  guard.Run(io);
  CHECK(ran == 2);
  CHECK(guard.Failures() == 2);
  REQUIRE(reports.size() == 2);
  CHECK(reports[0] == "event_loop: first");
}

// Guards against a handler that counts as done although it threw.
TEST_CASE("Guard_Call_TellsWhetherItThrew") {
  handler_guard guard([](std::string_view, std::string_view) {});
  CHECK(guard.Call("x", [] {}));
  CHECK_FALSE(guard.Call("x", [] { throw std::logic_error("y"); }));
}

}  // namespace corianderrail::edge
