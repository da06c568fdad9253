/** @file peer_revisions.h Peers that advertise a newer version. */

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
  host_id host{};
  std::string address;        ///< Its peer address.
  std::uint64_t version = 0;  ///< Version it advertises.
  std::uint64_t digest = 0;   ///< Digest of that version; 0 if it has none.
  std::uint32_t tries = 0;    ///< Requests sent for this version.
  time_point last_try{};      ///< Time of the last request.
};

/**
 * Chooses the peer from which to request a newer version. One request is open
 * at a time. After a time-out another peer is chosen. The number of requests to
 * each peer is bounded.
 */
class peer_revisions {
 public:
  /** Records the version that a peer advertises, if it is above `current`. */
  void OnAdvertised(const newer_peer& peer, std::uint64_t current,
                    time_point now);

  /** Removes peers that advertise `current` or an older version. */
  void OnReached(std::uint64_t current);

  /** Removes peers that advertise a rejected version. */
  void OnRefused(std::uint64_t version, std::uint64_t digest);

  /** Closes the open request if it was sent to this peer. */
  void OnAnswer(host_id host);

  /** Chooses the next peer and opens a request, unless one is open. */
  std::optional<newer_peer> NextToAsk(time_point now);

  /** True while a peer with tries left, or with its last request still open,
   *  advertises a newer version. */
  bool Behind() const;

  /** Removes all peers and the open request, for example after a pause. */
  void Clear();

  time_point NextWake() const;

 private:
  std::map<host_id, newer_peer> peers_;
  std::optional<host_id> open_;
  time_point deadline_ = kNever;
};

}  // namespace corianderrail
