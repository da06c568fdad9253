/** @file explain_command.h History of a request from the logs of hosts. */

#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/command_type.h"

namespace corianderrail {

/** A line of a host's log. */
struct log_line {
  std::uint64_t unix_us = 0;  ///< Time by the host's clock.
  std::string host;           ///< Host that wrote the line.
  std::string event;          ///< Such as `request_refused`.
  std::string id;             ///< Identifier of a request or leaf, or empty.
  std::string inputs;         ///< Other members, each as "name=value".
};

/** Reads the JSON lines of a log. Text before the first brace of a line and
 *  lines without a JSON object are skipped. */
std::vector<log_line> ReadLogLines(std::istream& in);

/**
 * Selects the events of a request, ordered by time, and the other events, such
 * as a suspected leaf, that the same hosts logged shortly before and during it.
 */
std::vector<log_line> ExplainRequest(std::vector<log_line> lines,
                                     std::string_view id);

/** `explain ID FILE...`: prints the history of one request. */
exit_code RunExplain(command_context& context);

}  // namespace corianderrail
