/** @file share_bucket.cpp Accrual of tokens and accounting of leases. */

#include "core/share_bucket.h"

#include <algorithm>

namespace corianderrail {

namespace {

// Window over which the contract's limit holds: at most window * rate + burst.
constexpr double kWindowSeconds = 10;

// Weight of the newest period in the moving average of the demand.
constexpr double kDemandWeight = 0.4;

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

/** Length of the overlap of two spans, in seconds. */
double Overlap(time_point begin, time_point end, time_point from,
               time_point to) {
  const time_point first = std::max(begin, from);
  const time_point last = std::min(end, to);
  return last > first ? Seconds(last - first) : 0;
}

}  // namespace

base_share ShareOfSeat(double rate_per_s, double burst, std::size_t seats) {
  if (seats == 0) return {};
  const auto count = static_cast<double>(seats);
  base_share share;
  share.burst = std::max(1.0, burst / count);
  const double window = kWindowSeconds * rate_per_s + burst;
  const double rest = (window - count * share.burst) / kWindowSeconds;
  share.rate_per_s = std::clamp(rest, 0.0, rate_per_s) / count;
  return share;
}

std::size_t SeatsInUse(double rate_per_s, double burst, std::size_t seats) {
  const double max_seats = rate_per_s + burst;
  if (max_seats >= static_cast<double>(seats)) return seats;
  const auto whole = static_cast<std::size_t>(std::max(max_seats, 0.0));
  return std::min(std::max<std::size_t>(whole, 1), seats);
}

void share_bucket::SetBase(base_share base, time_point effective_at) {
  current_share_.rate_per_s =
      std::min(current_share_.rate_per_s, base.rate_per_s);
  current_share_.burst = std::min(current_share_.burst, base.burst);
  next_share_ = base;
  next_share_from_ = effective_at;
  tokens_ = std::min(tokens_, current_share_.burst);
}

base_share share_bucket::Base(time_point now) const {
  return now >= next_share_from_ ? next_share_ : current_share_;
}

double share_bucket::BaseTokens(const time_span& usable, time_point from,
                                time_point to) const {
  const double before =
      Overlap(usable.begin, std::min(usable.end, next_share_from_), from, to);
  const double after =
      Overlap(std::max(usable.begin, next_share_from_), usable.end, from, to);
  return before * current_share_.rate_per_s + after * next_share_.rate_per_s;
}

void share_bucket::Accrue(const time_span& usable, time_point now) {
  if (now <= accrued_) return;
  double base = BaseTokens(usable, accrued_, now);
  for (const rate_lease& one : lent_) {
    base -= one.rate_per_s * Overlap(one.begin, one.end, accrued_, now);
  }
  double gained = std::max(base, 0.0);
  for (const rate_lease& one : borrowed_) {
    gained += one.rate_per_s * Overlap(one.begin, one.end, accrued_, now);
  }
  tokens_ = std::min(tokens_ + gained, Base(now).burst);
  accrued_ = now;
  if (now >= next_share_from_) current_share_ = next_share_;
  const auto expired = [now](const rate_lease& one) { return one.end <= now; };
  std::erase_if(lent_, expired);
  std::erase_if(borrowed_, expired);
}

bool share_bucket::TryAcquire() {
  attempts_ += 1;
  // The sum of many small gains may be slightly below 1 because of rounding.
  constexpr double kRounding = 1e-9;
  if (tokens_ + kRounding < 1) return false;
  tokens_ -= 1;
  return true;
}

duration share_bucket::WaitForToken(const time_span& usable,
                                    time_point now) const {
  constexpr double kMaxWaitSeconds = 1;
  const double rate = Rate(usable, now);
  const double missing = std::max(1 - tokens_, 0.0);
  const double seconds =
      rate * kMaxWaitSeconds > missing ? missing / rate : kMaxWaitSeconds;
  return duration(static_cast<duration::rep>(seconds * 1e6) + 1);
}

void share_bucket::AddBorrowed(const rate_lease& lease) {
  std::erase_if(borrowed_, [&](const rate_lease& one) {
    return one.other == lease.other;
  });
  borrowed_.push_back(lease);
}

void share_bucket::AddLent(const rate_lease& lease) {
  time_point begin = lease.begin;
  for (rate_lease& one : lent_) {
    if (one.other != lease.other || one.end <= lease.begin) continue;
    one.rate_per_s = std::max(one.rate_per_s, lease.rate_per_s);
    begin = std::max(begin, one.end);
  }
  if (begin >= lease.end) return;
  lent_.push_back({lease.other, lease.rate_per_s, begin, lease.end});
}

const rate_lease* share_bucket::BorrowedFrom(host_id lender) const {
  const auto found =
      std::find_if(borrowed_.begin(), borrowed_.end(),
                   [&](const rate_lease& one) { return one.other == lender; });
  return found == borrowed_.end() ? nullptr : &*found;
}

double share_bucket::BorrowedUntil(time_point moment) const {
  double sum = 0;
  for (const rate_lease& one : borrowed_) {
    if (one.end > moment) sum += one.rate_per_s;
  }
  return sum;
}

double share_bucket::LentToOthers(host_id borrower, time_point now) const {
  double sum = 0;
  for (const rate_lease& one : lent_) {
    if (one.other == borrower) continue;
    if (one.begin <= now && now < one.end) sum += one.rate_per_s;
  }
  return sum;
}

void share_bucket::DropBorrowed() { borrowed_.clear(); }

double share_bucket::Active(const std::vector<rate_lease>& leases,
                            time_point now) {
  double sum = 0;
  for (const rate_lease& one : leases) {
    if (one.begin <= now && now < one.end) sum += one.rate_per_s;
  }
  return sum;
}

double share_bucket::BaseRate(const time_span& usable, time_point now) const {
  const bool open = usable.begin <= now && now < usable.end;
  return open ? Base(now).rate_per_s : 0;
}

double share_bucket::LentRate(time_point now) const {
  return Active(lent_, now);
}

double share_bucket::BorrowedRate(time_point now) const {
  return Active(borrowed_, now);
}

double share_bucket::Rate(const time_span& usable, time_point now) const {
  return std::max(BaseRate(usable, now) - LentRate(now), 0.0) +
         BorrowedRate(now);
}

void share_bucket::UpdateDemand(duration elapsed) {
  if (elapsed <= duration{}) return;
  const double rate = attempts_ / Seconds(elapsed);
  attempts_ = 0;
  demand_ += kDemandWeight * (rate - demand_);
  // A moving average never reaches 0 by itself, so the host would reserve a
  // share for work that ended.
  constexpr double kMinDemand = 0.01;
  if (demand_ < kMinDemand) demand_ = 0;
}

}  // namespace corianderrail
