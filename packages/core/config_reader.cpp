/** @file config_reader.cpp Reads from the platform by a few hosts per zone. */

#include "core/config_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/stable_hash.h"

namespace corianderrail {

namespace {

// A call without an answer counts as lost this long after the end of its wait.
constexpr duration kAnswerGrace = std::chrono::seconds(3);

// Minimum time between two calls for one key. It bounds the call rate when the
// service answers watches at once.
constexpr duration kMinReadPeriod = std::chrono::milliseconds(500);

}  // namespace

config_reader::config_reader(member_record self,
                             config_reader_settings settings,
                             std::uint64_t seed)
    : self_(self.ref),
      zone_(std::move(self.zone)),
      settings_(settings),
      random_(seed) {
  watches_[0].key = "contracts/head";
  watches_[1].key = "topology";
}

void config_reader::SetMembers(std::span<const member_record> members,
                               time_point now, effect_list& effects) {
  std::vector<std::pair<std::uint64_t, host_id>> weights;
  bool peer_known = false;
  const std::uint64_t key = HashBytes(zone_);
  for (const member_record& member : members) {
    const bool running = member.state == member_state::alive ||
                         member.state == member_state::suspect;
    if (!running) continue;
    if (member.ref.host != self_.host) peer_known = true;
    if (member.zone != zone_) continue;
    weights.emplace_back(RendezvousWeight(key, Raw(member.ref.host)),
                         member.ref.host);
  }
  std::sort(weights.rbegin(), weights.rend());
  const std::size_t count =
      std::min<std::size_t>(weights.size(), settings_.readers_per_zone);
  const auto end = weights.begin() + static_cast<std::ptrdiff_t>(count);
  is_reader_ = std::any_of(weights.begin(), end, [this](const auto& one) {
    return one.second == self_.host;
  });
  zone_readers_ = static_cast<std::uint32_t>(std::max<std::size_t>(count, 1));
  peer_known_ = peer_known;
  if (started_) OnTick(now, effects);
}

/** Whether this host may read the key: readers always, other hosts once if they
 *  know no running peer. */
bool config_reader::MayRead(const key_watch& watch) const {
  if (peer_known_) return is_reader_;
  return is_reader_ || !watch.answered;
}

duration config_reader::Limit(duration usual) const {
  return peer_known_ ? usual : std::min(usual, settings_.lone_limit);
}

duration config_reader::Backoff(std::uint32_t failures) {
  const duration longest = Limit(settings_.retry_max);
  duration delay = settings_.retry_min;
  for (std::uint32_t i = 1; i < failures && delay < longest; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, longest);
  // Jitter keeps the readers from calling a recovered service at the same time.
  const double factor = 0.75 + 0.5 * random_.Unit();
  return duration(
      static_cast<duration::rep>(static_cast<double>(delay.count()) * factor));
}

/** The readers of a zone share one period, so that the call rate grows with the
 *  number of zones and not of readers. */
duration config_reader::HostListDelay() {
  const double factor = (0.75 + 0.5 * random_.Unit()) * zone_readers_;
  return duration(static_cast<duration::rep>(
      static_cast<double>(settings_.host_list_period.count()) * factor));
}

void config_reader::Read(key_watch& watch, time_point now,
                         effect_list& effects) {
  watch.open = true;
  watch.sent = now;
  // The first read returns at once, and so does one after a failure, which may
  // fail again; others wait for a newer version.
  const bool watching = watch.version != 0;
  const bool waits = watching && watch.failures == 0;
  watch.wait = waits ? Limit(settings_.watch_wait) : duration{};
  effects.push_back(read_config_effect{
      std::string(watch.key), watching ? watch.version : 0, watch.wait});
}

void config_reader::OnConfigValue(const config_value_event& value,
                                  time_point now, effect_list& effects) {
  const auto found =
      std::find_if(watches_.begin(), watches_.end(),
                   [&](const key_watch& one) { return one.key == value.key; });
  if (found == watches_.end()) return;
  key_watch& watch = *found;
  const bool was_open = std::exchange(watch.open, false);
  watch.answered = true;
  if (!value.reachable || !value.found) {
    ++watch.failures;
    watch.next = now + Backoff(watch.failures);
    return;
  }
  const bool newer = value.version > watch.version;
  // The service may answer a watch early without a newer version, for example
  // while it serves an old version. Further calls are then delayed as after a
  // failure.
  const bool early = was_open && now - watch.sent < watch.wait / 2;
  const bool stuck = !newer && (early || value.version < watch.version);
  watch.failures = stuck ? watch.failures + 1 : 0;
  watch.version = std::max(watch.version, value.version);
  watch.next = stuck ? now + Backoff(watch.failures)
                     : std::max(now, watch.sent + kMinReadPeriod);
  if (started_) OnTick(now, effects);
}

void config_reader::OnHostList(const host_list_event& /*list*/, time_point now,
                               effect_list& /*effects*/) {
  list_open_ = false;
  next_list_ = now + HostListDelay();
}

void config_reader::OnTick(time_point now, effect_list& effects) {
  if (!started_) {
    started_ = true;
    next_list_ = now + HostListDelay();
    list_open_ = true;
    list_sent_ = now;
    fallback_read_at_ = now + settings_.peer_grace;
    effects.push_back(read_host_list_effect{});
  }
  for (key_watch& watch : watches_) {
    if (watch.open && now >= watch.sent + watch.wait + kAnswerGrace) {
      watch.open = false;
      watch.answered = true;
      ++watch.failures;
      watch.next = now + Backoff(watch.failures);
    }
    if (watch.open || now < watch.next || !MayRead(watch)) continue;
    if (!peer_known_ && now < fallback_read_at_) continue;
    Read(watch, now, effects);
  }
  if (list_open_ && now >= list_sent_ + kAnswerGrace) list_open_ = false;
  if (!is_reader_ || list_open_ || now < next_list_) return;
  list_open_ = true;
  list_sent_ = now;
  next_list_ = now + HostListDelay();
  effects.push_back(read_host_list_effect{});
}

time_point config_reader::NextWake() const {
  if (!started_) return time_point{};
  time_point wake = kNever;
  for (const key_watch& watch : watches_) {
    if (watch.open) {
      wake = std::min(wake, watch.sent + watch.wait + kAnswerGrace);
    } else if (MayRead(watch)) {
      const time_point earliest =
          peer_known_ ? time_point{} : fallback_read_at_;
      wake = std::min(wake, std::max(watch.next, earliest));
    }
  }
  if (list_open_) return std::min(wake, list_sent_ + kAnswerGrace);
  return is_reader_ ? std::min(wake, next_list_) : wake;
}

/** Restarts all reads, since answers from before the gap may be outdated or
 *  lost. */
void config_reader::OnClockGap(time_point now, effect_list& effects) {
  for (key_watch& watch : watches_) {
    watch.open = false;
    watch.answered = false;
    watch.failures = 0;
    watch.version = 0;
    watch.next = now;
  }
  list_open_ = false;
  peer_known_ = false;
  fallback_read_at_ = now + settings_.peer_grace;
  OnTick(now, effects);
}

bool config_reader::IsReader() const { return started_ && is_reader_; }

bool config_reader::FirstReadDone() const {
  if (peer_known_) return true;
  return std::all_of(watches_.begin(), watches_.end(),
                     [](const key_watch& one) { return one.answered; });
}

}  // namespace corianderrail
