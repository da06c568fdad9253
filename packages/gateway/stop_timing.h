/** @file stop_timing.h Decides when a stopping process may exit. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Timing of a planned stop. */
struct stop_settings {
  duration grace = std::chrono::seconds(6);  ///< Until the process is killed.
  duration lookup_ttl = std::chrono::seconds(1);  ///< Of lookup answers.
};

/** State of a planned stop. */
struct stop_progress {
  time_point asked{};         ///< When the stop was requested.
  time_point last_request{};  ///< Arrival of the last request.
  std::size_t open = 0;       ///< Unanswered requests.
};

/**
 * Returns true once the process may exit. Clients use a lookup answer for up
 * to three times its lifetime, so a host that exits earlier would drop those
 * that still connect to it. Shortly before the process would be killed, it may
 * exit in any case.
 */
bool MayEnd(const stop_settings& settings, const stop_progress& progress,
            time_point now);

}  // namespace corianderrail::gateway
