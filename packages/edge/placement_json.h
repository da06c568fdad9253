/** @file placement_json.h Requests and answers of the placement command. */

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway/placement_report.h"

namespace corianderrail::edge {

/** Path on the metrics address. */
inline constexpr std::string_view kPlacementPath = "/v1/placement";

/** Largest body of a request for an explanation. */
inline constexpr std::size_t kMaxPlacementRequest = 8u << 10;

/** What `corianderctl placement` asks for. */
struct placement_question {
  std::string method;  ///< Repeated in the answer; no decision depends on it.
  gateway::placement_request request;  ///< Host in lower case.
};

/** Reads {"method", "host", "path"}; empty for anything else. */
std::optional<placement_question> ReadPlacementQuestion(std::string_view body);

/** The report as one JSON object. */
std::string WritePlacement(const placement_question& question,
                           const gateway::placement_report& report);

/** {"error": TEXT}. */
std::string WritePlacementError(std::string_view text);

}  // namespace corianderrail::edge
