/** @file source_choice.h Where a host reads the store's items from. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "core/member_type.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/** Timing of the choice. */
struct source_settings {
  /** Hosts of a zone that read the store. With one, a store that turns this
   *  host away unnoticed would keep changes from the whole zone. */
  std::size_t readers = 2;

  /** A source that failed is passed over for this long. */
  duration avoid_failed = std::chrono::milliseconds(2500);

  /** Items that a source has not confirmed for longer are too old. A reader
   *  confirms them with each answer of the store, also to a watch. */
  duration max_age = std::chrono::seconds(7);
};

/**
 * Few hosts of each zone read the store, the others read from the first. All
 * rank the hosts of the zone alike; a source that fails or is behind is passed
 * over, so that the next one takes its place without any agreement.
 */
class source_choice {
 public:
  source_choice(host_id self, source_settings settings);

  /**
   * Peer address of the host to read from; nothing means the store.
   * @param members All members, this host included.
   * @param zone Zone of this host.
   */
  std::optional<std::string> Choose(std::span<const member_record> members,
                                    const std::string& zone, time_point now);

  /** The source that was chosen last gave no usable answer. */
  void OnFailure(time_point now);

  /** The source answered with items that it confirmed `age` ago. */
  void OnAnswer(duration age, time_point now);

  /** How long ago the items that this host holds were confirmed. */
  duration Age(time_point now) const;

  /** True when the last source was the store. */
  bool ReadsStore() const { return !source_; }

 private:
  host_id self_;
  source_settings settings_;
  std::optional<std::string> source_;          ///< Peer; the store when empty.
  std::map<std::string, time_point> avoided_;  ///< Until when, by address.
  time_point store_avoided_{};
  time_point confirmed_{};  ///< When the items were last confirmed.
};

}  // namespace corianderrail::gateway
