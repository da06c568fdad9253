/** @file host_reducer.h The one reducer over all events of a host. */

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/address_choice.h"
#include "core/admission.h"
#include "core/config_reader.h"
#include "core/contract_sync.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/lifecycle.h"
#include "core/limit_share.h"
#include "core/membership.h"
#include "core/order_table.h"
#include "core/ownership.h"
#include "core/query_gather.h"
#include "core/service_owner.h"

namespace corianderrail {

/** Everything a host is built from. */
struct host_settings {
  member_record self;             ///< Identity, addresses, zone, region.
  std::uint64_t seed = 0;         ///< Seed of all random choices.
  time_point started{};           ///< Start of this life.
  std::uint32_t owner_block = 1;  ///< Services that share an owner.
  membership_settings member;     ///< Membership timing.
  config_reader_settings reader;  ///< Reads from the platform.
  limit_share_settings share;     ///< Leases of rate.
  address_settings address;       ///< Address answers.
  owner_settings owner;           ///< Leaf scheduling.
  order_settings order;           ///< Order table.
  lifecycle_settings life;        ///< Phases.
  contract_validator contracts;   ///< Validates contract documents.
  topology_validator topologies;  ///< Validates topology documents.
  head_parser heads;              ///< Parses the head document.
};

/** State of a host as operators see it. */
struct host_view {
  member_record self;                  ///< This host.
  host_phase phase{};                  ///< Phase.
  revision_id revision{};              ///< Contract revision in force.
  std::uint64_t digest = 0;            ///< Its digest.
  std::uint64_t topology = 0;          ///< Topology version in force.
  bool reader = false;                 ///< Watches the platform for its zone.
  std::vector<member_record> members;  ///< Member table.
  std::vector<service_id> owned;       ///< Services owned.
  admission_counters admission;        ///< Counters.
  query_counters query;                ///< Counters.
  order_counters order;                ///< Counters.
  owner_counters owner;                ///< Counters.
};

/**
 * The host: `Reduce(state, event, now) -> effects` with the state inside.
 * No I/O, clock, thread or random device.
 */
class host_reducer {
 public:
  explicit host_reducer(host_settings settings);
  ~host_reducer();
  host_reducer(const host_reducer&) = delete;
  host_reducer& operator=(const host_reducer&) = delete;

  /** Sends the first effects: joins, reads. */
  void Start(time_point now, effect_list& effects);

  /** Handles one event; appends what must be done. */
  void Reduce(const event& event, time_point now, effect_list& effects);

  /** When the next tick_event is wanted. */
  time_point NextWake() const;

  /** Fills the envelope of an outgoing message. */
  peer_message Envelope(const send_peer_effect& effect) const;

  host_view View() const;

  /** Phase alone; cheap enough for every batch of events. */
  host_phase Phase() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
