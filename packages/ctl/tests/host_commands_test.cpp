/** @file host_commands_test.cpp Tests of the commands for hosts. */

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "ctl_fixture.h"
#include "fake_host.h"
#include "wire/caller_codec.h"

namespace corianderrail {
namespace {

using Catch::Contains;

constexpr const char* kOrderId = "a1-b2-3";

/** Reply to a request for order identifiers. */
scripted_reply OrderIds() {
  return {"/v1/order-ids", 200,
          R"({"request_id":"r","order_ids":["a1-b2-3"]})"};
}

/** Reply that reports the state of the order. */
scripted_reply OrderReply(const std::string& state) {
  return {"/v1/orders", 200,
          R"({"order_id":"a1-b2-3","request_id":"r","state":")" + state +
              R"(","reason":"rate_limit","detail":"wait","revision":7})"};
}

// Guards against a status command that stops at a host that does not answer.
TEST_CASE_METHOD(ctl_fixture, "Status_OneHostDown_ShowsTheOthers") {
  fake_host host({{"/v1/status", 200, R"({"phase":"ready","n":[1,2],
      "m":[{"a":3,"b":""},{"a":4,"b":"x"}],"c":5})"}});
  CHECK(Run({"status", ClosedAddress(), host.Address()}) ==
        exit_code::host_unreachable);
  CHECK_THAT(out.str(), Contains("phase: ready\nn: 1 2\nm[0]: a=3 b=\"\"\n"
                                 "m[1]: a=4 b=x\nc: 5\n"));
  CHECK_THAT(err.str(), Contains("check the address"));
}

// Guards against a reply that is not a JSON object and is printed as success.
TEST_CASE_METHOD(ctl_fixture, "Audit_BadReply_IsUnreachable") {
  fake_host broken({{"/v1/audit", 200, "<html>"}});
  CHECK(Run({"audit", broken.Address()}) == exit_code::host_unreachable);
  fake_host nested({{"/v1/audit", 200, std::string(100'000, '[')}});
  CHECK(Run({"audit", nested.Address()}) == exit_code::host_unreachable);
  fake_host missing({});
  CHECK(Run({"audit", missing.Address()}) == exit_code::host_unreachable);
}

// Guards against a request body that the caller codec of the hosts refuses.
TEST_CASE_METHOD(ctl_fixture, "Query_Request_IsReadByTheCallerCodec") {
  fake_host host({{"/v1/query", 200,
                   R"({"request_id":"q","status":"complete","revision":7})"}});
  CHECK(Run({"query", host.Address(), "--customer=mill", "--kind=search",
             "--payload=wheat", "--deadline-ms=250", "--seen-revision=7",
             "--request-id=q"}) == exit_code::ok);
  REQUIRE(host.Seen().size() == 1);
  query_request request = ReadQueryRequest(host.Seen()[0].body);
  CHECK(request.request_id == "q");
  CHECK(request.customer == "mill");
  CHECK(request.kind == "search");
  CHECK(request.payload == "wheat");
  CHECK(request.deadline == std::chrono::milliseconds(250));
  CHECK(request.seen_revision == revision_id{7});
  CHECK_THAT(out.str(), Contains("status: complete"));
}

// Guards against a refusal that exits with success, so that a script treats it
// as an answer.
TEST_CASE_METHOD(ctl_fixture, "Query_Refused_ExitsWithNotRun") {
  refusal reason{"q",    run_state::not_run, refusal_reason::rate_limit,
                 "wait", duration(1'500),    revision_id{7}};
  fake_host host({{"/v1/query", 429, WriteRefusal(reason)}});
  CHECK(Run({"query", host.Address(), "-c", "mill", "-k", "search"}) ==
        exit_code::not_run);
  CHECK_THAT(err.str(), Contains("not run, rate_limit: wait"));
}

// Guards against an order that is sent without an identifier issued by its
// home, or whose identifier is not printed before the order is sent.
TEST_CASE_METHOD(ctl_fixture, "Order_New_FetchesAndShowsIdentifier") {
  fake_host host({OrderIds(), OrderReply("ran")});
  CHECK(Run({"order", host.Address(), "-c", "mill", "-k", "reserve", "--key=5",
             "--payload=two"}) == exit_code::ok);
  CHECK_THAT(err.str(), Contains("order id: a1-b2-3"));
  std::vector<seen_request> seen = host.Seen();
  REQUIRE(seen.size() == 2);
  caller_order_id_event ids = ReadOrderIdRequest(seen[0].body);
  CHECK(ids.customer == "mill");
  order_request order = ReadOrderRequest(seen[1].body);
  CHECK(order.id == ParseOrderId(kOrderId));
  CHECK(order.key == 5);
  CHECK(order.payload == "two");
}

// Guards against a resent order that gets a new identifier and runs twice.
TEST_CASE_METHOD(ctl_fixture, "Order_Resent_KeepsItsIdentifier") {
  fake_host host({OrderIds(), OrderReply("pending")});
  CHECK(Run({"order", host.Address(), "-c", "mill", "-k", "reserve", "--key=5",
             "--order-id=a1-b2-3"}) == exit_code::outcome_unknown);
  REQUIRE(host.Seen().size() == 1);
  CHECK(host.Seen()[0].path == "/v1/orders");
}

// Guards against exit codes from which a script cannot tell whether the order
// ran, did not run or has an unknown outcome.
TEST_CASE_METHOD(ctl_fixture, "Order_States_HaveTheirExitCodes") {
  const std::vector<std::pair<std::string, exit_code>> codes = {
      {"ran", exit_code::ok},
      {"not_run", exit_code::not_run},
      {"pending", exit_code::outcome_unknown},
      {"unknown", exit_code::outcome_unknown}};
  for (const auto& [state, code] : codes) {
    CAPTURE(state);
    fake_host host({OrderIds(), OrderReply(state)});
    CHECK(Run({"order", host.Address(), "-c", "mill", "-k", "reserve",
               "--key=5"}) == code);
  }
}

// Guards against an order whose reply was lost and that is reported as not run,
// although it may have run.
TEST_CASE_METHOD(ctl_fixture, "Order_ReplyLost_IsUnknown") {
  fake_host host({OrderIds(), {"/v1/orders", 200, "no JSON"}});
  CHECK(Run({"order", host.Address(), "-c", "mill", "-k", "reserve",
             "--key=5"}) == exit_code::outcome_unknown);
  CHECK_THAT(err.str(), Contains("--order-id=a1-b2-3"));
  fake_host stateless({OrderIds(), {"/v1/orders", 200, "{}"}});
  CHECK(Run({"order", stateless.Address(), "-c", "mill", "-k", "reserve",
             "--key=5"}) == exit_code::outcome_unknown);
  CHECK(Run({"order", ClosedAddress(), "-c", "mill", "-k", "reserve",
             "--key=5"}) == exit_code::host_unreachable);
}

// Guards against an explanation that loses its reasons in either output, and
// against a request that the host does not read.
TEST_CASE_METHOD(ctl_fixture, "Placement_Explained_ShowsRouteAndLeafs") {
  const std::string reply =
      R"({"method":"GET","host":"h","path":"/a","version":3,"admitted":true,)"
      R"("route":{"name":"r","rank":1},"parts":[{"service":"s",)"
      R"("choice":"chosen","leafs":[{"instance":"i-1","chosen":true}]}]})";
  fake_host host({{"/v1/placement", 200, reply}});
  CHECK(Run({"placement", host.Address(), "GET", "h", "/a"}) == exit_code::ok);
  CHECK(out.str() ==
        "method: GET\nhost: h\npath: /a\nversion: 3\nadmitted: true\n"
        "route: name=r rank=1\npart: service=s choice=chosen\n"
        "  leaf: instance=i-1 chosen=true\n");
  CHECK(host.Seen()[0].body == R"({"method":"GET","host":"h","path":"/a"})");
  CHECK(Run({"placement", host.Address(), "GET", "h", "/a", "--json"}) ==
        exit_code::ok);
  CHECK(out.str() == reply + "\n");
}

// Guards against errors that do not name the host and what is wrong.
TEST_CASE_METHOD(ctl_fixture, "Placement_HostFails_NamesTheCause") {
  const auto run = [&](const std::string& address) {
    return Run({"placement", address, "GET", "h", "/a", "--timeout-ms=200"});
  };
  CHECK(run(ClosedAddress()) == exit_code::host_unreachable);
  CHECK_THAT(err.str(), Contains("check the address"));
  fake_host busy({{"/v1/placement", 503, R"({"error":"repeat it"})"}});
  CHECK(run(busy.Address()) == exit_code::host_unreachable);
  CHECK_THAT(err.str(), Contains("HTTP code 503: repeat it"));
  fake_host other({{"/v1/placement", 200, "{}"}});
  CHECK(run(other.Address()) == exit_code::host_unreachable);
  CHECK_THAT(err.str(), Contains("no explanation"));
  CHECK(Run({"placement", busy.Address(), "GET", "h", "a"}) ==
        exit_code::usage);
}

// Guards against a command that waits without end for a host that accepts the
// connection and does not answer.
TEST_CASE_METHOD(ctl_fixture, "Placement_HostIsSilent_EndsAfterTheTimeout") {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor silent(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  const auto begin = std::chrono::steady_clock::now();
  CHECK(Run({"placement",
             "127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
             "GET", "h", "/a", "--timeout-ms=200"}) ==
        exit_code::host_unreachable);
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
  CHECK_THAT(err.str(), Contains("no reply within 200 ms"));
}

}  // namespace
}  // namespace corianderrail
