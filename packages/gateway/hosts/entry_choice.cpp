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

/** Distance of a host from a client and its leafs, from best to worst. */
enum class entry_distance { zone, region, home, other };

entry_distance DistanceOf(const member_record& member,
                          const client_place& client) {
  if (member.zone == client.zone) return entry_distance::zone;
  if (member.region == client.region) return entry_distance::region;
  const bool home = client.homes.empty() ||
                    std::find(client.homes.begin(), client.homes.end(),
                              member.region) != client.homes.end();
  return home ? entry_distance::home : entry_distance::other;
}

/** Positions per usability: one for each distance, and one more for starting
 *  hosts outside of the home regions, after the ready ones there. */
constexpr int kPositions = 5;

/** Position of a host among those that a client may use; lower is better. */
int PositionOf(const member_record& member, const client_place& client) {
  const auto state = static_cast<int>(UsabilityOf(member));
  const entry_distance distance = DistanceOf(member, client);
  constexpr int kStarting = static_cast<int>(usability::starting);
  const int position = static_cast<int>(distance);
  if (distance != entry_distance::other || state > kStarting) {
    return state * kPositions + position;
  }
  return kStarting * kPositions + position + state;
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
                                       const client_place& client,
                                       const entry_settings& settings,
                                       std::size_t max_addresses) {
  std::vector<std::string> addresses;
  for (const member_record* member :
       ActiveEntries(members, client.zone, settings)) {
    addresses.push_back(member->caller_address);
  }
  constexpr int kNone = static_cast<int>(usability::none) * kPositions;
  int best = kNone;
  for (const member_record& member : members) {
    best = std::min(best, PositionOf(member, client));
  }
  const bool needs_others = addresses.empty() && best < kNone;
  std::vector<const member_record*> others;
  for (const member_record& member : members) {
    if (needs_others && PositionOf(member, client) == best)
      others.push_back(&member);
  }
  // If no host is ready, the store is unreachable for all. Whichever host reads
  // it first serves the others, so only strong ones get clients.
  const bool starting =
      !others.empty() && UsabilityOf(*others.front()) == usability::starting;
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
