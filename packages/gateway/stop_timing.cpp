/** @file stop_timing.cpp End of a planned stop. */

#include "gateway/stop_timing.h"

namespace corianderrail::gateway {

namespace {

/** Multiple of its lifetime for which clients use a lookup answer. */
constexpr int kLookupReuse = 3;

/** Without a request for this long, no client uses this host any more. */
constexpr duration kIdlePeriod = std::chrono::milliseconds(400);

/** The process ends this long before it would be killed. */
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
