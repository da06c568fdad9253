/** @file client_delay.h Time that clients spend before a request is sent. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * Estimates from the remaining time that a request states how long its client
 * has waited already, for instance for a lookup and a new connection.
 */
class client_delay {
 public:
  /**
   * Adds a request.
   * @param remaining How long its client still waits.
   * @param max_delay Larger differences mean another kind of client.
   * @return How long its client has waited; empty while the time limit of its
   *     clients is unknown.
   */
  std::optional<duration> Add(duration remaining, duration max_delay);

 private:
  void Forget();

  std::map<std::int64_t, std::uint32_t> counts_;  ///< By remaining time in ms.
  std::uint32_t requests_ = 0;                    ///< Sum of the counts.
};

}  // namespace corianderrail::gateway
