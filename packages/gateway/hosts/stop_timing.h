/** @file stop_timing.h Steps of a planned stop. */

#pragma once

#include <cstddef>
#include <cstdint>

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

/** What a stopping process does, in this order. */
enum class stop_step : std::uint8_t {
  serve,   ///< Serves requests of clients that still know this host.
  refuse,  ///< Refuses new requests and completes the accepted ones.
  finish,  ///< Answers the accepted requests with what there is.
  exit,    ///< Every request is answered, or the process is about to be killed.
};

/** When all open requests are answered at the latest. */
time_point FinishAt(const stop_settings& settings, time_point asked);

/**
 * The step that is due. Clients use a lookup answer for up to three times its
 * lifetime, so a host that exits earlier would drop those that still connect to
 * it.
 */
stop_step StopStepAt(const stop_settings& settings,
                     const stop_progress& progress, time_point now);

}  // namespace corianderrail::gateway
