/** @file peer_revisions.h Peers that advertise something newer. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/id_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** A peer that holds a newer version than this host. */
struct newer_peer {
  host_id host{};             ///< The peer.
  std::string address;        ///< Its peer address.
  std::uint64_t version = 0;  ///< Version it advertises.
  std::uint64_t digest = 0;   ///< Digest that goes with it.
  std::uint32_t tries = 0;    ///< Requests it did not satisfy.
  time_point last_try{};      ///< When it was asked last.
};

/**
 * Chooses which peer to ask for a newer version: one request at a time, a
 * time-out, then another peer, and a bounded number of tries for each.
 */
class peer_revisions {
 public:
  /** Records what a peer advertises, if it is above `current`. */
  void OnAdvertised(const newer_peer& peer, std::uint64_t current,
                    time_point now);

  /** Drops peers that advertise no more than `current`. */
  void OnReached(std::uint64_t current);

  /** Drops peers that advertise a refused version. */
  void OnRefused(std::uint64_t version, std::uint64_t digest);

  /** Closes the open request when this host answered it. */
  void OnAnswer(host_id host);

  /** Next peer to ask now, if no request is open; opens the request. */
  std::optional<newer_peer> NextToAsk(time_point now);

  /** True while a peer that may still deliver advertises more. */
  bool Behind() const;

  /** Drops everything, as after a pause. */
  void Clear();

  time_point NextWake() const;

 private:
  std::map<host_id, newer_peer> peers_;
  std::optional<host_id> open_;
  time_point deadline_ = kNever;
};

}  // namespace corianderrail
