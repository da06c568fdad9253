/** @file config_reader.h What this host reads from the platform, and when. */

#pragma once

#include <span>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/member_type.h"

namespace corianderrail {

/** Timing of reads from the platform. */
struct config_reader_settings {
  std::uint32_t readers_per_zone = 2;                    ///< Watching hosts.
  duration watch_wait = std::chrono::seconds(20);        ///< Longest watch.
  duration retry_min = std::chrono::milliseconds(500);   ///< After failure.
  duration retry_max = std::chrono::seconds(10);         ///< Backoff limit.
  duration host_list_period = std::chrono::seconds(10);  ///< Between reads.
};

/**
 * A few hosts of each zone, chosen by rendezvous hashing over the members,
 * watch `contracts/head` and `topology`; the others learn from peers. A host
 * without confirmed members reads once on its own.
 */
class config_reader {
 public:
  config_reader(member_record self, config_reader_settings settings,
                std::uint64_t seed);

  void SetMembers(std::span<const member_record> members, time_point now,
                  effect_list& effects);
  void OnConfigValue(const config_value_event& value, time_point now,
                     effect_list& effects);
  void OnHostList(const host_list_event& list, time_point now,
                  effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now, effect_list& effects);

  bool IsReader() const;

  /** True once each key was read or found unreachable. */
  bool FirstReadDone() const;
};

}  // namespace corianderrail
