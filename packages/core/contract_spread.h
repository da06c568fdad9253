/** @file contract_spread.h Which contract set and topology are in force. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"

namespace corianderrail {

/** Result of parsing a topology document. */
struct topology_verdict {
  contract_fault fault = contract_fault::none;  ///< `none` when accepted.
  std::string reason;                           ///< Same text on every host.
  std::shared_ptr<const topology> value;        ///< Null when refused.
};

/** Parses a topology document; a pure function of the bytes. */
using topology_validator = std::function<topology_verdict(const std::string&)>;

/**
 * Learns revisions from the configuration service (when this host reads it)
 * and from peers. The revision in force only rises.
 */
class contract_spread {
 public:
  contract_spread(contract_validator contracts, topology_validator topologies,
                  head_parser heads);

  /** A value read by config_reader. */
  void OnConfigValue(const config_value_event& value, time_point now,
                     effect_list& effects);

  /** Called for every peer message, before its body is handled. */
  void OnPeerRevision(const peer_message& from, time_point now,
                      effect_list& effects);
  void OnContractRequest(const peer_message& from, const contract_request& body,
                         time_point now, effect_list& effects);
  void OnContractDelta(const peer_message& from, const contract_delta& body,
                       time_point now, effect_list& effects);
  void OnTopologyUpdate(const peer_message& from, const topology_update& body,
                        time_point now, effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now, effect_list& effects);

  /** Set in force; null before the first. */
  std::shared_ptr<const contract_set> InForce() const;
  std::shared_ptr<const topology> Topology() const;

  /** True while a peer showed a higher revision that is not in force here. */
  bool Behind() const;

  /** True when a peer needs a document format that this version lacks. */
  bool FormatTooOld() const;

  /** Rises whenever InForce() or Topology() changes. */
  std::uint64_t Generation() const;
};

}  // namespace corianderrail
