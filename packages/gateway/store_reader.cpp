/** @file store_reader.cpp Reads of the store or of a peer. */

#include "gateway/store_reader.h"

#include <utility>

namespace corianderrail::gateway {

namespace {

/** Longest wait of a watch at a peer. Each answer states the age of the peer's
 *  items, so a short wait shows early when they are too old. */
constexpr duration kMaxPeerWait = std::chrono::seconds(2);

/** Time for the answer of a peer in addition to the wait, within the longest
 *  read. */
constexpr duration kPeerTimeout = std::chrono::milliseconds(1200);

}  // namespace

store_reader::store_reader(store_reader_settings settings)
    : zone_(std::move(settings.zone)),
      longest_read_(settings.reads.longest_read),
      follower_(settings.reads, settings.seed),
      sources_(settings.self, {}),
      probe_(~settings.seed) {}

std::optional<sourced_read> store_reader::Next(
    std::span<const member_record> members, time_point now) {
  auto read = follower_.Next(now);
  if (!read) return std::nullopt;
  if (CompleteRevision() >= missing_) missing_ = 0;
  sourced_read result{
      sources_.Choose(members, zone_, follower_.Listed(), now, missing_),
      std::move(*read)};
  if (sources_.ReplacesStore() && follower_.Listed()) {
    probe_.Start(now);
  } else {
    probe_.Stop();
  }
  if (result.peer) {
    // A listing waits too, because the peer may be starting and have no items
    // yet.
    const bool list = result.read.kind == store_read_kind::list;
    const duration longest = std::min(kMaxPeerWait, longest_read_ * 2 / 3);
    result.read.wait = list ? longest / 2 : std::min(result.read.wait, longest);
    result.read.timeout =
        std::min(result.read.wait + kPeerTimeout, longest_read_);
  }
  read_ = result.read;
  read_began_ = now;
  if (read_.after_key.empty()) listing_began_ = now;
  return result;
}

std::optional<store_read> store_reader::NextProbe(time_point now) {
  const auto timeout = probe_.Next(now);
  if (!timeout) return std::nullopt;
  store_read read;
  read.cause = store_read_cause::probe;
  read.kind = store_read_kind::watch;
  read.revision = follower_.Revision();
  read.timeout = *timeout;
  return read;
}

void store_reader::OnProbeAnswered() {
  probe_.Stop();
  sources_.OnStoreAnswered();
}

void store_reader::OnProbeFailed(time_point now) {
  store_failed_ = true;
  probe_.OnFailure(now);
}

/**
 * Notes since when no change can be missing. A reply may have been on its way
 * for long, so it proves the state of the time at which its read was held at
 * least, not of the time of its arrival.
 */
void store_reader::Confirm(const store_reply& reply,
                           const reply_freshness& freshness, time_point now) {
  const bool from_store = sources_.ReadsStore();
  const bool list = read_.kind == store_read_kind::list;
  const bool unproven = reply.more || (from_store && read_.may_be_stale);
  if (unproven) return;
  // The store holds a watch for all of its wait unless there are changes.
  const bool expired = from_store && !list && reply.items.empty() &&
                       now >= read_began_ + read_.wait;
  const duration held =
      expired ? read_.wait : std::min(freshness.held, now - read_began_);
  const time_point sent = (list ? listing_began_ : read_began_) + held;
  sources_.OnAnswer(now - sent + freshness.age, now);
  store_failed_ = false;
}

store_update store_reader::OnReply(store_reply reply,
                                   const reply_freshness& freshness,
                                   time_point now) {
  const time_point changed_after = sources_.Confirmed();
  const bool after_outage = store_failed_;
  Confirm(reply, freshness, now);
  auto changes =
      follower_.OnReply(std::move(reply), now, sources_.ReadsStore());
  // A listing is ordered by key.
  for (const store_item& item : changes) {
    newest_revision_ = std::max(newest_revision_, item.revision);
  }
  store_update update = UpdateOf(std::move(changes));
  update.changed_after = changed_after;
  update.after_outage = after_outage;
  return update;
}

std::optional<store_update> store_reader::OnFailure(store_failure failure,
                                                    time_point now) {
  const bool was_listed = follower_.Listed();
  follower_.OnFailure(failure, now);
  if (failure != store_failure::compacted) {
    store_failed_ = store_failed_ || sources_.ReadsStore();
    sources_.OnFailure(now);
  }
  if (was_listed || !follower_.Listed()) return std::nullopt;
  return UpdateOf({});
}

std::optional<store_update> store_reader::OnCanceled(time_point now) {
  const bool was_listed = follower_.Listed();
  follower_.OnFailure(store_failure::unreachable, now);
  if (was_listed || !follower_.Listed()) return std::nullopt;
  return UpdateOf({});
}

void store_reader::OnOverdue(std::uint64_t missing, time_point now) {
  missing_ = missing;
  sources_.OnFailure(now);
}

store_update store_reader::UpdateOf(std::vector<store_item> changes) const {
  store_update update;
  update.changes = std::move(changes);
  update.revision = follower_.Listed() ? follower_.Revision() : 0;
  update.confirmed = sources_.Confirmed();
  return update;
}

}  // namespace corianderrail::gateway
