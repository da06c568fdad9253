/** @file membership.h Member table, probing and spread of member updates. */

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/member_type.h"
#include "core/random.h"
#include "core/time_type.h"

namespace corianderrail {

/** Timing of membership. */
struct membership_settings {
  duration probe_period = std::chrono::milliseconds(500);   ///< Between probes.
  duration probe_timeout = std::chrono::milliseconds(200);  ///< Direct probe.
  duration suspicion = std::chrono::milliseconds(2500);     ///< Until gone.
  std::uint32_t indirect_probes = 3;                        ///< Helpers asked.
  std::uint32_t updates_per_message = 8;                    ///< Piggybacked.
  duration rejoin_period = std::chrono::seconds(10);        ///< Retry of gone.
  std::vector<std::string> seeds;  ///< Peer addresses from the settings.
};

/** Gossip membership of one host. */
class membership {
 public:
  membership(member_record self, membership_settings settings,
             std::uint64_t seed);

  /** Sends joins to the seeds. */
  void Start(time_point now, effect_list& effects);

  void OnProbe(const peer_message& from, const probe& body, time_point now,
               effect_list& effects);
  void OnProbeRequest(const peer_message& from, const probe_request& body,
                      time_point now, effect_list& effects);
  void OnProbeAck(const peer_message& from, const probe_ack& body,
                  time_point now, effect_list& effects);
  void OnMemberSync(const peer_message& from, const member_sync& body,
                    time_point now, effect_list& effects);
  void OnHostList(const host_list_event& list, time_point now,
                  effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;

  /** Changes what this host says about itself and spreads it. */
  void SetReady(bool ready);
  void SetRevision(revision_id revision);
  void SetLeaving();

  /** Forgets probes in flight and asks all members anew after a pause. */
  void OnClockGap(time_point now, effect_list& effects);

  /** True when a peer answered since the start or the last gap, or when no
   *  other host is known from seeds and host list. */
  bool Confirmed() const;

  /** All members, this host included. */
  std::vector<member_record> Members() const;
  const member_record& Self() const;
  const member_record* Find(host_id host) const;

  /** Rises whenever Members() changes in a way others can see. */
  std::uint64_t Generation() const;
};

}  // namespace corianderrail
