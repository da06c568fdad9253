/** @file entry_choice.cpp Nearest ready hosts. */

#include "gateway/entry_choice.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Whether a member may be named, from best to worst. */
enum class usability { ready, suspect, leaving, none };

usability UsabilityOf(const member_record& member) {
  if (member.caller_address.empty()) return usability::none;
  if (member.state == member_state::gone) return usability::none;
  if (member.state == member_state::leaving) return usability::leaving;
  if (!member.ready || member.state == member_state::suspect) {
    return usability::suspect;
  }
  return usability::ready;
}

int DistanceOf(const member_record& member, std::string_view zone,
               std::string_view region) {
  if (member.zone == zone) return 0;
  return member.region == region ? 1 : 2;
}

}  // namespace

std::vector<std::string> ChooseEntries(std::span<const member_record> members,
                                       std::string_view zone,
                                       std::string_view region,
                                       std::size_t most) {
  constexpr int kDistances = 3;
  const auto rank = [&](const member_record& member) {
    return static_cast<int>(UsabilityOf(member)) * kDistances +
           DistanceOf(member, zone, region);
  };
  constexpr int kNone = static_cast<int>(usability::none) * kDistances;
  int best = kNone;
  for (const member_record& member : members) {
    best = std::min(best, rank(member));
  }
  std::vector<std::string> addresses;
  if (best >= kNone) return addresses;
  for (const member_record& member : members) {
    if (rank(member) == best) addresses.push_back(member.caller_address);
  }
  if (addresses.size() > most) addresses.resize(most);
  return addresses;
}

}  // namespace corianderrail::gateway
