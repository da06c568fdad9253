/** @file placement_property_test.cpp No way to a leaf leaves the permitted
 *  regions and zones. */

#include <catch2/catch.hpp>
#include <cstdint>

#include "placement_simulation.h"

namespace corianderrail::gateway {

// Guards against any way to a leaf that misses the check of regions, zones or
// weights: first attempts, retries, hedges, queued parts, and requests that
// wait for a connection while configurations and evacuations change.
TEST_CASE("Placement_AnyChange_StaysInPermittedRegionsAndZones") {
  constexpr std::size_t kChoices = 100'000;
  constexpr std::size_t kChoicesPerTopology = 500;
  placement_counts sum;
  for (std::uint32_t seed = 1; sum.choices < kChoices && seed < 2000; ++seed) {
    placement_simulation simulation(seed);
    const placement_counts& one = simulation.Run(kChoicesPerTopology);
    INFO("seed: " << seed);
    REQUIRE(one.forbidden == 0);
    sum.choices += one.choices;
    sum.writes += one.writes;
    sum.retries += one.retries;
    sum.hedges += one.hedges;
    sum.queued += one.queued;
    sum.withdrawn += one.withdrawn;
    sum.refused_no_leaf += one.refused_no_leaf;
  }
  CAPTURE(sum.choices, sum.writes, sum.retries, sum.hedges, sum.queued,
          sum.withdrawn, sum.refused_no_leaf);
  CHECK(sum.choices >= kChoices);
  // Each way to a leaf has to occur for the result to say something.
  for (const std::size_t count :
       {sum.writes, sum.retries, sum.hedges, sum.queued, sum.withdrawn,
        sum.refused_no_leaf}) {
    CHECK(count >= 1000);
  }
}

}  // namespace corianderrail::gateway
