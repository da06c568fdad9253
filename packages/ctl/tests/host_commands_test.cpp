/** @file host_commands_test.cpp Tests of the commands for hosts. */

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

}  // namespace
}  // namespace corianderrail
