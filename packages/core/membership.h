/** @file membership.h Gossip membership and failure detection. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/member_table.h"
#include "core/member_type.h"
#include "core/random.h"
#include "core/time_type.h"
#include "core/update_queue.h"

namespace corianderrail {

/** Timing of membership. */
struct membership_settings {
  duration probe_period = std::chrono::milliseconds(500);   ///< Between probes.
  duration probe_timeout = std::chrono::milliseconds(200);  ///< Direct probe.
  duration suspicion = std::chrono::milliseconds(2000);     ///< At 8 members.
  std::uint32_t indirect_probes = 3;                        ///< Hosts asked.
  std::uint32_t updates_per_message = 8;                    ///< Piggybacked.
  /** Mean time between two contacts of gone and unknown hosts. */
  duration rejoin_period = std::chrono::seconds(10);
  std::vector<std::string> seeds;  ///< Peer addresses from the settings.
};

/**
 * Membership of one host in the fleet by the SWIM protocol: direct and indirect
 * probes, suspicion before removal, and piggybacked member updates. Most probes
 * stay in the zone and region of the host. In addition, hosts compare digests
 * of their member tables and exchange the parts that differ.
 */
class membership {
 public:
  membership(member_record self, membership_settings settings,
             std::uint64_t seed);

  /** Starts the timers and sends the first join requests. */
  void Start(time_point now, effect_list& effects);

  void OnProbe(const peer_message& from, const probe& body, time_point now,
               effect_list& effects);
  void OnProbeRequest(const peer_message& from, const probe_request& body,
                      time_point now, effect_list& effects);
  void OnProbeAck(const peer_message& from, const probe_ack& body,
                  time_point now, effect_list& effects);
  void OnMemberSync(const peer_message& from, const member_sync& body,
                    time_point now, effect_list& effects);
  void OnMemberDigest(const peer_message& from, const member_digest& body,
                      time_point now, effect_list& effects);
  void OnHostList(const host_list_event& list, time_point now,
                  effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;

  /** Changes this host's own record and distributes the change. */
  void SetReady(bool ready);
  void SetBusy(bool busy);
  void SetRevision(revision_id revision);
  void SetLeaving();

  /** Replaces the seeds. Known members and join targets are kept. */
  void SetSeeds(std::span<const std::string> seeds);

  /** Discards open probes and joins again after the process was paused. */
  void OnClockGap(time_point now, effect_list& effects);

  /** True when a message from a peer arrived since the start or the last clock
   *  gap, or when no other host is known or answers. */
  bool Confirmed() const;

  /** All known members, including this host, sorted by host identifier. */
  std::vector<member_record> Members() const;
  const member_record& Self() const;
  const member_record* Find(host_id host) const;

  /** Highest revision that any member, this host included, reports. */
  revision_id HighestRevision() const;

  /** Incremented when Members() changes in a way that other components use, or
   *  when Confirmed() changes. */
  std::uint64_t Generation() const;

 private:
  /** A probe without an acknowledgement. */
  struct open_probe {
    host_id target{};                 ///< Member probed.
    time_point direct_end{};          ///< When indirect probes are requested.
    time_point end{};                 ///< When the probe has failed.
    bool indirect_sent = false;       ///< Indirect probes were requested.
    bool suspect_on_timeout = false;  ///< A failure makes the target suspect.
  };

  /** A probe sent on behalf of another member. */
  struct relayed_probe {
    host_id requester{};         ///< Member that requested it.
    std::string address;         ///< Its peer address.
    std::uint64_t sequence = 0;  ///< Sequence of the requester's probe.
    time_point end{};            ///< When to discard it.
  };

  /** How a record reached this host: issued by it, piggybacked, or in a member
   *  table. */
  enum class record_source : std::uint8_t { own, update, sync };

  // membership.cpp
  void Merge(std::span<const member_record> records, record_source source,
             time_point now);
  void MergeOne(const member_record& record, record_source source,
                time_point now);
  void RefuteClaim(const member_record& claim);
  void Apply(const member_record& record, record_source source, time_point now);
  void OnContact(const peer_message& from, bool replies, time_point now,
                 effect_list& effects);
  std::vector<member_record> UpdatesFor(host_id receiver);
  const member_record* RecordOf(host_id host) const;
  std::uint32_t Resends(record_source source) const;
  duration Suspicion() const;
  void SelfChanged();
  void RequestTable(host_id host, const std::string& address,
                    effect_list& effects) const;
  void SendDigest(host_id host, const std::string& address,
                  effect_list& effects) const;
  void SendRecords(host_id host, const std::string& address,
                   std::span<const member_record> records,
                   effect_list& effects) const;
  bool AddJoinTarget(const std::string& address);

  // membership_probe.cpp
  void SendProbe(const member_entry& target, bool suspect_on_timeout,
                 time_point now, effect_list& effects);
  void ProbeNext(time_point now, effect_list& effects);
  void ProbeDisputed(time_point now, effect_list& effects);
  void CheckProbes(time_point now, effect_list& effects);
  void SendProbeRequests(std::uint64_t sequence, const open_probe& probe,
                         effect_list& effects);
  void MarkSuspect(host_id host, time_point now);
  void CheckSuspects(time_point now, effect_list& effects);
  void SendUrgentProbes(time_point now, effect_list& effects);
  void Join(time_point now, effect_list& effects);
  void Rejoin(time_point now, effect_list& effects);
  void CompareTables(time_point now, effect_list& effects);
  duration SpreadPeriod(double seconds);
  duration QuickComparePeriod();
  member_distance ContactDistance();
  member_entry* NextTarget();
  void CheckAlone(time_point now);

  member_record self_;
  membership_settings settings_;
  random_source random_;
  member_table table_;
  update_queue updates_;
  std::map<std::uint64_t, open_probe> probes_;             ///< By sequence.
  std::map<std::uint64_t, relayed_probe> relayed_probes_;  ///< By sequence.
  std::map<host_id, std::string> join_targets_;  ///< Seeds and host list.
  std::vector<std::string> seeds_;               ///< Without this host.
  std::deque<host_id> disputed_;  ///< Gone here, but not at another host.
  std::uint64_t sequence_ = 0;
  std::uint64_t generation_ = 1;
  bool started_ = false;
  bool self_changed_ = false;    ///< Own record changed; distribute it at once.
  bool confirmed_ = false;       ///< A message from a peer arrived.
  bool alone_ = false;           ///< No other host is known or answers.
  bool host_list_seen_ = false;  ///< The host list was read or is unreachable.
  time_point search_started_{};
  time_point next_probe_{};
  time_point next_join_{};
  duration join_period_{};  ///< Last pause between join requests.
  time_point next_rejoin_{};
  time_point next_compare_{};
  time_point next_sync_request_{};
};

}  // namespace corianderrail
