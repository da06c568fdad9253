/** @file fake_platform.cpp Simulates the platform's services. */

#include "driver/fake_platform.h"

#include <utility>

#include "driver/virtual_fleet.h"

namespace corianderrail::driver {

namespace {

/** Time until a read is answered; the real service needs milliseconds. */
constexpr duration kReadTime = std::chrono::milliseconds(2);

}  // namespace

void fake_platform::Publish(const std::string& key, const std::string& bytes) {
  values_[key] = {values_[key].version + 1, bytes};
  for (const watch& next : std::exchange(watches_[key], {})) {
    Answer(next.host, next.incarnation, key);
  }
}

void fake_platform::Answer(std::size_t host, std::uint64_t incarnation,
                           const std::string& key) {
  config_value_event answer{key, reachable, false, 0, {}};
  const auto found = values_.find(key);
  if (reachable && found != values_.end()) {
    answer.found = true;
    answer.version = found->second.version;
    answer.bytes = found->second.bytes;
  }
  fleet_.After(kReadTime, [this, host, incarnation, answer] {
    fleet_.Deliver(host, incarnation, answer);
  });
}

void fake_platform::Read(std::size_t host, const read_config_effect& effect) {
  const std::uint64_t incarnation = fleet_.Incarnation(host);
  const auto found = values_.find(effect.key);
  const bool waits = reachable && effect.after > 0 &&
                     effect.wait > duration{} && found != values_.end() &&
                     found->second.version <= effect.after;
  if (!waits) return Answer(host, incarnation, effect.key);
  const std::uint64_t id = ++last_watch_;
  watches_[effect.key].push_back({host, incarnation, id});
  fleet_.After(effect.wait, [this, id, host, incarnation, key = effect.key] {
    const auto same = [id](const watch& next) { return next.id == id; };
    if (std::erase_if(watches_[key], same) > 0) Answer(host, incarnation, key);
  });
}

void fake_platform::ReadHostList(std::size_t host) {
  host_list_event list{reachable, {}};
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) {
    if (!reachable || !fleet_.Running(i)) continue;
    list.entries.push_back({fleet_.Place(i).address, false});
  }
  fleet_.After(kReadTime, [this, host, incarnation = fleet_.Incarnation(host),
                           list] { fleet_.Deliver(host, incarnation, list); });
}

}  // namespace corianderrail::driver
