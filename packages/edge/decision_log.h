/** @file decision_log.h JSON log of gateway decisions. */

#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/time_type.h"
#include "edge/line_writer.h"
#include "gateway/gateway_type.h"

namespace corianderrail::edge {

/**
 * Writes one JSON object per line. Each kind of decision has its own rate
 * limit, so that many lines of one kind do not suppress the others. The number
 * of suppressed lines is added to the next line of their kind.
 */
class decision_log {
 public:
  decision_log(line_writer& writer, std::string host);

  /** Logs a decision of the gateway, within the rate limit of its kind. */
  void Write(const gateway::log_effect& entry, time_point now);

  /** Logs an event of the process itself, without a rate limit. */
  void WriteEvent(std::string_view name,
                  std::span<const gateway::decision_input> inputs);

  /** Lines suppressed by the rate limit of their kind. */
  std::uint64_t Suppressed() const { return suppressed_; }

 private:
  /** Token bucket of one kind of decision. */
  struct kind_limit {
    double tokens = 0;          ///< Lines that may be written now.
    time_point refilled{};      ///< Time of the last refill.
    std::uint64_t dropped = 0;  ///< Lines since the last one written.
  };

  void WriteLine(std::string_view name, std::string_view subject,
                 std::span<const gateway::decision_input> inputs,
                 std::uint64_t dropped);

  line_writer* writer_;
  std::string host_;
  std::array<kind_limit, gateway::kDecisions> limits_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace corianderrail::edge
