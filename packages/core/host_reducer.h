/** @file host_reducer.h State of a host as a reducer over events. */

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

/** Settings and parsers from which a host is built. */
struct host_settings {
  member_record self;             ///< Initial record of this host.
  std::uint64_t seed = 0;         ///< Seed of all random choices.
  time_point started{};           ///< Start of this process.
  std::uint32_t owner_block = 1;  ///< Consecutive services with one owner.
  membership_settings member;     ///< Membership timing.
  config_reader_settings reader;  ///< Reads from the platform.
  limit_share_settings share;     ///< Leases of rate.
  address_settings address;       ///< Address answers.
  owner_settings owner;           ///< Leaf scheduling.
  order_settings order;           ///< Order table.
  lifecycle_settings phases;      ///< Timing of phases.
  contract_validator contracts;   ///< Validates contract documents.
  topology_validator topologies;  ///< Validates topology documents.
  head_parser heads;              ///< Parses the head document.
};

/** State of a host for status reports and metrics. */
struct host_view {
  member_record self;  ///< Record of this host.
  host_phase phase{};
  revision_id revision{};              ///< Contract revision in force.
  std::uint64_t digest = 0;            ///< Digest of that revision.
  std::uint64_t topology = 0;          ///< Topology version in force.
  bool reader = false;                 ///< This host reads for its zone.
  std::vector<member_record> members;  ///< All members, including this host.
  std::vector<service_id> owned;       ///< Services that this host owns.
  admission_counters admission;
  query_counters query;
  order_counters order;
  owner_counters owner;
};

/**
 * The deterministic core of a host: changes its state for each event and
 * returns the effects that the I/O layer must execute. Uses no I/O, clock,
 * thread or random device.
 */
class host_reducer {
 public:
  explicit host_reducer(host_settings settings);
  ~host_reducer();
  host_reducer(const host_reducer&) = delete;
  host_reducer& operator=(const host_reducer&) = delete;

  /** Joins the fleet and starts the first reads from the platform. */
  void Start(time_point now, effect_list& effects);

  /** Handles one event and appends the resulting effects. */
  void Reduce(const event& event, time_point now, effect_list& effects);

  /** When the next tick_event is due. */
  time_point NextWake() const;

  /** Builds an outgoing message with its envelope. */
  peer_message Envelope(const send_peer_effect& effect) const;

  host_view View() const;

  /** Returns the phase without the cost of View(). */
  host_phase Phase() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail
