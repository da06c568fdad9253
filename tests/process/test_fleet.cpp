/** @file test_fleet.cpp Runs a small fleet of processes with stand-ins. */

#include "process/test_fleet.h"

#include <chrono>
#include <thread>

#include "contract/digest.h"
#include "wire/json_value.h"
#include "wire/wire_error.h"

namespace corianderrail {

namespace {

constexpr std::chrono::seconds kMaxWait{60};

const std::string contract_text = R"(format = 1
customer = "acme"

[answer]
preference = "coverage"

[floor]
urgent = 0.5
normal = 0.3
background = 0.1

[[work]]
kind = "search"
type = "query"
collection = "index"
rank = "urgent"
rate_per_s = 1000
burst = 500
latency_target_ms = 500
deadline_max_ms = 20000
min_coverage = 0.5

[[work]]
kind = "reserve"
type = "order"
collection = "index"
rank = "urgent"
rate_per_s = 1000
burst = 500
latency_target_ms = 500
deadline_max_ms = 20000
)";

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

}  // namespace

bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  return false;
}

test_fleet::test_fleet(int hosts)
    : first_leaf_(FreePorts(kLeafs)),
      control_port_(FreePort()),
      platform_port_(FreePort()) {
  for (int i = 0; i < hosts; ++i) {
    peer_ports_.push_back(FreePort());
    caller_ports_.push_back(FreePort());
  }
  WriteDocuments();
  leafs_ = std::make_unique<child_process>(
      "standin_leaf",
      std::vector<std::string>{
          "--first-port=" + std::to_string(first_leaf_),
          "--count=" + std::to_string(kLeafs),
          "--control-port=" + std::to_string(control_port_)},
      directory_.Path("leafs.log"));
  platform_ = std::make_unique<child_process>(
      "standin_platform",
      std::vector<std::string>{"--port=" + std::to_string(platform_port_),
                               "--directory=" + directory_.Path("documents")},
      directory_.Path("platform.log"));
  for (int i = 0; i < hosts; ++i) hosts_.push_back(StartHost(i));
}

void test_fleet::WriteDocuments() {
  std::string hosts;
  for (const auto port : peer_ports_) {
    if (!hosts.empty()) hosts += ",";
    hosts += "{\"address\":" + Quoted(Address(port)) + "}";
  }
  directory_.Write("documents/hosts.json", "{\"hosts\":[" + hosts + "]}");
  directory_.Write("documents/contracts/acme/1", contract_text);
  Publish(1);
  std::string topology =
      "format = 1\nversion = 1\nkey_space = 1000\n[[collection]]\n"
      "name = \"index\"\nslots = 2\nconnections = 20\n";
  for (int service = 0; service < 2; ++service) {
    topology += "[[service]]\nname = \"s" + std::to_string(service) +
                "\"\ncollection = \"index\"\nleafs = [" +
                Quoted(Address(LeafPort(2 * service)) + " zone-a") + ", " +
                Quoted(Address(LeafPort(2 * service + 1)) + " zone-b") + "]\n";
  }
  topology += "[[map]]\ncollection = \"index\"\nsnapshot = 1\n";
  directory_.Write("documents/topology", topology);
}

void test_fleet::Publish(std::uint64_t revision) const {
  std::string seats;
  for (const auto port : peer_ports_) seats += Quoted(Address(port)) + ", ";
  const std::string number = std::to_string(revision);
  directory_.Write("documents/contracts/set/" + number,
                   "format = 1\nrevision = " + number + "\nseats = [" + seats +
                       "]\n[[customer]]\nname = \"acme\"\nrevision = 1\n"
                       "digest = " +
                       Quoted(FormatDigest(ComputeDigest(contract_text))) +
                       "\n");
  PublishHead(revision);
}

void test_fleet::PublishHead(std::uint64_t revision) const {
  directory_.Write("documents/contracts/head",
                   "format = 1\nrevision = " + std::to_string(revision) + "\n");
}

void test_fleet::RestartHost(int host) { hosts_[host] = StartHost(host); }

std::unique_ptr<child_process> test_fleet::StartHost(int number) const {
  const std::string name = "host" + std::to_string(number);
  const auto path = directory_.Write(
      name + ".toml",
      "peer_address = " + Quoted(Address(peer_ports_[number])) +
          "\ncaller_address = " + Quoted(Address(caller_ports_[number])) +
          "\nzone = \"zone-a\"\nregion = \"r\"\n"
          "shared_key = \"key of the process tests\"\nplatform_address = " +
          Quoted(Address(platform_port_)) + "\nseeds = [" +
          Quoted(Address(peer_ports_[0])) +
          "]\n[timing]\nlease_ms = 500\ntime_to_live_ms = 500\n"
          "drain_ms = 2000\n");
  return std::make_unique<child_process>(
      "corianderrail", std::vector<std::string>{"--settings=" + path},
      directory_.Path(name + ".log"));
}

bool test_fleet::WaitUntilReady() {
  const auto ready = [this](int host) {
    try {
      const auto body = Get(host, "/v1/status").body;
      std::size_t count = 0;
      std::size_t at = 0;
      while ((at = body.find("\"ready\":true", at)) != std::string::npos) {
        ++count;
        ++at;
      }
      return count == hosts_.size() && Get(host, "/readyz").code == 200;
    } catch (const wire_error&) {
      return false;
    }
  };
  return Eventually([&] {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (!ready(static_cast<int>(i))) return false;
    }
    return true;
  });
}

bool test_fleet::IsReady(int host) const {
  try {
    return Get(host, "/readyz").code == 200;
  } catch (const wire_error&) {
    return false;
  }
}

std::uint64_t test_fleet::Revision(int host) const {
  try {
    const auto body = Get(host, "/v1/status").body;
    const std::string name = "\"revision\":";
    const auto at = body.find(name);
    return at == std::string::npos ? 0
                                   : std::stoull(body.substr(at + name.size()));
  } catch (const wire_error&) {
    return 0;
  }
}

bool test_fleet::WaitUntilRevision(std::uint64_t revision) const {
  return Eventually([&] {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (Revision(static_cast<int>(i)) != revision) return false;
    }
    return true;
  });
}

http_reply test_fleet::Query(int host, std::uint64_t seen_revision) const {
  return Post(host, "/v1/query",
              R"({"request_id":"r","customer":"acme","kind":"search",)"
              R"("deadline_ms":15000,"payload":"q","seen_revision":)" +
                  std::to_string(seen_revision) + "}");
}

std::uint64_t test_fleet::AnswerRevision(const http_reply& reply) {
  return json_object::Parse(reply.body,
                            {"request_id", "status", "snapshot", "coverage_ppm",
                             "missing", "parts", "revision", "elapsed_us"})
      .Unsigned("revision", 1000);
}

std::string test_fleet::CallerAddress(int host) const {
  return Address(caller_ports_[host]);
}

void test_fleet::PlatformControl(const std::string& parameters) const {
  http_connection connection(Address(platform_port_));
  http_request request;
  request.path = "/standin/set";
  request.parameters = parameters;
  request.timeout = kMaxWait;
  connection.Execute(request);
}

http_reply test_fleet::Get(int host, const std::string& path) const {
  http_connection connection(Address(caller_ports_[host]));
  http_request request;
  const auto mark = path.find('?');
  request.path = path.substr(0, mark);
  if (mark != std::string::npos) request.parameters = path.substr(mark + 1);
  request.timeout = kMaxWait;
  return connection.Execute(request);
}

http_reply test_fleet::Post(int host, const std::string& path,
                            const std::string& body) const {
  http_connection connection(Address(caller_ports_[host]));
  http_request request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  request.timeout = kMaxWait;
  return connection.Execute(request);
}

http_reply test_fleet::PostUntilAccepted(int host, const std::string& path,
                                         const std::string& body) const {
  http_reply reply;
  Eventually([&] {
    reply = Post(host, path, body);
    return reply.code != 429 && reply.code != 503;
  });
  return reply;
}

std::string test_fleet::LeafControl(const std::string& path,
                                    const std::string& parameters) const {
  http_connection connection(Address(control_port_));
  http_request request;
  request.path = path;
  request.parameters = parameters;
  request.timeout = kMaxWait;
  return connection.Execute(request).body;
}

}  // namespace corianderrail
