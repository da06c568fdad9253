/** @file store_follower.h Lists and watches the store. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time_type.h"
#include "gateway/store/store_type.h"

namespace corianderrail::gateway {

/** Timing of reads from the store. */
struct store_follower_settings {
  /** Longest read after the first listing. A read whose answer was lost looks
   *  like one without changes and delays the next change by this time. */
  duration longest_read = std::chrono::seconds(3);

  /** Longest watch; at most two thirds of `longest_read`. */
  duration watch_wait = std::chrono::seconds(5);

  /** Length of the first watch after a failure, which tests the store. */
  duration probe_wait = std::chrono::milliseconds(500);

  /** Time for an answer in addition to the wait, and its maximum while reads
   *  fail. */
  duration answer_timeout = std::chrono::milliseconds(1500);
  duration longest_timeout = std::chrono::seconds(6);

  /** The same before the first listing: a host that knows nothing serves
   * nobody, so it asks a silent store again soon. Most reads use the first one,
   * each third read the usual one, and each eighth the longest one, in case
   * that the store is slow. */
  duration first_listing_timeout = std::chrono::milliseconds(400);

  /** Longest backoff before the first listing. */
  duration first_listing_backoff = std::chrono::milliseconds(300);

  /** Pause after the first items were read from the store. By its end this host
   *  knows the other hosts of its zone, and most hosts watch a peer instead. */
  duration first_watch_delay = std::chrono::milliseconds(1000);

  /** Pause after a change, so that a series of changes costs few reads. It
   *  doubles up to the maximum while changes follow each other. */
  duration debounce = std::chrono::milliseconds(250);
  duration max_debounce = std::chrono::milliseconds(500);

  duration first_backoff = std::chrono::milliseconds(150);
  duration longest_backoff = std::chrono::milliseconds(1200);
};

/**
 * Returns the longest read with which a host keeps its limits.
 * @param propagation Time within which a change must be known.
 * @param recovery Time within which all changes must be known after a fault.
 */
duration LongestRead(duration propagation, duration recovery);

/**
 * Lists all items once and then watches them. The revision never decreases;
 * older answers are dropped.
 */
class store_follower {
 public:
  store_follower(store_follower_settings settings, std::uint64_t seed);

  /** The read that is due now, if any; open until OnReply() or OnFailure(). */
  std::optional<store_read> Next(time_point now);

  /** When the next read is due; kNever while one is open. */
  time_point NextWake() const;

  /** Handles a reply.
   *  @param from_store False for a reply of a peer, which costs no store read.
   *  @return New changes; those of a watch are ordered by revision. */
  std::vector<store_item> OnReply(store_reply reply, time_point now,
                                  bool from_store = true);

  /** Handles a reply to a watch that was read beside the open read. */
  std::vector<store_item> OnOtherReply(store_reply reply);

  void OnFailure(store_failure failure, time_point now);

  /** Makes the next read due now, because a change is known to be missing. */
  void ReadNow(time_point now);

  /** True once all items were read. */
  bool Listed() const { return listed_; }

  /** True when the last read failed. */
  bool Failing() const { return failures_ > 0; }

  std::uint64_t Revision() const { return revision_; }

 private:
  duration AnswerTimeout() const;
  duration Timeout(duration wait) const;
  std::vector<store_item> OnListing(store_reply reply, time_point now);
  std::vector<store_item> OnChanges(store_reply reply, time_point now);
  duration NextPause(time_point now);
  void StartListing(time_point at);
  void ListAnew(time_point now);
  duration Backoff(std::uint32_t failures_before);
  void CompleteListing(time_point now);
  void Accept(store_item item, std::vector<store_item>& changes);

  store_follower_settings settings_;
  random_source random_;
  std::map<std::string, std::uint64_t> revisions_;    ///< Of present keys.
  std::map<std::string, std::uint64_t> listed_keys_;  ///< Of the open listing.
  store_read_cause next_ = store_read_cause::listing;
  bool listed_ = false;
  bool compacted_ = false;              ///< A watch failed for lack of history.
  bool open_ = false;                   ///< A read is in progress.
  std::string after_key_;               ///< Last key of the previous page.
  std::uint64_t listing_revision_ = 0;  ///< Lowest store revision of its pages.
  std::uint64_t revision_ = 0;          ///< All changes up to it were seen.
  std::uint32_t failures_ = 0;          ///< Consecutive failures.
  std::uint32_t relistings_ = 0;        ///< Since the last answered watch.
  time_point due_{};
  bool from_store_ = true;    ///< Source of the last reply.
  duration pause_{};          ///< Last pause after a change.
  time_point last_change_{};  ///< When the last change was read.
};

}  // namespace corianderrail::gateway
