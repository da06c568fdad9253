/** @file share_bucket.h Token bucket with leases for one kind of work. */

#pragma once

#include <cstddef>
#include <vector>

#include "core/id_type.h"
#include "core/seat_table.h"
#include "core/time_type.h"

namespace corianderrail {

/** Part of a limit that belongs to one host. */
struct base_share {
  double rate_per_s = 0;  ///< Requests per second.
  double burst = 0;       ///< Requests that may be admitted at once.

  bool operator==(const base_share&) const = default;
};

/**
 * Computes the part of a limit for one seat. A host needs a burst of at least
 * one request to admit anything. If the contract's burst is smaller than the
 * number of seats, the rate is reduced to compensate: over 10 s, all hosts
 * together admit at most 10 s * rate + burst.
 */
base_share ShareOfSeat(double rate_per_s, double burst, std::size_t seats);

/**
 * Number of seats among which a limit is divided, at most all. It is chosen so
 * that the burst of one request for each seat reduces the rate by at most a
 * tenth.
 */
std::size_t SeatsInUse(double rate_per_s, double burst, std::size_t seats);

/** Rate moved from one host to another for a bounded time. */
struct rate_lease {
  host_id other{};        ///< Lender if borrowed, borrower if lent.
  double rate_per_s = 0;  ///< Rate moved.
  time_point begin{};     ///< Start of the lease.
  time_point end{};       ///< End of the lease, exclusive.
};

/** Tokens, leases and demand of one customer and kind of work on one host. */
class share_bucket {
 public:
  /** @param now Start of accrual. The bucket starts without tokens, because the
   *      previous process may have used them. */
  explicit share_bucket(time_point now) : accrued_(now) {}

  /**
   * Sets the share under a new contract. A decrease takes effect at once, an
   * increase at `effective_at`.
   */
  void SetBase(base_share base, time_point effective_at);

  /** Adds the tokens gained until now and removes leases that ended. */
  void Accrue(const time_span& usable, time_point now);

  /** Takes one token and counts the attempt as demand. @return False when no
   * token is available. */
  bool TryAcquire();

  /** Time until a token is available at the present rate; at most about 1 s. */
  duration WaitForToken(const time_span& usable, time_point now) const;

  /** Adds a lease, which replaces an earlier one from the same lender. */
  void AddBorrowed(const rate_lease& lease);

  /**
   * Records a lease to a borrower. The borrower uses either this lease or, if
   * the grant is lost, the previous one. The larger of the two rates is
   * therefore reserved until the previous lease ends. Tokens must have been
   * accrued up to the start of the lease.
   */
  void AddLent(const rate_lease& lease);

  /** Lease from this lender; null when there is none. */
  const rate_lease* BorrowedFrom(host_id lender) const;

  /** Sum of the rates of borrowed leases that end after `moment`. */
  double BorrowedUntil(time_point moment) const;

  /** Rate lent to all hosts other than `borrower`. */
  double LentToOthers(host_id borrower, time_point now) const;

  /** Removes all borrowed leases. */
  void DropBorrowed();
  void DropTokens() { tokens_ = 0; }

  /** Rate of this host's seat, without leases. */
  double BaseRate(const time_span& usable, time_point now) const;
  double LentRate(time_point now) const;
  double BorrowedRate(time_point now) const;
  double Rate(const time_span& usable, time_point now) const;

  /** Smoothed rate of requests per second, whether admitted or refused. */
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
  std::vector<rate_lease> lent_;  ///< Not overlapping for the same borrower.
  double attempts_ = 0;           ///< Since the last UpdateDemand().
  double demand_ = 0;
};

}  // namespace corianderrail
