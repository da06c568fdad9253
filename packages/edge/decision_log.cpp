/** @file decision_log.cpp JSON log lines, rate limited by kind of decision. */

#include "edge/decision_log.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "edge/table/decision_table.h"

namespace corianderrail::edge {

namespace {

void AppendText(std::string& line, std::string_view text) {
  // Identifiers come from clients and may hold bytes that are not UTF-8; these
  // are replaced, because dump() would throw.
  line += nlohmann::json(text).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

void AppendMember(std::string& line, std::string_view name,
                  std::string_view value) {
  line += ",\"";
  line += name;
  line += "\":";
  AppendText(line, value);
}

}  // namespace

decision_log::decision_log(line_writer& writer, std::string host)
    : writer_(&writer), host_(std::move(host)) {}

void decision_log::Write(const gateway::log_effect& entry, time_point now) {
  const auto index = static_cast<std::size_t>(entry.kind);
  const decision_row& row = kDecisionRows[index];
  kind_limit& limit = limits_[index];
  const double seconds =
      std::chrono::duration<double>(now - limit.refilled).count();
  limit.tokens =
      std::min(row.burst, limit.tokens + seconds * row.lines_per_second);
  limit.refilled = now;
  if (limit.tokens < 1) {
    ++limit.dropped;
    ++suppressed_;
    return;
  }
  limit.tokens -= 1;
  WriteLine(row.name, entry.subject, entry.inputs,
            std::exchange(limit.dropped, 0));
}

void decision_log::WriteEvent(std::string_view name,
                              std::span<const gateway::decision_input> inputs) {
  WriteLine(name, {}, inputs, 0);
}

void decision_log::WriteLine(std::string_view name, std::string_view subject,
                             std::span<const gateway::decision_input> inputs,
                             std::uint64_t dropped) {
  const auto unix_us = std::chrono::duration_cast<std::chrono::microseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  std::string line = "{\"unix_us\":" + std::to_string(unix_us);
  AppendMember(line, "host", host_);
  AppendMember(line, "event", name);
  if (!subject.empty()) AppendMember(line, "id", subject);
  for (const auto& input : inputs) {
    AppendMember(line, input.name, input.value);
  }
  if (dropped > 0) {
    AppendMember(line, "left_out", std::to_string(dropped));
  }
  line += '}';
  writer_->Write(line);
}

}  // namespace corianderrail::edge
