/** @file explain_command.h Explains a request from the logs of hosts. */

#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/command_type.h"

namespace corianderrail {

/** One line of a host's log. */
struct log_line {
  std::uint64_t unix_us = 0;  ///< Time of day of the host.
  std::string host;           ///< Host that wrote it.
  std::string event;          ///< Kind of decision.
  std::string id;             ///< Request or leaf; empty for others.
  std::string inputs;         ///< "name=value" of all other members.
};

/** Reads the JSON lines of a log; text before a line's first brace and lines
 *  that are no JSON object are passed over. */
std::vector<log_line> ReadLogLines(std::istream& in);

/**
 * The decisions on a request in order of time, with what its hosts came to
 * believe shortly before and meanwhile.
 */
std::vector<log_line> ExplainRequest(std::vector<log_line> lines,
                                     std::string_view id);

/** `explain ID FILE...`: prints the history of one request. */
exit_code RunExplain(command_context& context);

}  // namespace corianderrail
