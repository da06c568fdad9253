/** @file fake_host.cpp HTTP server that replaces a host in tests. */

#include "fake_host.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <mutex>
#include <ostream>
#include <thread>

#include "support/free_port.h"

namespace corianderrail {

namespace {

/** Replies as scripted and records the requests. */
class scripted_service : public cxxtools::http::Service {
 public:
  explicit scripted_service(std::vector<scripted_reply> script)
      : script_(std::move(script)) {}

  scripted_reply Answer(const std::string& path, const std::string& body) {
    std::lock_guard<std::mutex> lock(mutex_);
    seen_.push_back({path, body});
    for (const scripted_reply& entry : script_) {
      if (entry.path == path) return entry;
    }
    return {path, 404, "{}"};
  }

  std::vector<seen_request> Seen() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  std::vector<scripted_reply> script_;
  mutable std::mutex mutex_;
  std::vector<seen_request> seen_;
};

class scripted_responder : public cxxtools::http::Responder {
 public:
  explicit scripted_responder(scripted_service& service)
      : Responder(service), service_(&service) {}

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    scripted_reply entry = service_->Answer(request.url(), request.bodyStr());
    reply.httpReturn(entry.code, "scripted");
    reply.setHeader("Content-Type", "application/json");
    out << entry.body;
  }

 private:
  scripted_service* service_;
};

cxxtools::http::Responder* scripted_service::createResponder(
    const cxxtools::http::Request&) {
  return new scripted_responder(*this);
}

}  // namespace

struct fake_host::state {
  explicit state(std::vector<scripted_reply> script)
      : service(std::move(script)),
        port(FreePort()),
        server(loop, "127.0.0.1", port) {
    server.addService(cxxtools::Regex(".*"), service);
    thread = std::thread([this] { loop.run(); });
  }
  ~state() {
    loop.exit();
    thread.join();
  }

  cxxtools::EventLoop loop;
  scripted_service service;
  std::uint16_t port;
  cxxtools::http::Server server;
  std::thread thread;
};

fake_host::fake_host(std::vector<scripted_reply> script)
    : state_(std::make_unique<state>(std::move(script))) {}
fake_host::~fake_host() = default;

std::string fake_host::Address() const {
  return "127.0.0.1:" + std::to_string(state_->port);
}

std::vector<seen_request> fake_host::Seen() const {
  return state_->service.Seen();
}

std::string ClosedAddress() {
  return "127.0.0.1:" + std::to_string(FreePort());
}

}  // namespace corianderrail
