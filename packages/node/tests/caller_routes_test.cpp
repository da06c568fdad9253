/** @file caller_routes_test.cpp Tests of the routes of the caller API. */

#include "node/caller_routes.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace corianderrail {
namespace {

const std::string query_body =
    R"({"request_id":"r","customer":"c","kind":"k","deadline_ms":1})";

/** Routes with a function of the test in place of the reducer. */
class caller_routes_fixture {
 protected:
  caller_routes MakeRoutes() {
    caller_backend backend;
    backend.post = [this](event event) {
      posted_.push_back(std::move(event));
      if (answer_) answer_(posted_.back());
    };
    backend.phase = [this] { return phase_; };
    backend.on_answer = [](duration) {};
    backend.calls = &calls_;
    return caller_routes(std::move(backend));
  }

  call_table calls_{1};
  host_phase phase_ = host_phase::ready;
  std::function<void(const event&)> answer_;
  std::vector<event> posted_;
};

// Guards against a timeout that is reported to the caller as not run, although
// the request may have run, and against a reducer that is not notified that the
// caller is gone.
TEST_CASE_METHOD(caller_routes_fixture,
                 "CallerRoutes_NoAnswerInTime_ReportsUnknown") {
  auto routes = MakeRoutes();
  const auto reply = routes.Handle({"POST", "/v1/query", "", query_body});
  CHECK(reply.code == 504);
  CHECK(reply.body.find(R"("ran":"unknown")") != std::string::npos);
  REQUIRE(posted_.size() == 2);
  CHECK(std::holds_alternative<caller_gone_event>(posted_[1]));
}

// Guards against requests that wait for a free thread instead of being refused.
TEST_CASE_METHOD(caller_routes_fixture,
                 "CallerRoutes_TooManyWait_RefusesWithoutRunning") {
  auto routes = MakeRoutes();
  const auto occupied = calls_.Open();
  const auto reply = routes.Handle({"POST", "/v1/query", "", query_body});
  CHECK(reply.code == 503);
  CHECK(reply.body.find(R"("request_id":"r","ran":"not_run")") !=
        std::string::npos);
  CHECK(posted_.empty());
  CHECK(routes.RefusedCalls() == 1);
}

// Guards against a refusal of the reducer that is sent with HTTP status 200.
TEST_CASE_METHOD(caller_routes_fixture,
                 "CallerRoutes_RefusalOfReducer_GetsItsCode") {
  answer_ = [this](const event& event) {
    const auto& query = std::get<caller_query_event>(event);
    refuse_effect refused;
    refused.call = query.call;
    refused.reason.reason = refusal_reason::rate_limit;
    calls_.Finish(query.call, refused);
  };
  auto routes = MakeRoutes();
  CHECK(routes.Handle({"POST", "/v1/query", "", query_body}).code == 429);
}

// Guards against malformed requests that are passed to the reducer.
TEST_CASE_METHOD(caller_routes_fixture,
                 "CallerRoutes_BadInput_IsRefusedBeforeTheReducer") {
  auto routes = MakeRoutes();
  CHECK(routes.Handle({"POST", "/v1/query", "", "{}"}).code == 400);
  CHECK(routes.Handle({"GET", "/v1/orders/zzz", "", ""}).code == 400);
  CHECK(routes.Handle({"GET", "/v1/addresses", "zone=%", ""}).code == 400);
  CHECK(routes.Handle({"GET", "/v1/query", "", ""}).code == 405);
  CHECK(routes.Handle({"GET", "/", "", ""}).code == 404);
  CHECK(posted_.empty());
}

// Guards against a draining host that still reports ready, keeps connections
// open or fails the liveness check.
TEST_CASE_METHOD(caller_routes_fixture, "CallerRoutes_Readyz_FollowsThePhase") {
  auto routes = MakeRoutes();
  CHECK(routes.Handle({"GET", "/readyz", "", ""}).code == 200);
  phase_ = host_phase::draining;
  CHECK(routes.Handle({"GET", "/readyz", "", ""}).code == 503);
  CHECK(routes.ShouldClose());
  CHECK(routes.Handle({"GET", "/livez", "", ""}).code == 200);
}

}  // namespace
}  // namespace corianderrail
