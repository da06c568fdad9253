/** @file source_choice.h Selects where a host reads the metadata store from. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/member_type.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/** Number of readers and timing of the selection. */
struct source_settings {
  /** Hosts of a zone that read the store. With a single reader, the whole zone
   *  would miss changes if the store silently rejected that host. */
  std::size_t readers = 2;

  /** Hosts that read from the same host. */
  std::size_t fan_out = 16;

  /** A source that failed is not used for this time. */
  duration avoid_failed = std::chrono::milliseconds(2500);

  /** Items that a reader of the store has not confirmed for longer count as a
   *  failure of their source. Each answer of the store, also to a watch,
   *  confirms them. */
  duration max_age = std::chrono::seconds(7);

  /** The same for each host between this one and the reader. */
  duration max_age_per_hop = std::chrono::seconds(2);
};

/**
 * A few hosts of each zone read the store, and the others form trees below
 * them. All hosts rank the hosts of a zone in the same order and skip a source
 * that fails or is behind, so the next one replaces it without coordination.
 */
class source_choice {
 public:
  source_choice(host_id self, source_settings settings);

  /**
   * Returns the peer address of the host to read from; empty for the store.
   * @param members All members, including this host.
   * @param zone Zone of this host.
   * @param has_items This host has read all items at least once.
   * @param missing Revision of a change that is overdue here, or 0.
   */
  std::optional<std::string> Choose(std::span<const member_record> members,
                                    const std::string& zone, bool has_items,
                                    time_point now, std::uint64_t missing = 0);

  /**
   * Whether a host that started `age` ago begins to read: at once if others of
   * its zone read the store or a peer has the items, otherwise after a time
   * that is the shorter the stronger the host is.
   */
  bool MayStart(std::span<const member_record> members, const std::string& zone,
                duration age) const;

  /** The source that was chosen last gave no usable answer. */
  void OnFailure(time_point now);

  /** The source answered with items that were confirmed `age` ago. */
  void OnAnswer(duration age, time_point now);

  /** When the items of this host were last confirmed. */
  time_point Confirmed() const { return confirmed_; }

  /** Time since the items of this host were last confirmed. */
  duration Age(time_point now) const;

  /** True when the store was chosen last. */
  bool ReadsStore() const { return !source_; }

  /** True when a peer was chosen last only because the store failed. */
  bool ReplacesStore() const { return replaces_store_; }

  /** True when this host was a reader of the store in the last choice. */
  bool IsReader() const { return is_reader_; }

  /** The store confirmed the items at this time, beside the chosen source. */
  void OnStoreConfirmed(time_point at) {
    confirmed_ = std::max(confirmed_, at);
  }

  /** The store answers again and may be chosen at once. */
  void OnStoreAnswered() { store_avoided_ = {}; }

  /** Only the store has what this host lacks; it is chosen until it answers. */
  void OnStoreNeeded() { store_needed_ = true; }

 private:
  using ranking = std::vector<const member_record*>;

  ranking Rank(std::span<const member_record> members,
               const std::string& zone) const;
  std::size_t OwnRank(const ranking& hosts) const;
  std::size_t ParentOf(std::size_t rank) const;
  std::size_t HopsToReader(std::size_t rank) const;
  const member_record* BestAnywhere(std::span<const member_record> members,
                                    bool has_items) const;
  const member_record* BestWith(std::span<const member_record> members,
                                const std::string& zone,
                                std::uint64_t revision) const;
  const member_record* BestAbove(const ranking& hosts, std::size_t own) const;

  host_id self_;
  source_settings settings_;
  std::optional<std::string> source_;  ///< Peer address; empty for the store.
  bool replaces_store_ = false;
  bool is_reader_ = false;
  bool store_needed_ = false;
  std::size_t hops_ = 0;  ///< From the source to its reader.
  std::map<std::string, time_point> avoided_;  ///< Expiry, by peer address.
  time_point store_avoided_{};
  time_point confirmed_{};  ///< When the items were last confirmed.
};

}  // namespace corianderrail::gateway
