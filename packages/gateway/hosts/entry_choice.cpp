/**
 * @file entry_choice.cpp Selection of the hosts that take clients.
 *
 * A host detects slow leafs by its own requests, and leafs limit their
 * connections. With more hosts than the load needs, each would send too few
 * requests to detect a slow leaf and still hold connections. The clients of a
 * zone therefore use as few hosts as can serve them, and more hosts as soon as
 * these are busy.
 *
 * After all hosts lost power, they become ready in any order within a second.
 * If lookups named those that are ready first, each weak host would get clients
 * and connect to all leafs. While most hosts of a zone are not ready, it is
 * assumed to start, and its strongest hosts are named.
 */

#include "gateway/hosts/entry_choice.h"

#include <algorithm>

namespace corianderrail::gateway {

namespace {

/** Time in which a starting host usually hears of others. */
constexpr duration kJoinTime = std::chrono::seconds(1);

/** Whether clients may be sent to a member, from best to worst. */
enum class usability { ready, starting, suspect, leaving, none };

usability UsabilityOf(const member_record& member) {
  if (member.caller_address.empty()) return usability::none;
  if (member.state == member_state::gone) return usability::none;
  if (member.state == member_state::leaving) return usability::leaving;
  if (member.state == member_state::suspect) return usability::suspect;
  return member.ready ? usability::ready : usability::starting;
}

/** True for a host that runs and can take clients once it is ready. */
bool IsPresent(const member_record& member) {
  return member.state == member_state::alive && !member.caller_address.empty();
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
  std::vector<const member_record*> present;
  for (const member_record& member : members) {
    if (member.zone != zone || !IsPresent(member)) continue;
    present.push_back(&member);
    if (member.ready) ready.push_back(&member);
  }
  const bool starting = !ready.empty() && 2 * ready.size() < present.size();
  if (starting) ready.swap(present);
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

// A host that knows no other would name only itself. Clients keep their
// previous answer when they get none, and other hosts answer lookups too.
bool AnswersLookups(bool joined, duration age) {
  return joined || age >= kJoinTime;
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
  std::vector<const member_record*> others;
  for (const member_record& member : members) {
    if (needs_others && rank(member) == best) others.push_back(&member);
  }
  // If no host is ready, the store is unreachable for all. Whichever host reads
  // it first serves the others, so only strong ones get clients.
  const bool starting =
      best / kDistances == static_cast<int>(usability::starting);
  if (starting && others.size() > settings.spare_hosts) {
    std::sort(others.begin(), others.end(), IsStronger);
    others.resize(settings.spare_hosts);
  }
  for (const member_record* member : others) {
    addresses.push_back(member->caller_address);
  }
  if (addresses.size() > max_addresses) addresses.resize(max_addresses);
  return addresses;
}

}  // namespace corianderrail::gateway
