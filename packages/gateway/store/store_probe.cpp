/** @file store_probe.cpp Pauses and timeouts of probes. */

#include "gateway/store/store_probe.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Time for an answer. Each third probe allows more, in case that the store is
 *  slow. */
constexpr duration kTimeout = std::chrono::milliseconds(700);
constexpr duration kLongTimeout = std::chrono::milliseconds(1500);
constexpr std::uint32_t kLongTimeoutInterval = 3;

constexpr duration kFirstPause = std::chrono::milliseconds(200);
constexpr duration kLongestPause = std::chrono::milliseconds(1000);

}  // namespace

void store_probe::Start(time_point now, duration spread) {
  spread_ = spread;
  if (due_ != kNever) return;
  due_ =
      now +
      duration(random_.Below(static_cast<std::uint64_t>(spread.count()) + 1));
}

void store_probe::Stop() {
  due_ = kNever;
  open_ = false;
  failures_ = 0;
}

std::optional<duration> store_probe::Next(time_point now) {
  if (open_ || now < due_) return std::nullopt;
  open_ = true;
  const bool is_long =
      failures_ % kLongTimeoutInterval == kLongTimeoutInterval - 1;
  return is_long ? kLongTimeout : kTimeout;
}

void store_probe::OnFailure(time_point now) {
  if (!open_) return;
  open_ = false;
  const duration pause =
      spread_ > kLongestPause
          ? spread_
          : std::min(kFirstPause * (1 << std::min<std::uint32_t>(failures_, 8)),
                     kLongestPause);
  ++failures_;
  // Half of the pause is random, so that hosts do not probe simultaneously.
  due_ = now + pause / 2 +
         duration(random_.Below(static_cast<std::uint64_t>(pause.count()) / 2));
}

}  // namespace corianderrail::gateway
