/** @file stop_timing.h When a process that was asked to stop may end. */

#pragma once

#include "core/time_type.h"

namespace corianderrail::gateway {

/** Timing of a planned stop. */
struct stop_settings {
  duration grace = std::chrono::seconds(6);  ///< Then the process is killed.
  duration lookup_ttl = std::chrono::seconds(1);  ///< Of lookup answers.
};

/** What is left to do. */
struct stop_progress {
  time_point asked{};         ///< When the process was asked to stop.
  time_point last_request{};  ///< When the last request arrived.
  std::size_t open = 0;       ///< Requests that are not answered yet.
};

/**
 * Clients keep a lookup answer for up to three times its lifetime, so a host
 * that leaves at once would cut off those that still connect to it. It ends
 * earlier than it is killed in any case.
 */
bool MayEnd(const stop_settings& settings, const stop_progress& progress,
            time_point now);

}  // namespace corianderrail::gateway
