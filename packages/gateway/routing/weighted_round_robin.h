/** @file weighted_round_robin.h Splits requests over services by weight. */

#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "gateway/routing/routing_type.h"

namespace corianderrail::gateway {

/** Smooth weighted round robin over the services of one route. */
class weighted_round_robin {
 public:
  /** Index of the service that gets the next request. */
  std::size_t Next(std::span<const weighted_service> targets);

 private:
  std::vector<double> credit_;  ///< Accumulated weight of each service.
};

}  // namespace corianderrail::gateway
