/** @file config_reader.h Schedule of reads from the platform. */

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
  std::uint32_t readers_per_zone = 2;                   ///< Hosts that watch.
  duration watch_wait = std::chrono::seconds(20);       ///< Limit per call.
  duration retry_min = std::chrono::milliseconds(500);  ///< First backoff.
  duration retry_max = std::chrono::seconds(20);        ///< Backoff limit.
  /** Both limits on a host without a running peer: no other host tells it about
   *  a change when the answer of its own call was lost. */
  duration lone_limit = std::chrono::seconds(8);
  duration host_list_period = std::chrono::seconds(15);  ///< Mean per zone.
  duration peer_grace = std::chrono::seconds(1);         ///< Wait for a peer.
};

/**
 * A few hosts of each zone, chosen by rendezvous hashing over the members, are
 * readers: they watch `contracts/head` and `topology`. The other hosts get
 * updates from peers. A host that knows no running peer reads each key itself
 * after a grace period.
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

  /** True once a peer is known or each key was read or found unreachable. */
  bool FirstReadDone() const;

 private:
  /** State of the reads of one key. */
  struct key_watch {
    std::string_view key;        ///< Key in the configuration service.
    std::uint64_t version = 0;   ///< Newest version read.
    bool open = false;           ///< A call has no answer yet.
    bool answered = false;       ///< Read or unreachable since start or gap.
    time_point sent{};           ///< When the last call was made.
    duration wait{};             ///< How long the service may hold the call.
    time_point next{};           ///< Earliest time of the next call.
    std::uint32_t failures = 0;  ///< Consecutive failures.
  };

  bool MayRead(const key_watch& watch) const;
  void Read(key_watch& watch, time_point now, effect_list& effects);
  duration Limit(duration usual) const;
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
  time_point fallback_read_at_ = kNever;  ///< First read without a known peer.
  time_point next_list_{};
  bool list_open_ = false;
  time_point list_sent_{};
};

}  // namespace corianderrail
