/** @file standin_leaf.cpp Program that serves many stand-in leafs. */

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/leaf_model.h"
#include "standin/standin_server.h"

namespace corianderrail {

namespace {

/** Options of the command line. */
struct standin_leaf_options {
  int first_port = 0;     ///< Port of the first leaf.
  int count = 1;          ///< Number of leafs, one port each.
  int control_port = 0;   ///< Port of the control requests.
  int slots = 2;          ///< Concurrent requests per leaf.
  int queue = 8;          ///< Queue length per leaf.
  int service_us = 2000;  ///< Mean service time of a leaf.
  int seed = 1;      ///< Seed of the first leaf; the next have seed + 1, ...
  int snapshot = 1;  ///< Snapshot that the leafs hold at the start.
};

standin_leaf_options ReadOptions(int argc, const char** argv) {
  standin_leaf_options parsed;
  const auto number = [](const char* name, int& into, const char* help) {
    return poptOption{name, 0, POPT_ARG_INT, &into, 0, help, "N"};
  };
  std::array<poptOption, 10> options = {{
      number("first-port", parsed.first_port, "Port of the first leaf"),
      number("count", parsed.count, "Number of leafs"),
      number("control-port", parsed.control_port,
             "Port of the control requests"),
      number("slots", parsed.slots, "Slots per leaf"),
      number("queue", parsed.queue, "Queue length per leaf"),
      number("service-us", parsed.service_us, "Mean service time"),
      number("seed", parsed.seed, "Seed of the service times"),
      number("snapshot", parsed.snapshot, "Snapshot held at the start"),
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const auto context =
      poptGetContext("standin_leaf", argc, argv, options.data(), 0);
  const int code = poptGetNextOpt(context);
  if (code < -1) {
    std::fprintf(stderr, "standin_leaf: %s\n", poptStrerror(code));
    std::exit(2);
  }
  poptFreeContext(context);
  return parsed;
}

/** All leafs of the process and the control port. */
class leaf_group {
 public:
  explicit leaf_group(const standin_leaf_options& options)
      : control_port_(static_cast<std::uint16_t>(options.control_port)) {
    for (int i = 0; i < options.count; ++i) {
      leaf_settings settings;
      settings.slots = static_cast<std::uint32_t>(options.slots);
      settings.queue = static_cast<std::uint32_t>(options.queue);
      settings.service_us = static_cast<std::uint32_t>(options.service_us);
      settings.seed = static_cast<std::uint64_t>(options.seed) +
                      static_cast<std::uint64_t>(i);
      settings.snapshots = {static_cast<std::uint64_t>(options.snapshot)};
      leafs_[static_cast<std::uint16_t>(options.first_port + i)] =
          std::make_unique<leaf_model>(settings);
    }
  }

  std::vector<std::uint16_t> Ports() const {
    std::vector<std::uint16_t> ports = {control_port_};
    for (const auto& [port, leaf] : leafs_) ports.push_back(port);
    return ports;
  }

  standin_reply Handle(const standin_request& request) {
    if (request.port == control_port_) return Control(request);
    const auto found = leafs_.find(request.port);
    if (found == leafs_.end()) return {404, {}, "no leaf on this port\n"};
    return found->second->Handle(request);
  }

 private:
  /** Answers /standin/orders, /standin/requests and /standin/set, for the leaf
   *  that the parameter `port` names or for all leafs. */
  standin_reply Control(const standin_request& request) {
    const auto port = static_cast<std::uint16_t>(request.Number("port", 0));
    standin_reply reply;
    std::uint64_t requests = 0;
    for (const auto& [number, leaf] : leafs_) {
      if (port != 0 && port != number) continue;
      if (request.path == "/standin/orders") reply.body += leaf->Orders();
      if (request.path == "/standin/set") leaf->Configure(request);
      requests += leaf->Requests();
    }
    if (request.path == "/standin/requests") {
      reply.body = std::to_string(requests) + '\n';
    }
    return reply;
  }

  std::uint16_t control_port_;
  std::map<std::uint16_t, std::unique_ptr<leaf_model>> leafs_;
};

}  // namespace

}  // namespace corianderrail

int main(int argc, char** argv) {
  using namespace corianderrail;
  constexpr unsigned kThreads = 400;
  try {
    leaf_group leafs(ReadOptions(argc, const_cast<const char**>(argv)));
    standin_server server(leafs.Ports(), kThreads,
                          [&leafs](const standin_request& request) {
                            return leafs.Handle(request);
                          });
    server.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin_leaf: %s\n", error.what());
    return 4;
  }
  return 0;
}
