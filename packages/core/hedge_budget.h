/** @file hedge_budget.h Token budget shared by hedges and retries. */

#pragma once

#include "core/contract_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Token bucket that bounds extra requests. A first request adds a fixed
 *  fraction of a token; a hedge, retry or probe takes one token. */
class hedge_budget {
 public:
  /** @param extra_load Tokens per million first requests; 0 allows no extra
   *  request at all. */
  explicit hedge_budget(ppm extra_load);

  /** Adds the tokens earned by one first request. */
  void OnRequest();

  /**
   * Takes a token for an extra request that a fault requires: a retry, a hedge
   * of an outlier or a probe.
   * @return Whether there was a token.
   */
  bool TryAcquireForFault();

  /**
   * Takes a token for a hedge of a request in the ordinary latency tail, but
   * only from the upper half of the bucket. Otherwise such hedges alone would
   * use up the budget, and no token would be left when a replica fails.
   */
  bool TryAcquireForTail();

  /**
   * Takes a token for a retry. Without tokens it allows one retry per period,
   * as a service with little traffic earns too few tokens to retry before the
   * deadline.
   */
  bool TryAcquireForRetry(time_point now);

  /** Time from which TryAcquireForRetry() succeeds even without a token. */
  time_point NextRetry() const { return next_retry_; }

 private:
  double tokens_per_request_;  ///< Tokens per first request.
  double tokens_;              ///< Available tokens.
  time_point next_retry_{};    ///< Earliest retry without a token.
};

}  // namespace corianderrail
