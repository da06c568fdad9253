/** @file leaf_pace.h Speed and pauses of a simulated leaf. */

#pragma once

#include <string>

#include "core/random.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/** Differences between the leafs. */
struct leaf_variation {
  double spread = 0;      ///< Work differs by up to this share between leafs.
  double slow_share = 0;  ///< Share of the leafs of each kind that are slow.
  std::string slow_service;  ///< All leafs of this service are slow.
  double slow_factor = 3;    ///< How much longer a slow leaf works.
  duration pause_length{};   ///< A leaf stops working for this long.
  duration pause_period{};   ///< Time between pauses; 0 for no pauses.
};

/** Speed and pauses of one leaf. */
class leaf_pace {
 public:
  /** A leaf that works at the usual speed without pauses. */
  leaf_pace() = default;

  /** Draws the speed and the time of the pauses, independently of other leafs,
   *  so that shards have none, one or more slow leafs. */
  leaf_pace(const leaf_variation& variation, const std::string& service,
            random_source& random);

  /** Time at which the leaf has done some work that it starts now. */
  time_point EndOfWork(time_point now, duration work) const;

  /** Work per time in units of the usual speed. */
  double Speed() const;

 private:
  double work_factor_ = 1;  ///< Duration of its work relative to the usual one.
  duration pause_{};
  duration period_{};  ///< 0 for no pauses.
  duration phase_{};   ///< Distance of its first pause from the epoch.
};

}  // namespace corianderrail::gateway
