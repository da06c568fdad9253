/** @file explain_command_test.cpp Tests of the history of a request. */

#include "ctl/explain_command.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

namespace corianderrail {

namespace {

std::string Line(int second, const std::string& host, const std::string& event,
                 const std::string& rest) {
  return "{\"unix_us\":" + std::to_string(1'000'000ULL * second) +
         ",\"host\":\"" + host + "\",\"event\":\"" + event + "\"" + rest +
         "}\n";
}

std::vector<log_line> Explain(const std::string& text, const std::string& id) {
  std::istringstream in(text);
  return ExplainRequest(ReadLogLines(in), id);
}

}  // namespace

// Guards against events out of order, and against events of other requests.
TEST_CASE("Explain_SeveralHosts_ShowsTheRequestInOrderOfTime") {
  const auto lines = Explain(
      Line(30, "h2", "request_refused", ",\"id\":\"r1\",\"status\":\"502\"") +
          Line(20, "h1", "request_repeated", ",\"id\":\"r1\"") +
          Line(25, "h1", "answer_late", ",\"id\":\"r2\"") + "no json\n" +
          "  1.5 front-1 " + Line(21, "h1", "answer_partial", ",\"id\":\"r1\""),
      "r1");
  REQUIRE(lines.size() == 3);
  CHECK(lines[0].event == "request_repeated");
  CHECK(lines[1].event == "answer_partial");
  CHECK(lines[2].inputs == "status=502");
}

// Guards against a history that lacks the leaf events shortly before a
// decision, or that contains leaf events of other hosts, from long before the
// request or from after its last event.
TEST_CASE("Explain_HostEvents_NearTheRequestAreShown") {
  const auto lines =
      Explain(Line(10, "h1", "leaf_suspected", ",\"id\":\"i-0\"") +
                  Line(25, "h1", "leaf_suspected", ",\"id\":\"i-1\"") +
                  Line(26, "h2", "leaf_suspected", ",\"id\":\"i-2\"") +
                  Line(31, "h1", "leaf_restored", ",\"id\":\"i-1\"") +
                  Line(30, "h1", "request_refused", ",\"id\":\"r1\""),
              "r1");
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].id == "i-1");
  CHECK(lines[1].id == "r1");
}

// Guards against host events that are shown although no log line belongs to the
// request.
TEST_CASE("Explain_UnknownRequest_ShowsNothing") {
  CHECK(Explain(Line(1, "h1", "started", ""), "r1").empty());
}

}  // namespace corianderrail
