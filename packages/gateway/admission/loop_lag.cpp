/**
 * @file loop_lag.cpp Decaying maximum of timer lateness.
 *
 * A query over many shards costs tens of milliseconds on a fraction of a core.
 * A request that arrives meanwhile is read late, and this host does not see
 * when its bytes arrived. Timers that become due at the same time are late by
 * as much.
 */

#include "gateway/admission/loop_lag.h"

#include <algorithm>
#include <cmath>

namespace corianderrail::gateway {

namespace {

/** Time constant of the decay: a few queries of a busy host. */
constexpr duration kDecayTime = std::chrono::milliseconds(500);

/** A pause of the whole process says nothing about its load. */
constexpr duration kMaxLag = std::chrono::milliseconds(50);

}  // namespace

void loop_lag::OnTimer(time_point due, time_point now) {
  const duration late = std::clamp(now - due, duration{}, kMaxLag);
  if (late < At(now)) return;
  lag_ = late;
  measured_ = now;
}

duration loop_lag::At(time_point now) const {
  const double passed = static_cast<double>((now - measured_).count()) /
                        static_cast<double>(kDecayTime.count());
  return duration(static_cast<duration::rep>(static_cast<double>(lag_.count()) *
                                             std::exp(-passed)));
}

}  // namespace corianderrail::gateway
