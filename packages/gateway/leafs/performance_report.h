/** @file performance_report.h Figures that a host sends to other hosts. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/member_type.h"
#include "core/peer_message_type.h"
#include "core/time_type.h"
#include "gateway/hosts/entry_choice.h"
#include "gateway/leafs/leaf_directory.h"

namespace corianderrail::gateway {

/** A leaf that began to differ from the usual, or has returned to it. */
struct performance_change {
  const leaf_state* leaf = nullptr;  ///< Never null.
  performance_level level;           ///< Learned level.
  bool differs = false;              ///< False when it has returned.
};

/** Selects the figures to send from own answers; figures of others are never
 *  passed on. */
class performance_report {
 public:
  /**
   * Figures of leafs that differ from the usual, those that differ most, and of
   * leafs that have just returned to it.
   * @param changes Receives what changed since the last call.
   */
  std::vector<leaf_figure> Take(leaf_directory& leafs, time_point now,
                                std::vector<performance_change>& changes);

  /** Leafs that differed at the last call. */
  std::size_t Differing() const { return differing_; }

 private:
  /** A leaf that differs, or did a short time ago. */
  struct tracked_leaf {
    bool differs = false;
    time_point seen{};  ///< Last time at which it differed.
  };

  std::unordered_map<leaf_boot, tracked_leaf> tracked_;
  std::size_t differing_ = 0;
};

/**
 * Selects the hosts that get figures: of the own region, at first those that
 * have just started, then the ones that take clients, in turn.
 */
class figure_receivers {
 public:
  /** @param self Peer address of this host. */
  figure_receivers(std::string self, std::string region,
                   entry_settings settings);

  std::vector<const member_record*> Next(std::span<const member_record> members,
                                         time_point now);

 private:
  struct known_host {
    incarnation_id incarnation{};
    time_point since{};
  };

  static void TakeInTurn(std::span<const member_record* const> from,
                         std::uint64_t& turn,
                         std::vector<const member_record*>& chosen);
  bool HasJustStarted(const member_record& member, time_point now);

  std::string self_;
  std::string region_;
  entry_settings settings_;
  std::map<host_id, known_host> known_;
  bool knows_fleet_ = false;  ///< Members seen at first are not new.
  // Turns begin at different hosts, so that not all hosts send to the same.
  std::uint64_t next_started_;  ///< Turn of the hosts that have just started.
  std::uint64_t next_entry_;    ///< Turn of the hosts that take clients.
};

}  // namespace corianderrail::gateway
