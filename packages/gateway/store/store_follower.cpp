/**
 * @file store_follower.cpp Listing, watching, and backoff after failures.
 *
 * Many hosts of a fleet that has just started list the store. Stale listings
 * are cheap for it, so the first one is stale, and one more read returns the
 * changes that it lacks.
 */

#include "gateway/store/store_follower.h"

#include <algorithm>
#include <utility>

namespace corianderrail::gateway {

// The rest of the recovery time is for a backoff, a new connection and the next
// read.
duration LongestRead(duration propagation, duration recovery) {
  return std::min(propagation, recovery * 6 / 10);
}

store_follower::store_follower(store_follower_settings settings,
                               std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::optional<store_read> store_follower::Next(time_point now) {
  if (open_ || now < due_) return std::nullopt;
  open_ = true;
  store_read read;
  read.cause = next_;
  if (next_ == store_read_cause::listing) {
    read.kind = store_read_kind::list;
    read.after_key = after_key_;
    read.may_be_stale = !listed_ && !compacted_;
  } else {
    read.kind = store_read_kind::watch;
    read.revision = revision_;
  }
  if (next_ == store_read_cause::watch) {
    const duration wait =
        Failing() ? settings_.probe_wait : settings_.watch_wait;
    read.wait = std::min(wait, settings_.longest_read * 2 / 3);
  }
  read.timeout = Timeout(read.wait);
  return read;
}

duration store_follower::Timeout(duration wait) const {
  const duration timeout = wait + AnswerTimeout();
  return listed_ ? std::min(timeout, settings_.longest_read) : timeout;
}

duration store_follower::AnswerTimeout() const {
  if (!listed_) {
    if (failures_ % 8 == 7) return settings_.longest_timeout;
    return failures_ % 3 == 2 ? settings_.answer_timeout
                              : settings_.first_listing_timeout;
  }
  // If the store is slow for all reads, a longer timeout lets them finish.
  const std::uint32_t doublings = std::min<std::uint32_t>(failures_ / 3, 4);
  return std::min(settings_.answer_timeout * (1 << doublings),
                  settings_.longest_timeout);
}

time_point store_follower::NextWake() const { return open_ ? kNever : due_; }

std::vector<store_item> store_follower::OnReply(store_reply reply,
                                                time_point now,
                                                bool from_store) {
  open_ = false;
  failures_ = 0;
  from_store_ = from_store;
  return next_ == store_read_cause::listing ? OnListing(std::move(reply), now)
                                            : OnChanges(std::move(reply), now);
}

void store_follower::Accept(store_item item, std::vector<store_item>& changes) {
  const auto known = revisions_.find(item.key);
  if (known != revisions_.end() && item.revision <= known->second) return;
  if (item.removed) {
    if (known == revisions_.end()) return;
    revisions_.erase(known);
  } else {
    revisions_[item.key] = item.revision;
  }
  changes.push_back(std::move(item));
}

std::vector<store_item> store_follower::OnListing(store_reply reply,
                                                  time_point now) {
  std::vector<store_item> changes;
  if (reply.revision < revision_) {
    // The answer came from a replica of the store that is behind.
    StartListing(now + settings_.first_backoff);
    return changes;
  }
  // Stale pages may come from replicas of different age.
  listing_revision_ = after_key_.empty()
                          ? reply.revision
                          : std::min(listing_revision_, reply.revision);
  for (store_item& item : reply.items) {
    listed_keys_[item.key] = item.revision;
    after_key_ = item.key;
    Accept(std::move(item), changes);
  }
  if (reply.more && !after_key_.empty()) {
    due_ = now;
    return changes;
  }
  // The pages are not a consistent snapshot. Only a key that was written before
  // all pages and is on no page was removed; the watch reports the rest.
  std::vector<store_item> removals;
  for (const auto& [key, revision] : revisions_) {
    if (listed_keys_.contains(key) || revision > listing_revision_) continue;
    removals.push_back({key, listing_revision_, true, {}});
  }
  for (store_item& item : removals) Accept(std::move(item), changes);
  revision_ = std::max(revision_, listing_revision_);
  if (listed_ || !from_store_) {
    CompleteListing(now);
    return changes;
  }
  next_ = store_read_cause::catch_up;
  due_ = now;
  return changes;
}

void store_follower::CompleteListing(time_point now) {
  const bool first = !std::exchange(listed_, true);
  next_ = store_read_cause::watch;
  due_ = first && from_store_ ? now + settings_.first_watch_delay : now;
}

std::vector<store_item> store_follower::OnOtherReply(store_reply reply) {
  std::vector<store_item> changes;
  std::sort(reply.items.begin(), reply.items.end(),
            [](const store_item& a, const store_item& b) {
              return a.revision < b.revision;
            });
  for (store_item& item : reply.items) {
    // A key that was removed since is unknown, and an answer that was overtaken
    // must not bring it back.
    if (item.revision > revision_) Accept(std::move(item), changes);
  }
  revision_ = std::max(revision_, reply.revision);
  return changes;
}

std::vector<store_item> store_follower::OnChanges(store_reply reply,
                                                  time_point now) {
  relistings_ = 0;
  std::vector<store_item> changes = OnOtherReply(std::move(reply));
  if (next_ == store_read_cause::catch_up) {
    CompleteListing(now);
    return changes;
  }
  due_ = now;
  if (changes.empty()) return changes;
  due_ = now + NextPause(now);
  return changes;
}

duration store_follower::NextPause(time_point now) {
  // A watch that returned soon after the previous pause shows a series.
  const bool series = from_store_ && now - last_change_ <= 2 * pause_;
  pause_ = series ? std::min(2 * pause_, settings_.max_debounce)
                  : settings_.debounce;
  last_change_ = now;
  return pause_;
}

void store_follower::StartListing(time_point at) {
  next_ = store_read_cause::listing;
  after_key_.clear();
  listed_keys_.clear();
  due_ = at;
}

/** Pause after the given number of failures before the present one. Half of it
 *  is random, so that hosts do not retry simultaneously. */
duration store_follower::Backoff(std::uint32_t failures_before) {
  const std::uint32_t doublings = std::min<std::uint32_t>(failures_before, 8);
  const duration limit = std::min(
      settings_.first_backoff * (1 << doublings),
      listed_ ? settings_.longest_backoff : settings_.first_listing_backoff);
  return limit / 2 +
         duration(random_.Below(static_cast<std::uint64_t>(limit.count()) / 2));
}

/** Lists anew: the first time at once, then with a growing pause until a watch
 *  succeeds. A listing succeeds between two such failures, so they do not count
 *  as consecutive failures. */
void store_follower::ListAnew(time_point now) {
  const duration pause =
      relistings_ == 0 ? duration::zero() : Backoff(relistings_ - 1);
  ++relistings_;
  StartListing(now + pause);
}

void store_follower::OnFailure(store_failure failure, time_point now) {
  open_ = false;
  // Another stale listing could be as old as the lost history.
  const bool relists =
      NeedsListing(failure) && next_ != store_read_cause::listing;
  compacted_ = compacted_ || relists || failure == store_failure::compacted;
  if (relists || failure == store_failure::compacted) {
    ListAnew(now);
    return;
  }
  const duration pause = Backoff(failures_);
  ++failures_;
  if (next_ == store_read_cause::listing) {
    StartListing(now + pause);
    return;
  }
  // The listing is at most some seconds old. That is better than no items while
  // the store does not answer.
  if (next_ == store_read_cause::catch_up) CompleteListing(now);
  due_ = now + pause;
}

void store_follower::ReadNow(time_point now) {
  if (!open_) due_ = std::min(due_, now);
}

}  // namespace corianderrail::gateway
