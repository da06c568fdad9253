/** @file edge_placement.cpp Answers requests to explain a placement. */

#include <chrono>
#include <string>

#include "edge/edge_state.h"
#include "edge/placement_json.h"
#include "edge/process_time.h"
#include "gateway/http_status.h"

namespace corianderrail::edge {

namespace {

/** Shortest interval between two explanations. One takes well below a
 *  millisecond, so they use at most some percent of a small host. */
constexpr std::chrono::milliseconds kPlacementPeriod{200};

constexpr int kStatusMethodNotAllowed = 405;

http_reply JsonReply(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace

/** Explains where a request would go. Runs between two events, so there is one
 *  at a time, and nothing waits for its client. */
http_reply edge_process::state::ExplainPlacement(const http_request& request) {
  if (request.method() != boost::beast::http::verb::post) {
    return JsonReply(kStatusMethodNotAllowed,
                     WritePlacementError("use POST with a JSON body"));
  }
  const auto question = ReadPlacementQuestion(request.body());
  if (!question) {
    return JsonReply(gateway::kStatusBadRequest,
                     WritePlacementError("the body must be a JSON object with "
                                         "method, host and an absolute path"));
  }
  if (Now() < placement_explained + kPlacementPeriod) {
    http_reply busy = JsonReply(
        gateway::kStatusUnavailable,
        WritePlacementError("another explanation was given just now; repeat "
                            "the command"));
    busy.fields.push_back({"Retry-After", "1"});
    return busy;
  }
  placement_explained = Now();
  return JsonReply(gateway::kStatusOk,
                   WritePlacement(*question, core.ExplainPlacement(
                                                 question->request, Now())));
}

}  // namespace corianderrail::edge
