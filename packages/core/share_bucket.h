/** @file share_bucket.h Token bucket of one customer and kind on one host. */

#pragma once

#include <cstddef>
#include <vector>

#include "core/id_type.h"
#include "core/seat_table.h"
#include "core/time_type.h"

namespace corianderrail {

/** Rate and burst of one host. */
struct base_share {
  double rate_per_s = 0;  ///< Requests per second.
  double burst = 0;       ///< Requests that may come at once.

  bool operator==(const base_share&) const = default;
};

/**
 * Part of a limit for one seat. A host needs a burst of one request to admit
 * anything, so when the contract's burst is smaller than the number of seats,
 * the rate pays for it: over 10 s, all hosts together admit at most
 * 10 s * rate + burst.
 */
base_share ShareOfSeat(double rate_per_s, double burst, std::size_t seats);

/**
 * Seats among which a limit is divided, at most all. The burst of one request
 * for each seat costs at most a tenth of the rate.
 */
std::size_t SeatsInUse(double rate_per_s, double burst, std::size_t seats);

/** Rate moved from one host to another for a bounded time. */
struct rate_lease {
  host_id other{};        ///< Lender or borrower.
  double rate_per_s = 0;  ///< Rate moved.
  time_point begin{};     ///< First moment.
  time_point end{};       ///< One past the last moment.
};

/** Tokens, leases and demand of one customer and kind. */
class share_bucket {
 public:
  /** @param now Tokens start at none, since a predecessor may have used them.
   */
  explicit share_bucket(time_point now) : accrued_(now) {}

  /**
   * Sets the share under a new contract. A smaller share holds at once, a
   * larger one after `settle`.
   */
  void SetBase(base_share base, time_point effective_at);

  /** Adds the tokens of the time up to now. */
  void Accrue(const time_span& usable, time_point now);

  /** Takes one token. @return False when there is none. */
  bool TryAcquire();

  /** Time until one token is there at the present rate. */
  duration WaitForToken(const time_span& usable, time_point now) const;

  /** Takes a lease in place of an earlier one from the same lender. */
  void AddBorrowed(const rate_lease& lease);

  /**
   * Records a lease to a borrower. The borrower uses either this lease or the
   * one before, so the larger of the two is held until the earlier one ends.
   * The tokens must be accrued up to the begin.
   */
  void AddLent(const rate_lease& lease);

  /** Lease from this host that is in use, or nothing. */
  const rate_lease* BorrowedFrom(host_id lender) const;

  /** Rate borrowed under leases that last beyond a moment. */
  double BorrowedUntil(time_point moment) const;

  /** Rate lent to other hosts than this one. */
  double LentToOthers(host_id borrower, time_point now) const;

  /** Ends all leases from other hosts. */
  void DropBorrowed();
  void DropTokens() { tokens_ = 0; }

  /** Rate of the seat, without leases. */
  double BaseRate(const time_span& usable, time_point now) const;
  double LentRate(time_point now) const;
  double BorrowedRate(time_point now) const;
  double Rate(const time_span& usable, time_point now) const;

  /** Requests per second that callers ask for, smoothed. */
  double Demand() const { return demand_; }
  void UpdateDemand(duration elapsed);
  base_share Base(time_point now) const;

 private:
  static double Active(const std::vector<rate_lease>& leases, time_point now);
  double BaseTokens(const time_span& usable, time_point from,
                    time_point to) const;

  base_share current_share_;
  base_share next_share_;
  time_point next_share_from_{};  ///< When next_share_ takes effect.
  double tokens_ = 0;
  time_point accrued_;
  std::vector<rate_lease> borrowed_;
  std::vector<rate_lease> lent_;  ///< No overlap for the same borrower.
  double attempts_ = 0;           ///< Since the last UpdateDemand().
  double demand_ = 0;
};

}  // namespace corianderrail
