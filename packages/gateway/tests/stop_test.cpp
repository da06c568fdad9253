/** @file stop_test.cpp Steps of a planned stop, and requests during it. */

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "gateway/hosts/stop_timing.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

/** A host that is about to exit while it serves requests. */
class stopping_fixture : public gateway_fixture {
 public:
  stopping_fixture() {
    Configure(Config());
    RegisterAll({"a-1", "b-1", "c-1"});
    DrainSends();
  }

  /** Status of an exchange; 0 without an answer. */
  int StatusOf(exchange_id exchange) const {
    const client_answer* answer = AnswerOf(exchange);
    return answer == nullptr ? 0 : answer->status;
  }
};

}  // namespace

// Guards against dropping clients that still use an old lookup answer.
TEST_CASE("Stop_LookupAnswersStillInUse_Waits") {
  const stop_settings settings{seconds(6), seconds(1)};
  const time_point asked(seconds(100));
  const auto step = [&](const stop_progress& progress, duration since) {
    return StopStepAt(settings, progress, asked + since);
  };
  CHECK(step({asked, asked, 0}, seconds(2)) == stop_step::serve);
  CHECK(step({asked, asked, 0}, milliseconds(3100)) == stop_step::exit);
  const stop_progress recent{asked, asked + milliseconds(3000), 0};
  CHECK(step(recent, milliseconds(3100)) == stop_step::serve);
  CHECK(step({asked, asked, 1}, milliseconds(4900)) == stop_step::serve);
  CHECK(step({asked, asked, 1}, seconds(5)) == stop_step::refuse);
  CHECK(step({asked, asked, 1}, milliseconds(5900)) == stop_step::exit);
}

// Guards against requests that are accepted just before the exit and get no
// answer, and against a process that is killed.
TEST_CASE("Stop_RequestsWithoutEnd_RefusesThenFinishesThenExits") {
  const stop_settings settings{seconds(6), seconds(1)};
  const time_point asked(seconds(100));
  std::vector<stop_step> steps;
  for (duration since{}; since <= seconds(6); since += milliseconds(50)) {
    const time_point now = asked + since;
    const std::size_t open = since < milliseconds(5450) ? 3 : 0;
    const stop_step due = StopStepAt(settings, {asked, now, open}, now);
    if (steps.empty() || steps.back() != due) steps.push_back(due);
    if (due == stop_step::exit) {
      CHECK(since <= milliseconds(5700));
      break;
    }
  }
  CHECK(steps == std::vector{stop_step::serve, stop_step::refuse,
                             stop_step::finish, stop_step::exit});
}

// Guards against work that this host cannot complete, and against a refusal
// that runs later.
TEST_CASE_METHOD(stopping_fixture, "Stop_NewRequest_IsRefusedAndNeverSent") {
  const auto accepted = Request("/order/x");
  const auto sends = DrainSends();
  REQUIRE(sends.size() == 1);
  Reduce(stop_event{false});
  const auto refused = Request("/order/x");
  CHECK(StatusOf(refused) == 503);
  CHECK(DrainSends().empty());
  Reply(sends[0], Success(sends[0]));
  CHECK(StatusOf(accepted) == 200);
}

// Guards against an order that is passed on late in a planned stop and ends
// without an answer, so that its client cannot know whether it ran.
TEST_CASE_METHOD(stopping_fixture,
                 "Stop_OrderMayOutliveTheHost_IsRefusedAndNeverSent") {
  Reduce(leaving_event{Now() + milliseconds(500)});
  const auto late = Request("/order/x");
  CHECK(StatusOf(late) == 503);
  CHECK(DrainSends().empty());
  const auto short_order = Request("/order/x", milliseconds(400));
  CHECK(DrainSends().size() == 1);
  const auto read = Request("/read/x");
  CHECK(DrainSends().size() == 1);
  CHECK(StatusOf(short_order) == 0);
  CHECK(StatusOf(read) == 0);
}

// Guards against dropping the parts that arrived before the exit.
TEST_CASE_METHOD(stopping_fixture, "Stop_QueryLacksAPart_IsAnsweredPartially") {
  const auto id = Request("/query/x");
  const auto sends = DrainSends();
  for (std::size_t i = 0; i + 1 < sends.size(); ++i) {
    Reply(sends[i], Success(sends[i]));
  }
  Reduce(stop_event{true});
  REQUIRE(StatusOf(id) == 200);
  CHECK(AnswerOf(id)->missing_parts == 1);
}

// Guards against an exit that cuts off an accepted request, and against calling
// a request not run that a leaf works on.
TEST_CASE_METHOD(stopping_fixture, "Stop_RequestsAreOpen_AllAreAnsweredTruly") {
  const auto order = Request("/order/x");
  const auto query = Request("/query/x");
  DrainSends();
  Reduce(stop_event{true});
  CHECK(StatusOf(order) == 504);
  CHECK(StatusOf(query) == 504);
  CHECK(Core().OpenExchanges() == 0);
}

// Guards against an exit that cuts off a request which waits for the
// configuration.
TEST_CASE("Stop_HostIsStarting_HeldRequestIsRefused") {
  gateway_fixture fresh;
  const auto id = fresh.Request("/read/x");
  CHECK(fresh.AnswerOf(id) == nullptr);
  fresh.Reduce(stop_event{true});
  REQUIRE(fresh.AnswerOf(id) != nullptr);
  CHECK(fresh.AnswerOf(id)->status == 503);
}

}  // namespace corianderrail::gateway
