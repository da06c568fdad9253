/** @file load_signal.cpp Exponential moving average of processor use. */

#include "gateway/hosts/load_signal.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corianderrail::gateway {

load_signal::load_signal(const load_settings& settings) : settings_(settings) {}

bool load_signal::Update(duration used, time_point now) {
  const duration passed = now - std::exchange(last_, now);
  const duration spent = used - std::exchange(last_used_, used);
  // Skips samples without elapsed time, and the first one, which has no
  // previous one to compare with.
  if (passed <= duration{} || passed == now.time_since_epoch()) return busy_;
  const double share =
      static_cast<double>(spent.count()) /
      (static_cast<double>(passed.count()) * std::max(settings_.cores, 0.01));
  const double weight =
      1 - std::exp(-static_cast<double>(passed.count()) /
                   static_cast<double>(settings_.time_constant.count()));
  use_ += weight * (share - use_);
  if (use_ > settings_.busy_above) busy_ = true;
  if (use_ < settings_.calm_below) busy_ = false;
  return busy_;
}

}  // namespace corianderrail::gateway
