/** @file peer_revisions.cpp Bounded requests to peers that are ahead. */

#include "core/peer_revisions.h"

#include <algorithm>

namespace corianderrail {

namespace {

// A peer that did not deliver after this many requests no longer stops
// admission: it may be partitioned away or advertise what it does not hold.
constexpr std::uint32_t kMaxTries = 4;

// Covers a round trip between regions with a whole set of 1 MB.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(500);

// A peer that ran out of tries and still advertises is asked again this late.
constexpr duration kRetryExhausted = std::chrono::seconds(10);

// Enough peers to ask in turn; a change reaches thousands at the same time.
constexpr std::size_t kMaxPeers = 16;

}  // namespace

void peer_revisions::OnAdvertised(const newer_peer& peer, std::uint64_t current,
                                  time_point now) {
  const auto found = peers_.find(peer.host);
  if (peer.version <= current) {
    if (found != peers_.end()) peers_.erase(found);
    return;
  }
  if (found == peers_.end()) {
    if (peers_.size() >= kMaxPeers) {
      // A peer that failed to deliver makes room for one not asked yet.
      const auto exhausted = std::find_if(
          peers_.begin(), peers_.end(),
          [](const auto& entry) { return entry.second.tries >= kMaxTries; });
      if (exhausted == peers_.end()) return;
      peers_.erase(exhausted);
    }
    peers_.emplace(peer.host, peer);
    return;
  }
  newer_peer& known = found->second;
  known.address = peer.address;
  if (known.version != peer.version || known.digest != peer.digest) {
    known.version = peer.version;
    known.digest = peer.digest;
    known.tries = 0;
    return;
  }
  // One further request, without counting as behind.
  const bool exhausted = known.tries >= kMaxTries;
  if (exhausted && now >= known.last_try + kRetryExhausted && !open_) {
    known.last_try = time_point{};
  }
}

void peer_revisions::OnReached(std::uint64_t current) {
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.version <= current;
  });
  if (open_ && !peers_.contains(*open_)) OnAnswer(*open_);
}

void peer_revisions::OnRefused(std::uint64_t version, std::uint64_t digest) {
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.version == version && entry.second.digest == digest;
  });
  if (open_ && !peers_.contains(*open_)) OnAnswer(*open_);
}

void peer_revisions::OnAnswer(host_id host) {
  if (open_ != host) return;
  open_.reset();
  deadline_ = kNever;
}

std::optional<newer_peer> peer_revisions::NextToAsk(time_point now) {
  if (open_ && now < deadline_) return std::nullopt;
  if (open_) OnAnswer(*open_);
  newer_peer* best = nullptr;
  for (auto& [host, peer] : peers_) {
    const bool retry = peer.last_try == time_point{};
    if (peer.tries >= kMaxTries && !retry) continue;
    const bool better =
        best == nullptr || peer.tries < best->tries ||
        (peer.tries == best->tries && peer.version > best->version);
    if (better) best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  ++best->tries;
  best->last_try = std::max(now, time_point{} + duration(1));
  open_ = best->host;
  deadline_ = now + kAnswerTimeout;
  return *best;
}

bool peer_revisions::Behind() const {
  // The last try still counts until its time-out.
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const newer_peer& peer = entry.second;
    return peer.tries < kMaxTries ||
           (peer.tries == kMaxTries && open_ == peer.host);
  });
}

void peer_revisions::Clear() {
  peers_.clear();
  open_.reset();
  deadline_ = kNever;
}

time_point peer_revisions::NextWake() const { return deadline_; }

}  // namespace corianderrail
