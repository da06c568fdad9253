/** @file store_reader.cpp Reads of the store or of a peer. */

#include "gateway/store/store_reader.h"

#include <utility>

namespace corianderrail::gateway {

namespace {

/** Part of a limit after which items are stale. */
constexpr int kStaleNumerator = 55;
constexpr int kStaleDenominator = 100;

/** A watch ends so long after the last confirmation, as a part of the greatest
 *  age. The rest covers the answer's way and the hosts in between. */
constexpr int kConfirmNumerator = 80;
constexpr int kConfirmDenominator = 100;

/** Hosts that probe the store at once when their items are stale. A larger
 * fleet spreads its probes, so that it makes ten calls a second together. */
constexpr std::size_t kPromptProbers = 8;
constexpr duration kProbeSpacing = std::chrono::milliseconds(100);

/** Items are stale only after their greatest age. */
constexpr duration kTick = duration(1);

/** Time for the answer of a peer in addition to the wait, within the longest
 *  read. */
constexpr duration kPeerTimeout = std::chrono::milliseconds(1200);

}  // namespace

duration MaxItemAge(duration propagation, duration leaf_drain) {
  return std::min(propagation, leaf_drain) * kStaleNumerator /
         kStaleDenominator;
}

store_reader::store_reader(store_reader_settings settings)
    : zone_(std::move(settings.zone)),
      longest_read_(settings.reads.longest_read),
      max_age_(settings.max_age),
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
  const duration wait = WaitFor(result.read, now);
  if (result.peer) {
    result.read.timeout = std::min(wait + kPeerTimeout, longest_read_);
  } else {
    result.read.timeout -= result.read.wait - wait;
  }
  result.read.wait = wait;
  read_ = result.read;
  read_began_ = now;
  if (read_.after_key.empty()) listing_began_ = now;
  ScheduleProbes(members.size(), now);
  return result;
}

/** How long a read waits for a change. */
duration store_reader::WaitFor(const store_read& read, time_point now) const {
  if (!sources_.ReadsStore()) {
    // A listing waits too, because the peer may be starting and have no items
    // yet. A peer answers a watch as soon as its items are confirmed anew.
    const bool list = read.kind == store_read_kind::list;
    const duration longest = std::min(max_age_, longest_read_ * 2 / 3);
    return list ? longest / 2 : std::min(read.wait, longest);
  }
  if (read.cause != store_read_cause::watch) return read.wait;
  const time_point confirm_at =
      sources_.Confirmed() + max_age_ * kConfirmNumerator / kConfirmDenominator;
  return std::clamp(confirm_at - now, duration{}, read.wait);
}

/** Probes are needed while a peer takes the place of the store, which readers
 *  notice first, and while the items are stale. A listing of the store will
 *  confirm them; a probe cannot, if it is for lack of history. */
bool store_reader::NeedsProbe(time_point now) const {
  if (!follower_.Listed() || ListsStore()) return false;
  return sources_.ReplacesStore() || Stale(now);
}

void store_reader::ScheduleProbes(std::size_t hosts, time_point now) {
  const std::size_t others = std::max(hosts, kPromptProbers) - kPromptProbers;
  probe_spread_ = sources_.IsReader()
                      ? duration{}
                      : kProbeSpacing * static_cast<duration::rep>(others);
  if (NeedsProbe(now)) {
    probe_.Start(now, probe_spread_);
  } else {
    probe_.Stop();
  }
}

time_point store_reader::NextProbeWake() const {
  if (probe_.Active()) return probe_.NextWake();
  // The read after a listing schedules the probes anew.
  if (!follower_.Listed() || ListsStore()) return kNever;
  return sources_.Confirmed() + max_age_ + kTick;
}

std::optional<store_read> store_reader::NextProbe(time_point now) {
  if (NeedsProbe(now)) probe_.Start(now, probe_spread_);
  const auto timeout = probe_.Next(now);
  if (!timeout) return std::nullopt;
  store_read read;
  read.cause = store_read_cause::probe;
  read.kind = store_read_kind::watch;
  read.revision = follower_.Revision();
  read.timeout = *timeout;
  probe_began_ = now;
  return read;
}

void store_reader::OnProbeCompacted(time_point now) {
  sources_.OnStoreAnswered();
  sources_.OnStoreNeeded();
  probe_.OnFailure(now);
}

store_update store_reader::OnProbeAnswered(store_reply reply, time_point now) {
  probe_.Stop();
  sources_.OnStoreAnswered();
  // The store can be reached, but the peer has not confirmed its items.
  if (Stale(now) && !sources_.ReadsStore()) sources_.OnFailure(now);
  const time_point changed_after = sources_.Confirmed();
  const bool after_outage = store_failed_;
  auto changes = follower_.OnOtherReply(std::move(reply));
  sources_.OnStoreConfirmed(probe_began_);
  store_failed_ = false;
  NoteNewest(changes);
  store_update update = UpdateOf(std::move(changes));
  update.changed_after = changed_after;
  update.after_outage = after_outage;
  return update;
}

/** A listing is ordered by key, so its last item need not be the newest. */
void store_reader::NoteNewest(const std::vector<store_item>& changes) {
  for (const store_item& item : changes) {
    newest_revision_ = std::max(newest_revision_, item.revision);
  }
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
  NoteNewest(changes);
  store_update update = UpdateOf(std::move(changes));
  update.changed_after = changed_after;
  update.after_outage = after_outage;
  return update;
}

std::optional<store_update> store_reader::OnFailure(store_failure failure,
                                                    time_point now) {
  const bool was_listed = follower_.Listed();
  follower_.OnFailure(failure, now);
  // A store that lacks the history answers, and so does one whose answer is too
  // large; a peer that cannot help is left for one that can.
  const bool answers = failure == store_failure::compacted ||
                       (NeedsListing(failure) && sources_.ReadsStore());
  if (!answers) {
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
