/** @file standin_server.cpp HTTP server of the stand-ins, based on cxxtools. */

#include "standin/standin_server.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdlib>
#include <istream>
#include <ostream>
#include <thread>
#include <utility>

namespace corianderrail {

namespace {

std::uint16_t LocalPort(const cxxtools::net::TcpSocket& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket.getFd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

class standin_service;

class standin_responder : public cxxtools::http::Responder {
 public:
  explicit standin_responder(standin_service& service);

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                    cxxtools::http::Request& request) override {
    port_ = LocalPort(socket);
    cxxtools::http::Responder::beginRequest(socket, in, request);
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override;

 private:
  standin_service& service_;
  std::uint16_t port_ = 0;
};

class standin_service : public cxxtools::http::CachedServiceBase {
 public:
  explicit standin_service(standin_server::handler given)
      : handle(std::move(given)) {}
  standin_server::handler handle;  ///< Answers each request.

 protected:
  // NOLINTNEXTLINE(readability-identifier-naming): declared by cxxtools.
  cxxtools::http::Responder* newResponder() override {
    return new standin_responder(*this);
  }
};

standin_responder::standin_responder(standin_service& service)
    : cxxtools::http::Responder(service), service_(service) {}

void standin_responder::reply(std::ostream& out,
                              cxxtools::http::Request& request,
                              cxxtools::http::Reply& reply) {
  standin_request from;
  from.port = port_;
  from.method = request.method();
  from.path = request.url();
  const cxxtools::QueryParams parameters(request.qparams());
  from.parameter = [&](const char* name) -> std::optional<std::string> {
    if (parameters.paramcount(name) == 0) return std::nullopt;
    return parameters.param(name);
  };
  from.header = [&request](const char* name) -> std::optional<std::string> {
    const char* value = request.getHeader(name);
    if (value == nullptr) return std::nullopt;
    return std::string(value);
  };
  from.body = request.bodyStr();
  const auto answer = service_.handle(from);
  reply.httpReturn(answer.code, answer.code == 200 ? "OK" : "Error");
  for (const auto& header : answer.headers) {
    reply.setHeader(header.name.c_str(), header.value.c_str());
  }
  out << answer.body;
}

}  // namespace

std::uint64_t standin_request::Number(const char* name,
                                      std::uint64_t absent) const {
  const auto found = parameter(name);
  if (!found) return absent;
  return std::strtoull(found->c_str(), nullptr, 10);
}

struct standin_server::state {
  explicit state(handler handle) : service(std::move(handle)), server(loop) {}
  standin_service service;
  cxxtools::EventLoop loop;
  cxxtools::http::Server server;
  std::thread thread;
};

standin_server::standin_server(const std::vector<std::uint16_t>& ports,
                               unsigned threads, handler handle)
    : state_(std::make_unique<state>(std::move(handle))) {
  auto& server = state_->server;
  server.minThreads(8);
  server.maxThreads(threads);
  server.keepAliveTimeout(cxxtools::Milliseconds(600'000.0));
  server.addService(cxxtools::Regex(".*"), state_->service);
  for (const auto port : ports) server.listen("127.0.0.1", port);
}

standin_server::~standin_server() {
  if (!state_->thread.joinable()) return;
  state_->loop.exit();
  state_->thread.join();
}

void standin_server::Start() {
  state_->thread = std::thread([this] { state_->loop.run(); });
}

void standin_server::Run() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::thread serving([this] { state_->loop.run(); });
  int number = 0;
  sigwait(&signals, &number);
  // Exits without waiting for open requests: a fault may keep them open.
  std::_Exit(0);
}

}  // namespace corianderrail
