/** @file hedge_budget.h Token budget shared by hedges and retries. */

#pragma once

#include "core/contract_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Earns a fixed part of a token per first request; extra requests cost one. */
class hedge_budget {
 public:
  explicit hedge_budget(ppm extra_load);

  /** Counts one first request. */
  void OnRequest();

  /**
   * Takes a token for a request that is already known to be in trouble: a
   * retry, a hedge of an outlier or a probe.
   */
  bool TryAcquireForFault();

  /**
   * Takes a token for a hedge in the ordinary tail. It leaves half of the
   * burst untouched; the ordinary tail alone would otherwise use up the
   * budget, with nothing left when a replica fails.
   */
  bool TryAcquireForTail();

  /**
   * Takes a token for a retry, or without a token one retry a period, so that
   * a service with little traffic does not wait for its deadline.
   */
  bool TryAcquireForRetry(time_point now);

  /** When TryAcquireForRetry() succeeds at the latest. */
  time_point NextRetry() const { return next_retry_; }

 private:
  double tokens_per_request_;  ///< Tokens per first request.
  double tokens_;              ///< Tokens left.
  time_point next_retry_{};    ///< Next retry without a token.
};

}  // namespace corianderrail
