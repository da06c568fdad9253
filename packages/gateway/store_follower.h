/** @file store_follower.h Follows all keys under one prefix of the store. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time_type.h"
#include "gateway/store_type.h"

namespace corianderrail::gateway {

/** Timing of reads from the store. */
struct store_follower_settings {
  /** Longest watch. A watch whose answer was lost cannot be told from one
   *  that waits, so its length delays changes after an outage. */
  duration watch_wait = std::chrono::seconds(5);

  /** First watch after a failure; it shows whether the store answers. */
  duration probe_wait = std::chrono::milliseconds(500);

  /** Time for an answer beyond the wait, and its bound while reads fail. */
  duration answer_timeout = std::chrono::milliseconds(1500);
  duration longest_timeout = std::chrono::seconds(6);

  /** Pause after a change, so that changes in a row cost one read. */
  duration debounce = std::chrono::milliseconds(250);

  duration first_backoff = std::chrono::milliseconds(150);
  duration longest_backoff = std::chrono::milliseconds(1200);
};

/**
 * Lists a prefix once and then watches it. The revision never goes back: an
 * answer from before what was seen is dropped.
 */
class store_follower {
 public:
  store_follower(std::string prefix, store_follower_settings settings,
                 std::uint64_t seed);

  /** The read to make now, if one is due; it stays open until an On call. */
  std::optional<store_read> Next(time_point now);

  /** When Next() may return a read; kNever while one is open. */
  time_point NextWake() const;

  /** Takes a reply. @return New changes in order of revision. */
  std::vector<store_item> OnReply(store_reply reply, time_point now);

  void OnFailure(store_failure failure, time_point now);

  /** Reads anew at once; a change is known to exist that was not seen. */
  void ReadNow(time_point now);

  /** True once a whole listing was read. */
  bool Listed() const { return listed_; }

  /** True while the last read failed. */
  bool Failing() const { return failures_ > 0; }

  std::uint64_t Revision() const { return revision_; }

 private:
  std::vector<store_item> OnListing(store_reply reply, time_point now);
  std::vector<store_item> OnChanges(store_reply reply, time_point now);
  void StartListing(time_point at);
  void Accept(store_item item, std::vector<store_item>& changes);

  std::string prefix_;
  store_follower_settings settings_;
  random_source random_;
  std::map<std::string, std::uint64_t> revisions_;    ///< Of present keys.
  std::map<std::string, std::uint64_t> listed_keys_;  ///< Of this listing.
  bool listing_ = true;
  bool listed_ = false;
  bool open_ = false;                   ///< A read is being made.
  std::string after_key_;               ///< Next page of the listing.
  std::uint64_t listing_revision_ = 0;  ///< Of the first page.
  std::uint64_t revision_ = 0;          ///< Everything up to it was seen.
  std::uint32_t failures_ = 0;          ///< In a row.
  time_point due_{};
};

}  // namespace corianderrail::gateway
