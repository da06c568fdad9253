/** @file peer_revisions.cpp Bounded requests to peers with a newer version. */

#include "core/peer_revisions.h"

#include <algorithm>

namespace corianderrail {

namespace {

// After this many requests without success, a peer no longer blocks admission:
// it may be unreachable or advertise a version that it does not have.
constexpr std::uint32_t kMaxTries = 4;

// Covers a round trip between regions with a full set of 1 MB.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(500);

// Delay before one more request to a peer without tries left that still
// advertises a newer version.
constexpr duration kRetryExhausted = std::chrono::seconds(10);

// Bound on the recorded peers. A change reaches thousands of peers at the same
// time, and a few of them are enough to try in turn.
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
      // Replace a peer without tries left by one that was not asked yet.
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
  // Allows one more request, which does not make Behind() true again.
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
    // OnAdvertised() sets last_try to 0 to permit one more request.
    const bool retry = peer.last_try == time_point{};
    if (peer.tries >= kMaxTries && !retry) continue;
    const bool better =
        best == nullptr || peer.tries < best->tries ||
        (peer.tries == best->tries && peer.version > best->version);
    if (better) best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  ++best->tries;
  // Never 0, which would permit another request.
  best->last_try = std::max(now, time_point{} + duration(1));
  open_ = best->host;
  deadline_ = now + kAnswerTimeout;
  return *best;
}

bool peer_revisions::Behind() const {
  // The last try counts until it times out.
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
