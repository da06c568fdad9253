/**
 * @file client_delay.cpp Recognizes the time limits of clients.
 *
 * The latency objective counts from the moment at which a client wants an
 * answer. Before it sends the request it may look up a host and open a
 * connection, which takes two round trips each and is invisible here. Clients
 * of one kind have one time limit, and those that send their request at once
 * state it unchanged, so a limit shows as a value that many requests state.
 */

#include "gateway/admission/client_delay.h"

#include <algorithm>
#include <iterator>

namespace corianderrail::gateway {

namespace {

using std::chrono::milliseconds;

/** A value is a time limit if this many requests, and this share of them, state
 *  exactly it. */
constexpr std::uint32_t kMinRequests = 3;
constexpr double kMinShare = 0.1;

/** All counts are halved after this many requests, so that limits which are no
 *  longer in use are forgotten. */
constexpr std::uint32_t kMaxRequests = 512;

}  // namespace

std::optional<duration> client_delay::Add(duration remaining,
                                          duration max_delay) {
  const auto stated = std::chrono::duration_cast<milliseconds>(remaining);
  const auto bound = std::chrono::duration_cast<milliseconds>(max_delay);
  if (requests_ >= kMaxRequests) Forget();
  ++counts_[stated.count()];
  ++requests_;
  const double enough = std::max<double>(kMinRequests, kMinShare * requests_);
  const auto own = counts_.find(stated.count());
  auto limit = counts_.upper_bound(stated.count() + bound.count());
  while (limit != own) {
    --limit;
    if (limit->second >= enough) {
      return milliseconds(limit->first) - stated;
    }
  }
  return std::nullopt;
}

void client_delay::Forget() {
  requests_ = 0;
  for (auto one = counts_.begin(); one != counts_.end();) {
    one->second /= 2;
    requests_ += one->second;
    one = one->second == 0 ? counts_.erase(one) : std::next(one);
  }
}

}  // namespace corianderrail::gateway
