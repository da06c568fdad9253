/** @file host_test.cpp Tests of host processes over TCP. */

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "process/child_process.h"
#include "process/test_fleet.h"
#include "wire/json_value.h"
#include "wire/wire_error.h"

namespace corianderrail {
namespace {

std::string QueryBody(const std::string& id) {
  return R"({"request_id":")" + id +
         R"(","customer":"acme","kind":"search","deadline_ms":15000,)" +
         R"("payload":"q"})";
}

json_object ParseAnswer(const std::string& body) {
  return json_object::Parse(
      body, {"request_id", "status", "snapshot", "coverage_ppm", "missing",
             "parts", "revision", "elapsed_us"});
}

/** Checks what every answer must satisfy, whatever faults the leafs have. */
void CheckAnswer(const http_reply& reply, const std::string& id) {
  INFO(reply.body);
  REQUIRE(reply.code == 200);
  const auto answer = ParseAnswer(reply.body);
  CHECK(answer.Text("request_id", 100) == id);
  CHECK(answer.Unsigned("snapshot", 1000) == 1);
  std::uint64_t covered = 0;
  for (const auto& part :
       answer.Objects("parts", {"begin", "end", "payload"}, 100)) {
    const auto begin = part.Unsigned("begin", 1000);
    const auto end = part.Unsigned("end", 1000);
    covered += end - begin;
    CHECK(part.Text("payload", 1000) == "rows " + std::to_string(begin) + ".." +
                                            std::to_string(end) + " of index");
  }
  CHECK(answer.Unsigned("coverage_ppm", 1'000'000) == covered * 1000);
}

/** Runs the binary in a temporary directory; its output is the file `out`. */
struct host_run {
  temporary_directory directory;

  int Run(std::vector<std::string> arguments) const {
    child_process host("corianderrail", std::move(arguments),
                       directory.Path("out"));
    return host.Wait();
  }
};

// Guards against startup errors that a supervisor cannot tell apart by the exit
// code.
TEST_CASE("Host_BadCommandLineOrSettings_ExitsWithItsCode") {
  const host_run run;
  CHECK(run.Run({"--version"}) == 0);
  CHECK(run.Run({}) == 2);
  CHECK(run.Run({"--nonsense"}) == 2);
  CHECK(run.Run({"--settings=/nonexistent"}) == 3);
  const auto path = run.directory.Write("settings.toml", "adress = 1\n");
  CHECK(run.Run({"--settings=" + path}) == 3);
  CHECK(run.directory.Read("out") ==
        "corianderrail: settings.toml:1: unknown key 'adress'; see "
        "docs/settings.md for the known keys\n");
}

// Guards against help that does not fit on a terminal with 24 lines.
TEST_CASE("Host_Help_FitsOneScreen") {
  const host_run run;
  CHECK(run.Run({"--help"}) == 0);
  const auto text = run.directory.Read("out");
  CHECK(std::count(text.begin(), text.end(), '\n') < 24);
  CHECK(text.find("--settings=FILE") != std::string::npos);
}

// Guards against faults between the reducer and the network, which the tests of
// the reducer cannot find: settings, start, addresses, query and stop.
TEST_CASE("Fleet_WholePath_AnswersAndStopsGracefully") {
  test_fleet fleet(3);
  REQUIRE(fleet.WaitUntilReady());
  const auto addresses =
      fleet.Get(0, "/v1/addresses?customer=acme&zone=zone-a");
  CHECK(addresses.code == 200);
  CHECK(addresses.body.find(std::to_string(fleet.CallerPort(1))) !=
        std::string::npos);
  CheckAnswer(fleet.PostUntilAccepted(1, "/v1/query", QueryBody("q1")), "q1");
  for (int i = 0; i < 3; ++i) fleet.Host(i).Signal(SIGTERM);
  for (int i = 0; i < 3; ++i) CHECK(fleet.Host(i).Wait() == 0);
}

// Guards against an order that runs twice when copies of it reach all hosts at
// the same time.
TEST_CASE("Fleet_CopiesOfOneOrderAtAllHosts_RunOnce") {
  test_fleet fleet(3);
  REQUIRE(fleet.WaitUntilReady());
  std::string ran;
  const bool accepted = Eventually([&] {
    const auto issued = fleet.PostUntilAccepted(
        0, "/v1/order-ids", R"({"request_id":"i","customer":"acme"})");
    const auto from = issued.body.find("[\"") + 2;
    const auto id =
        issued.body.substr(from, issued.body.find('"', from) - from);
    const std::string order =
        R"({"order_id":")" + id +
        R"(","request_id":"o","customer":"acme","kind":"reserve","key":7,)" +
        R"("deadline_ms":15000,"payload":"x"})";
    std::vector<std::future<http_reply>> copies;
    copies.reserve(9);
    for (int i = 0; i < 9; ++i) {
      copies.push_back(std::async(std::launch::async, [&fleet, &order, i] {
        return fleet.Post(i % 3, "/v1/orders", order);
      }));
    }
    int ran_replies = 0;
    int not_run_replies = 0;
    for (auto& copy : copies) {
      const auto body = copy.get().body;
      if (body.find(R"("state":"ran")") != std::string::npos) ++ran_replies;
      if (body.find(R"("state":"not_run")") != std::string::npos) {
        ++not_run_replies;
      }
    }
    const auto log = fleet.LeafControl("/standin/orders", "");
    std::size_t runs = 0;
    for (std::size_t at = 0; (at = log.find(id, at)) != std::string::npos;
         ++at) {
      ++runs;
    }
    CHECK(runs <= 1);
    // Either outcome is final, so the copies cannot get different ones.
    CHECK((ran_replies == 0 || not_run_replies == 0));
    CHECK((not_run_replies == 0 || runs == 0));
    CHECK((ran_replies == 0 || runs == 1));
    return ran_replies == 9;
  });
  CHECK(accepted);
}

// Guards against leaf replies that belong to another request, are truncated or
// come from another snapshot, and still reach a caller or count as covered.
TEST_CASE("Fleet_FaultyReplica_NeverCorruptsAnswers") {
  test_fleet fleet(2);
  REQUIRE(fleet.WaitUntilReady());
  const std::array<const char*, 5> faults = {
      "crossed", "truncated", "wrong_snapshot", "duplicate", "slow"};
  for (const std::string fault : faults) {
    INFO(fault);
    const auto port = "port=" + std::to_string(fleet.LeafPort(0));
    auto set = port;
    set += "&" + fault;
    fleet.LeafControl("/standin/set", set + "=20");
    for (int i = 0; i < 12; ++i) {
      const auto id = fault + std::to_string(i);
      CheckAnswer(fleet.PostUntilAccepted(i % 2, "/v1/query", QueryBody(id)),
                  id);
    }
    fleet.LeafControl("/standin/set", set + (fault == "slow" ? "=1" : "=0"));
  }
}

// Guards against malformed input that crashes the host, blocks one of its
// threads or is answered with success.
TEST_CASE("Host_HostileHttp_IsRefusedAndHostLives") {
  test_fleet fleet(1);
  REQUIRE(fleet.WaitUntilReady());
  const auto port = fleet.CallerPort(0);
  const std::string post = "POST /v1/query HTTP/1.1\r\n";
  const std::array<std::pair<std::string, std::string>, 9> inputs = {{
      {post + "Content-Length: -5\r\n\r\n", " 400 "},
      {post + "Content-Length: abc\r\n\r\n", " 400 "},
      {post + "Content-Length: 99999999999999999999\r\n\r\nab", " 413 "},
      {post + "Content-Length: 300000000\r\n\r\n" + std::string(500'000, 'x'),
       " 413 "},
      {post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       " 411 "},
      {post + "Content-Length: 3\r\n\r\n{}}", " 400 "},
      {"GET /nowhere HTTP/1.1\r\n\r\n", " 404 "},
      {"DELETE /v1/query HTTP/1.1\r\n\r\n", " 405 "},
      {"\x16\x03\x01 garbage\r\n\r\n", " 500 "},
  }};
  for (const auto& [input, code] : inputs) {
    INFO(input.substr(0, 80));
    const auto reply = SendRaw(port, input, 1000);
    INFO(reply.substr(0, 300));
    CHECK(reply.substr(0, 16).find(code) != std::string::npos);
    CHECK(fleet.Get(0, "/livez").code == 200);
  }
}

// Guards against a draining host that keeps its callers' connections open, and
// against a shutdown that aborts requests in progress.
TEST_CASE("Host_Draining_ClosesConnectionsAndFinishesRequests") {
  test_fleet fleet(2);
  REQUIRE(fleet.WaitUntilReady());
  CheckAnswer(fleet.PostUntilAccepted(0, "/v1/query", QueryBody("early")),
              "early");
  fleet.Host(0).Signal(SIGTERM);
  REQUIRE(Eventually([&] { return fleet.Get(0, "/readyz").code == 503; }));
  const auto status = fleet.Get(0, "/v1/status");
  CHECK(status.body.find(R"("phase":"draining")") != std::string::npos);
  CHECK(status.Header("Connection").value_or("") == "close");
  CHECK(fleet.Post(0, "/v1/query", QueryBody("late")).code == 200);
  CHECK(fleet.Host(0).Wait() == 0);
  REQUIRE(Eventually([&] {
    return fleet.Get(1, "/v1/addresses?customer=acme")
               .body.find(std::to_string(fleet.CallerPort(0))) ==
           std::string::npos;
  }));
}

// Guards against a second signal that is ignored during a long drain.
TEST_CASE("Host_SecondSigterm_StopsAtOnce") {
  test_fleet fleet(1);
  REQUIRE(fleet.WaitUntilReady());
  fleet.Host(0).Signal(SIGTERM);
  fleet.Host(0).Signal(SIGINT);
  CHECK(fleet.Host(0).Wait() == 0);
}

// Guards against metrics that Prometheus cannot parse.
TEST_CASE("Host_Metrics_ArePrometheusText") {
  test_fleet fleet(1);
  REQUIRE(fleet.WaitUntilReady());
  const auto reply = fleet.Get(0, "/metrics");
  CHECK(reply.code == 200);
  CHECK(reply.body.find("# TYPE corianderrail_ready gauge\n"
                        "corianderrail_ready 1\n") != std::string::npos);
  CHECK(reply.body.find("corianderrail_answer_seconds_count 0") !=
        std::string::npos);
}

}  // namespace
}  // namespace corianderrail
