/** @file explain_command.cpp History of a request from the logs of hosts. */

#include "ctl/explain_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace corianderrail {

namespace {

using nlohmann::json;

/** Events that belong to no request are shown from this long before the first
 *  event of the request. Statistics about leafs decay within about ten seconds,
 *  so older events explain little. */
constexpr std::uint64_t kContextBeforeUs = 10'000'000;

constexpr std::string_view kStandardInput = "-";

std::string FormatValue(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool ParseLine(const std::string& text, log_line& into) {
  const std::size_t brace = text.find('{');
  if (brace == std::string::npos) return false;
  const json object =
      json::parse(text.substr(brace), nullptr, /*allow_exceptions=*/false);
  if (!object.is_object() || !object.contains("event")) return false;
  for (const auto& [name, value] : object.items()) {
    if (name == "unix_us") {
      if (value.is_number_unsigned()) into.unix_us = value;
    } else if (name == "host") {
      into.host = FormatValue(value);
    } else if (name == "event") {
      into.event = FormatValue(value);
    } else if (name == "id") {
      into.id = FormatValue(value);
    } else {
      if (!into.inputs.empty()) into.inputs += ' ';
      into.inputs += name + '=' + FormatValue(value);
    }
  }
  return true;
}

/** True for events of a request, false for events about a host, its leafs or
 *  its peers. */
bool IsRequestEvent(const log_line& line) {
  return line.event.starts_with("request_") ||
         line.event.starts_with("answer_") || line.event == "repeat_denied";
}

void Print(const std::vector<log_line>& lines, std::ostream& out) {
  const std::uint64_t begin = lines.front().unix_us;
  for (const log_line& line : lines) {
    const auto offset_ms =
        (static_cast<double>(line.unix_us) - static_cast<double>(begin)) / 1e3;
    out << '+' << static_cast<std::int64_t>(offset_ms) << " ms  " << line.host
        << "  " << line.event;
    if (!line.id.empty()) out << ' ' << line.id;
    if (!line.inputs.empty()) out << "  " << line.inputs;
    out << '\n';
  }
}

}  // namespace

std::vector<log_line> ReadLogLines(std::istream& in) {
  std::vector<log_line> lines;
  std::string text;
  while (std::getline(in, text)) {
    log_line line;
    if (ParseLine(text, line)) lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<log_line> ExplainRequest(std::vector<log_line> lines,
                                     std::string_view id) {
  std::set<std::string> hosts;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  for (const log_line& line : lines) {
    if (line.id != id || !IsRequestEvent(line)) continue;
    if (hosts.empty() || line.unix_us < first) first = line.unix_us;
    last = std::max(last, line.unix_us);
    hosts.insert(line.host);
  }
  const std::uint64_t begin =
      first > kContextBeforeUs ? first - kContextBeforeUs : 0;
  std::erase_if(lines, [&](const log_line& line) {
    if (IsRequestEvent(line)) return line.id != id;
    const bool in_period = line.unix_us >= begin && line.unix_us <= last;
    return !in_period || !hosts.contains(line.host);
  });
  std::stable_sort(lines.begin(), lines.end(),
                   [](const log_line& a, const log_line& b) {
                     return a.unix_us < b.unix_us;
                   });
  return lines;
}

exit_code RunExplain(command_context& context) {
  const std::string id = context.arguments.front();
  std::vector<log_line> lines;
  for (std::size_t i = 1; i < context.arguments.size(); ++i) {
    const std::string& path = context.arguments[i];
    std::ifstream file;
    if (path != kStandardInput) {
      file.open(path);
      if (!file) {
        throw command_error(
            exit_code::unreadable_input,
            path + ": cannot be read; check path and permissions");
      }
    }
    auto file_lines = ReadLogLines(path == kStandardInput ? std::cin : file);
    std::move(file_lines.begin(), file_lines.end(), std::back_inserter(lines));
  }
  const auto history = ExplainRequest(std::move(lines), id);
  if (history.empty()) {
    throw command_error(exit_code::refused,
                        "no log line about '" + id +
                            "'; requests that are answered completely and on "
                            "time are not logged, only counted in the metrics");
  }
  Print(history, context.out);
  return exit_code::ok;
}

}  // namespace corianderrail
