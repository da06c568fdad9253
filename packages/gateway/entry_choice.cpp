/**
 * @file entry_choice.cpp Selection of the hosts that take clients.
 *
 * A host detects slow leafs by its own requests, and leafs limit their
 * connections. With more hosts than the load needs, each would send too few
 * requests to detect a slow leaf and still hold connections. The clients of a
 * zone therefore use as few hosts as can serve them, and more hosts as soon as
 * these are busy.
 */

#include "gateway/entry_choice.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Whether clients may be sent to a member, from best to worst. */
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

bool IsStronger(const member_record* a, const member_record* b) {
  if (a->capacity != b->capacity) return a->capacity > b->capacity;
  return a->ref.host < b->ref.host;
}

}  // namespace

std::vector<const member_record*> ActiveEntries(
    std::span<const member_record> members, std::string_view zone,
    const entry_settings& settings) {
  std::vector<const member_record*> ready;
  for (const member_record& member : members) {
    const bool usable = UsabilityOf(member) == usability::ready;
    if (usable && member.zone == zone) ready.push_back(&member);
  }
  std::sort(ready.begin(), ready.end(), IsStronger);
  std::size_t spare = 0;
  std::size_t count = 0;
  while (count < ready.size() && spare < settings.spare_hosts) {
    if (!ready[count]->busy) ++spare;
    ++count;
  }
  ready.resize(count);
  return ready;
}

std::vector<std::string> ChooseEntries(std::span<const member_record> members,
                                       std::string_view zone,
                                       std::string_view region,
                                       const entry_settings& settings,
                                       std::size_t max_addresses) {
  std::vector<std::string> addresses;
  for (const member_record* member : ActiveEntries(members, zone, settings)) {
    addresses.push_back(member->caller_address);
  }
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
  const bool needs_others = addresses.empty() && best < kNone;
  for (const member_record& member : members) {
    if (needs_others && rank(member) == best) {
      addresses.push_back(member.caller_address);
    }
  }
  if (addresses.size() > max_addresses) addresses.resize(max_addresses);
  return addresses;
}

}  // namespace corianderrail::gateway
