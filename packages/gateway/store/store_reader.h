/** @file store_reader.h Decides when a host reads the store's items, and where.
 */

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/member_type.h"
#include "gateway/store/source_choice.h"
#include "gateway/store/store_follower.h"
#include "gateway/store/store_probe.h"

namespace corianderrail::gateway {

/** Changes of the items of this host, or of their state. */
struct store_update {
  std::vector<store_item> changes;  ///< New, in order of revision.
  /** All changes up to this revision were read; 0 before all items were. */
  std::uint64_t revision = 0;
  time_point confirmed{};      ///< When the store last confirmed the items.
  time_point changed_after{};  ///< The changes were made after this time.
  /** The store did not answer this host before. */
  bool after_outage = false;
};

/** A read and its receiver. */
struct sourced_read {
  std::optional<std::string> peer;  ///< Peer address; empty for the store.
  store_read read;                  ///< Its wait and timeout fit the receiver.
};

/** Identity and timing of a store_reader. */
struct store_reader_settings {
  host_id self{};                 ///< This host.
  std::string zone;               ///< Its availability zone.
  std::uint64_t seed = 0;         ///< Of the random backoff.
  store_follower_settings reads;  ///< Timing of reads.
  /** Items that were not confirmed for longer are stale: this host then asks
   * the store itself, whatever its source says. */
  duration max_age = std::chrono::milliseconds(1650);
};

/**
 * Returns the age from which items are stale: the rest of the smaller limit is
 * for the way to a source that has the change.
 * @param propagation Time within which a change must be known.
 * @param leaf_drain Time for which a leaving leaf serves.
 */
duration MaxItemAge(duration propagation, duration leaf_drain);

/**
 * Follows the items of the store, directly or through a peer. The caller
 * carries out the reads. One read is open at a time, and beside it one probe of
 * the store while a peer takes the place of the store or the items are stale.
 */
class store_reader {
 public:
  explicit store_reader(store_reader_settings settings);

  /** The read that is due now, if any; open until it ends. */
  std::optional<sourced_read> Next(std::span<const member_record> members,
                                   time_point now);

  /** When the next read is due; kNever while one is open. */
  time_point NextWake() const { return follower_.NextWake(); }

  /** The probe of the store that is due now, if any; open until it ends. */
  std::optional<store_read> NextProbe(time_point now);

  /** True while probes are needed; an open one may be canceled otherwise. */
  bool Probing() const { return probe_.Active(); }

  /** When NextProbe() is to be called; kNever while a probe is open. */
  time_point NextProbeWake() const;

  /** The store answered the open probe, so this host can read it. The open read
   *  is then to be canceled, since its source did not deliver. */
  store_update OnProbeAnswered(store_reply reply, time_point now);

  /** The store answered the open probe that it lacks the history, so this host
   *  must list it. The open read is to be canceled unless ListsStore(). */
  void OnProbeCompacted(time_point now);

  /** True while the open read, if any, is a listing of the store. */
  bool ListsStore() const {
    return read_.kind == store_read_kind::list && sources_.ReadsStore();
  }

  void OnProbeFailed(time_point now);

  /** The open read was answered.
   *  @param freshness As the peer states it; empty for the store. */
  store_update OnReply(store_reply reply, const reply_freshness& freshness,
                       time_point now);

  /** The open read failed.
   *  @return The state of the items if they became usable, else nothing. */
  std::optional<store_update> OnFailure(store_failure failure, time_point now);

  /** The open read was canceled for a reason that is no fault of its source. */
  std::optional<store_update> OnCanceled(time_point now);

  /** Peers know a change that the present source has not delivered in time. */
  void OnOverdue(std::uint64_t missing, time_point now);

  void SetMaxAge(duration max_age) { max_age_ = max_age; }

  /** True when the items were not confirmed in time. */
  bool Stale(time_point now) const {
    return follower_.Listed() && Age(now) > max_age_;
  }

  /** Makes the next read due now. */
  void ReadNow(time_point now) { follower_.ReadNow(now); }

  bool Listed() const { return follower_.Listed(); }

  /** True when the store was chosen last. */
  bool ReadsStore() const { return sources_.ReadsStore(); }

  /** Time since the store last confirmed the items. */
  duration Age(time_point now) const { return sources_.Age(now); }

  /** Revision of the newest change that was read; 0 before the first. */
  std::uint64_t NewestRevision() const { return newest_revision_; }

  /** No change up to this revision is missing here. A listing does not contain
   *  removals, so it can exceed the newest change. */
  std::uint64_t CompleteRevision() const {
    return std::max(newest_revision_, follower_.Revision());
  }

 private:
  store_update UpdateOf(std::vector<store_item> changes) const;
  duration WaitFor(const store_read& read, time_point now) const;
  bool NeedsProbe(time_point now) const;
  void ScheduleProbes(std::size_t hosts, time_point now);
  void NoteNewest(const std::vector<store_item>& changes);
  void Confirm(const store_reply& reply, const reply_freshness& freshness,
               time_point now);

  std::string zone_;
  duration longest_read_;
  duration max_age_;
  store_follower follower_;
  source_choice sources_;
  store_probe probe_;
  duration probe_spread_{};     ///< Keeps probes of a large fleet apart.
  time_point probe_began_{};    ///< When the last probe began.
  store_read read_;             ///< The last read.
  time_point read_began_{};     ///< When it began.
  time_point listing_began_{};  ///< When the first page of a listing was read.
  bool store_failed_ = false;   ///< Since the items were last confirmed.
  std::uint64_t newest_revision_ = 0;
  std::uint64_t missing_ = 0;  ///< A change that peers know; 0 for none.
};

}  // namespace corianderrail::gateway
