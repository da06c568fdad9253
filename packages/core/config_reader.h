/** @file config_reader.h What this host reads from the platform, and when. */

#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/member_type.h"
#include "core/random.h"

namespace corianderrail {

/** Timing of reads from the platform. */
struct config_reader_settings {
  std::uint32_t readers_per_zone = 2;                    ///< Watching hosts.
  duration watch_wait = std::chrono::seconds(20);        ///< Longest watch.
  duration retry_min = std::chrono::milliseconds(500);   ///< After failure.
  duration retry_max = std::chrono::seconds(20);         ///< Backoff limit.
  duration host_list_period = std::chrono::seconds(15);  ///< Per zone.
  duration peer_grace = std::chrono::seconds(1);  ///< For a peer to answer.
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

 private:
  /** Schedule of one key. */
  struct key_watch {
    std::string_view key;        ///< Key in the configuration service.
    std::uint64_t version = 0;   ///< Newest version read.
    bool open = false;           ///< A call waits for its answer.
    bool answered = false;       ///< Read or unreachable since the start.
    time_point sent{};           ///< When the call was made.
    duration wait{};             ///< How long the call may wait.
    time_point next{};           ///< Earliest next call.
    std::uint32_t failures = 0;  ///< In a row.
  };

  bool MayRead(const key_watch& watch) const;
  void Read(key_watch& watch, time_point now, effect_list& effects);
  duration Backoff(std::uint32_t failures);
  duration HostListDelay();

  host_ref self_;
  std::string zone_;
  config_reader_settings settings_;
  random_source random_;
  std::array<key_watch, 2> watches_;
  bool started_ = false;
  bool is_reader_ = true;
  bool peer_known_ = false;
  std::uint32_t zone_readers_ = 1;
  time_point fallback_read_at_ =
      kNever;  ///< First own read if no peer answers.
  time_point next_list_{};
  bool list_open_ = false;
  time_point list_sent_{};
};

}  // namespace corianderrail
