/** @file decision_log.h Structured log of decisions on standard output. */

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
 * One JSON object a line. Each kind of decision has its own rate, so that a
 * flood of one kind hides no other; dropped lines are counted and told with
 * the next line of the kind.
 */
class decision_log {
 public:
  decision_log(line_writer& writer, std::string host);

  /** Logs a decision of the gateway, within the rate of its kind. */
  void Write(const gateway::log_effect& entry, time_point now);

  /** Logs a change of the process itself; never left out for its rate. */
  void WriteEvent(std::string_view name,
                  std::span<const gateway::decision_input> inputs);

  /** Lines left out because of the rate of their kind. */
  std::uint64_t Suppressed() const { return suppressed_; }

 private:
  /** Rate limit of one kind. */
  struct kind_limit {
    double tokens = 0;          ///< Lines that may be written now.
    time_point refilled{};      ///< When tokens were last added.
    std::uint64_t dropped = 0;  ///< Since the last line written.
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
