/** @file leaf_departure.h Since when one boot of a leaf leaves. */

#pragma once

#include <optional>

#include "core/time_type.h"

namespace corianderrail::gateway {

/**
 * What a host knows of the departure of one boot of a leaf: from the registry
 * and from the leaf's own answers. The earlier of both decides.
 */
class leaf_departure {
 public:
  /** The leaf answered without saying that it leaves.
   *  @param sent When its request was sent. */
  void OnServing(time_point sent);

  /** The leaf answered that it leaves. It stays leaving for the rest of this
   *  boot.
   *  @return True for the first such answer. */
  bool OnStatedLeaving();

  /** The registry has the leaf as draining or removed.
   *  @param since When that began at the earliest. */
  void OnUnlisted(time_point since);

  /** The registry has the leaf as ready. */
  void OnListed() { unlisted_since_.reset(); }

  /** True when the leaf itself said that it leaves. */
  bool StatedLeaving() const { return stated_since_.has_value(); }

  /** When the leaf began to leave at the earliest; empty if it does not. */
  std::optional<time_point> Since() const;

 private:
  time_point serving_at_{};  ///< Latest time at which it did not leave.
  std::optional<time_point> stated_since_;    ///< By its own answers.
  std::optional<time_point> unlisted_since_;  ///< By the registry.
};

}  // namespace corianderrail::gateway
