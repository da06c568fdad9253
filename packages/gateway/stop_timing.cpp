/** @file stop_timing.cpp Conditions for the exit of a stopping process. */

#include "gateway/stop_timing.h"

namespace corianderrail::gateway {

namespace {

/** Clients use a lookup answer for this multiple of its lifetime. */
constexpr int kLookupReuse = 3;

/** After this time without a request, no client is assumed to use the host. */
constexpr duration kIdlePeriod = std::chrono::milliseconds(400);

/** Time between the exit and the moment at which the process is killed. */
constexpr duration kKillMargin = std::chrono::milliseconds(350);

}  // namespace

bool MayEnd(const stop_settings& settings, const stop_progress& progress,
            time_point now) {
  const time_point lookup_expired =
      progress.asked + settings.lookup_ttl * kLookupReuse;
  const bool idle = progress.open == 0;
  if (idle && now >= lookup_expired &&
      now >= progress.last_request + kIdlePeriod) {
    return true;
  }
  return now >= progress.asked + settings.grace - kKillMargin;
}

}  // namespace corianderrail::gateway
