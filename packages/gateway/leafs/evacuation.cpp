/**
 * @file evacuation.cpp Begin and end of evacuations.
 *
 * The load: a zone with a third of the leafs gets nothing new within seconds,
 * and the other leafs get its share. Queries check some 108 leafs each, so the
 * check is one search among the few zones that are evacuated now.
 */

#include "gateway/leafs/evacuation.h"

#include <chrono>

namespace corianderrail::gateway {

namespace {

/** How long the end of an evacuation is known. Leafs are cold for seconds to
 *  minutes afterwards; without a limit, items with ever new names would fill
 *  the memory. */
constexpr duration kEndKnown = std::chrono::hours(1);

}  // namespace

bool evacuation::Apply(const evacuation_change& change, time_point now) {
  std::erase_if(ended_, [&](const auto& entry) {
    return now - entry.second > kEndKnown;
  });
  if (change.active) {
    ended_.erase(change.zone);
    return begun_.emplace(change.zone, now).second;
  }
  if (begun_.erase(change.zone) == 0) return false;
  ended_.insert_or_assign(change.zone, now);
  return true;
}

time_point evacuation::SendBefore(std::string_view zone) const {
  const auto found = begun_.find(zone);
  return found == begun_.end() ? kNever : found->second;
}

std::vector<std::string> evacuation::Zones() const {
  std::vector<std::string> zones;
  for (const auto& [zone, since] : begun_) zones.push_back(zone);
  return zones;
}

std::optional<time_point> evacuation::EndedAt(std::string_view zone) const {
  const auto found = ended_.find(zone);
  if (found == ended_.end()) return std::nullopt;
  return found->second;
}

}  // namespace corianderrail::gateway
