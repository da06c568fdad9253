/** @file caller_server.cpp HTTP server for callers, with bounded input. */

#include "node/caller_server.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <istream>
#include <ostream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "node/caller_routes.h"
#include "wire/http_client.h"
#include "wire/json_value.h"
#include "wire/leaf_codec.h"

namespace corianderrail {

namespace {

/** Threads in addition to those that may wait for an outcome, so that refusals
 *  and health checks are answered while all of the others are waiting. */
constexpr unsigned kSpareThreads = 8;

/** Time limits of slow or idle client connections. */
constexpr double kReadTimeoutMs = 5000;
constexpr double kWriteTimeoutMs = 10'000;
constexpr double kKeepAliveMs = 60'000;

/** A request that is refused while its header or body is read. */
class bad_request_error : public std::runtime_error {
 public:
  bad_request_error(unsigned code, const std::string& text)
      : std::runtime_error(text), code_(code) {}
  unsigned Code() const { return code_; }

 private:
  unsigned code_;
};

const char* ReasonPhrase(unsigned code) {
  switch (code) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

class caller_service;

/** Checks and answers one request at a time. */
class caller_responder : public cxxtools::http::Responder {
 public:
  explicit caller_responder(caller_service& service);

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                    cxxtools::http::Request& request) override;
  std::size_t readBody(std::istream& in) override;
  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override;
  void replyError(std::ostream& out, cxxtools::http::Request& request,
                  cxxtools::http::Reply& reply,
                  const std::exception& error) override;

 private:
  void Write(std::ostream& out, cxxtools::http::Reply& reply,
             const caller_reply& from, bool close);

  caller_routes& routes_;
  /** Body bytes read, plus the limit minus the Content-Length if there is one.
   *  One comparison with the limit thus finds a body that exceeds its
   *  Content-Length and, without that header, one that exceeds the limit. */
  std::size_t received_ = 0;
};

/** Creates the responders, which cxxtools caches. */
class caller_service : public cxxtools::http::CachedServiceBase {
 public:
  explicit caller_service(caller_routes& given) : routes(given) {}
  caller_routes& routes;  ///< Shared by all responders.

 protected:
  // NOLINTNEXTLINE(readability-identifier-naming): name set by cxxtools.
  cxxtools::http::Responder* newResponder() override {
    return new caller_responder(*this);
  }
};

caller_responder::caller_responder(caller_service& service)
    : cxxtools::http::Responder(service), routes_(service.routes) {}

void caller_responder::beginRequest(cxxtools::net::TcpSocket& socket,
                                    std::istream& in,
                                    cxxtools::http::Request& request) {
  received_ = 0;
  if (request.hasHeader("Transfer-Encoding")) {
    throw bad_request_error(
        411, "chunked bodies are not supported; send Content-Length");
  }
  const char* length = request.getHeader("Content-Length");
  if (length != nullptr) {
    std::uint64_t size = 0;
    try {
      size = ReadNumber("Content-Length", length, kMaxCallerBodyBytes);
    } catch (const wire_error& error) {
      const bool all_digits = std::string_view(length).find_first_not_of(
                                  "0123456789") == std::string_view::npos;
      throw bad_request_error(all_digits && *length != '\0' ? 413 : 400,
                              error.what());
    }
    received_ = kMaxCallerBodyBytes - size;
  }
  cxxtools::http::Responder::beginRequest(socket, in, request);
}

std::size_t caller_responder::readBody(std::istream& in) {
  const std::size_t count = cxxtools::http::Responder::readBody(in);
  received_ += count;
  if (received_ > kMaxCallerBodyBytes) {
    throw bad_request_error(413,
                            "the body exceeds its Content-Length or the limit");
  }
  return count;
}

void caller_responder::Write(std::ostream& out, cxxtools::http::Reply& reply,
                             const caller_reply& from, bool close) {
  reply.httpReturn(from.code, ReasonPhrase(from.code));
  reply.setHeader("Content-Type", from.type.c_str());
  if (close) reply.setHeader("Connection", "close");
  out << from.body;
}

void caller_responder::reply(std::ostream& out,
                             cxxtools::http::Request& request,
                             cxxtools::http::Reply& reply) {
  const auto answer = routes_.Handle(
      {request.method(), request.url(), request.qparams(), request.bodyStr()});
  Write(out, reply, answer, routes_.ShouldClose());
}

void caller_responder::replyError(std::ostream& out, cxxtools::http::Request&,
                                  cxxtools::http::Reply& reply,
                                  const std::exception& error) {
  const auto* refused = dynamic_cast<const bad_request_error*>(&error);
  const unsigned code = refused == nullptr ? 400 : refused->Code();
  // It is unknown how much of the request remains unread, so the connection
  // is closed.
  Write(out, reply,
        RefusedReply(code, refusal_reason::bad_request, error.what()), true);
}

}  // namespace

struct caller_server::state {
  explicit state(caller_backend backend)
      : routes(std::move(backend)), service(routes), server(loop) {}

  caller_routes routes;
  caller_service service;
  cxxtools::EventLoop loop;
  cxxtools::http::Server server;
  std::thread thread;
};

caller_server::caller_server(const std::string& address, std::uint32_t threads,
                             caller_backend backend)
    : state_(std::make_unique<state>(std::move(backend))) {
  auto& server = state_->server;
  server.readTimeout(cxxtools::Milliseconds(kReadTimeoutMs));
  server.writeTimeout(cxxtools::Milliseconds(kWriteTimeoutMs));
  server.keepAliveTimeout(cxxtools::Milliseconds(kKeepAliveMs));
  server.minThreads(kSpareThreads);
  server.maxThreads(threads + kSpareThreads);
  server.addService(cxxtools::Regex(".*"), state_->service);
  try {
    const auto endpoint = ParseIpEndpoint(address);
    server.listen(endpoint.ip, endpoint.port);
  } catch (const std::exception& error) {
    throw wire_error(wire_error::kind::transport_failed,
                     "cannot listen on caller address " + address + ": " +
                         error.what() +
                         "; check 'caller_address' in the settings");
  }
}

void caller_server::Start() {
  state_->thread = std::thread([this] { state_->loop.run(); });
}

caller_server::~caller_server() {
  if (!state_->thread.joinable()) return;
  state_->loop.exit();
  state_->thread.join();
}

std::uint64_t caller_server::RefusedCalls() const {
  return state_->routes.RefusedCalls();
}

}  // namespace corianderrail
