/** @file flood_reference.cpp Fluid optimum for queries and plain requests. */

#include "flood_reference.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace corianderrail::gateway {

namespace {

/** The most urgent kind may be served this much less often than others. */
constexpr double kRankTolerance = 0.05;

/** Resolution of the searched shares of served requests. */
constexpr int kSteps = 100;

/** One kind of query in the fluid model. */
struct fluid_kind {
  double offered = 0;  ///< Requests per second.
  double work = 0;     ///< Seconds of work for one part.
  double value = 0;    ///< Of a complete answer.
  double shards = 0;   ///< Parts of a complete answer.
  double spare = 0;    ///< Parts that may be left out.
  std::uint32_t rank = 0;

  /** Value lost for each part that is left out. The square of the coverage is
   *  convex, so the chord is an upper bound of the value. */
  double LossPerSpare() const {
    const double least = 1 - spare / shards;
    return spare == 0 ? 0 : value * (1 - least * least) / spare;
  }
};

fluid_kind FluidKind(const flood_kind& kind, const flood_result& result,
                     double seconds) {
  fluid_kind fluid;
  fluid.offered = static_cast<double>(result.offered) / seconds;
  fluid.work = std::chrono::duration<double>(kind.work).count();
  fluid.value = kind.value;
  fluid.shards = static_cast<double>(kind.services.size());
  fluid.rank = kind.rank;
  if (kind.min_shard_ratio > 0) {
    const double needed = std::ceil(kind.min_shard_ratio * fluid.shards - 1e-9);
    fluid.spare = fluid.shards - needed;
  }
  return fluid;
}

/** Value per second when the given rates are served; negative if the leafs
 *  cannot serve them. */
double FluidValue(std::span<const fluid_kind> kinds,
                  std::span<const double> rates,
                  std::span<const double> capacity) {
  double demand = 0;
  double value = 0;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    demand += rates[i] * kinds[i].work;
    value += rates[i] * kinds[i].value;
  }
  double excess = 0;
  for (const double one : capacity) excess += std::max(0.0, demand - one);
  // Leaves out parts where the least value is lost for the work saved.
  std::vector<std::size_t> order(kinds.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return kinds[a].LossPerSpare() / kinds[a].work <
           kinds[b].LossPerSpare() / kinds[b].work;
  });
  for (const std::size_t i : order) {
    const double parts =
        std::min(excess / kinds[i].work, rates[i] * kinds[i].spare);
    excess -= parts * kinds[i].work;
    value -= parts * kinds[i].LossPerSpare();
  }
  return excess > 1e-6 ? -1 : value;
}

bool KeepsRanks(std::span<const fluid_kind> kinds,
                std::span<const double> shares) {
  for (std::size_t a = 0; a < kinds.size(); ++a) {
    for (std::size_t b = 0; b < kinds.size(); ++b) {
      if (kinds[a].rank < kinds[b].rank &&
          shares[a] + kRankTolerance < shares[b] - 1e-9)
        return false;
    }
  }
  return true;
}

/** Best shares of served requests of kinds that use the same services. */
std::vector<double> BestRates(std::span<const fluid_kind> kinds,
                              std::span<const double> capacity) {
  std::vector<double> best(kinds.size());
  double most = 0;
  std::vector<double> shares(kinds.size());
  std::vector<double> rates(kinds.size());
  const auto steps = static_cast<std::size_t>(
      std::pow(kSteps + 1, static_cast<double>(kinds.size())));
  for (std::size_t step = 0; step < steps; ++step) {
    std::size_t rest = step;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      shares[i] = static_cast<double>(rest % (kSteps + 1)) / kSteps;
      rates[i] = shares[i] * kinds[i].offered;
      rest /= kSteps + 1;
    }
    if (!KeepsRanks(kinds, shares)) continue;
    const double value = FluidValue(kinds, rates, capacity);
    if (value <= most) continue;
    most = value;
    best = rates;
  }
  return best;
}

}  // namespace

flood_reference AttainableValue(const flood_setup& setup,
                                const std::map<std::string, double>& capacity,
                                const std::vector<flood_result>& offered,
                                duration length) {
  const double seconds = std::chrono::duration<double>(length).count();
  flood_reference reference;
  reference.in_time.assign(setup.kinds.size(), 0);
  std::map<std::vector<std::string>, std::vector<std::size_t>> groups;
  for (std::size_t i = 0; i < setup.kinds.size(); ++i) {
    groups[setup.kinds[i].services].push_back(i);
  }
  for (const auto& [services, members] : groups) {
    std::vector<fluid_kind> kinds;
    for (const std::size_t i : members) {
      kinds.push_back(FluidKind(setup.kinds[i], offered[i], seconds));
    }
    std::vector<double> work;
    for (const std::string& one : services) work.push_back(capacity.at(one));
    const std::vector<double> rates = BestRates(kinds, work);
    reference.total += seconds * std::max(0.0, FluidValue(kinds, rates, work));
    for (std::size_t i = 0; i < members.size(); ++i) {
      reference.in_time[members[i]] = rates[i] * seconds;
    }
  }
  return reference;
}

double InTimeValue(const flood_setup& setup,
                   const std::vector<flood_result>& results) {
  double value = 0;
  for (std::size_t i = 0; i < results.size(); ++i) {
    value += results[i].on_time * setup.kinds[i].value;
  }
  return value;
}

double EarnedValue(const flood_setup& setup,
                   const std::vector<flood_result>& results) {
  double value = InTimeValue(setup, results);
  for (std::size_t i = 0; i < results.size(); ++i) {
    const flood_kind& kind = setup.kinds[i];
    const flood_result& result = results[i];
    value += static_cast<double>(result.late) * kind.late_value;
    // An answer after a refusal earns the mean of both values.
    value -= result.returned_on_time * (kind.value - kind.late_value) / 2;
  }
  return value;
}

}  // namespace corianderrail::gateway
