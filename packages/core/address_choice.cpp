/** @file address_choice.cpp Choice of entry addresses for a caller. */

#include "core/address_choice.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "core/stable_hash.h"

namespace corianderrail {

namespace {

/** A candidate with its sort criteria for one caller. */
struct scored_member {
  const member_record* member = nullptr;  ///< Never null once scored.
  int distance = 0;  ///< 0 same zone, 1 same region, 2 other.
  double score = 0;  ///< Weighted rendezvous score; higher is better.
};

/** Weighted rendezvous score. The highest score falls to each member with a
 *  probability proportional to its capacity. */
double WeightedScore(std::uint64_t key, const member_record& member) {
  const std::uint64_t hash = RendezvousWeight(key, Raw(member.ref.host));
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  const double capacity = member.capacity == 0 ? 1.0 : member.capacity;
  return -capacity / std::log(unit);
}

std::string RegionOf(std::span<const member_record> members,
                     std::string_view zone) {
  for (const member_record& member : members) {
    if (member.zone == zone) return member.region;
  }
  return {};
}

std::vector<scored_member> Score(std::span<const member_record> members,
                                 std::string_view customer,
                                 std::string_view zone, member_state state) {
  const std::string region = RegionOf(members, zone);
  const std::uint64_t key = HashBytes(customer);
  std::vector<scored_member> scored;
  for (const member_record& member : members) {
    if (member.state != state || !member.ready) continue;
    if (member.caller_address.empty()) continue;
    int distance = 2;
    if (!region.empty() && member.region == region) distance = 1;
    if (member.zone == zone) distance = 0;
    scored.push_back({&member, distance, WeightedScore(key, member)});
  }
  std::sort(scored.begin(), scored.end(),
            [](const scored_member& a, const scored_member& b) {
              if (a.distance != b.distance) return a.distance < b.distance;
              if (a.score != b.score) return a.score > b.score;
              return a.member->ref.host < b.member->ref.host;
            });
  return scored;
}

/**
 * Replaces the last chosen member by one of another zone if all chosen members
 * share a zone. Otherwise a failure of that zone would leave the caller without
 * any usable address.
 */
void SpreadOverZones(std::vector<scored_member>& scored, std::size_t count) {
  if (count < 2 || scored.size() <= count) return;
  const std::string& zone = scored.front().member->zone;
  const auto other = std::find_if(
      scored.begin(), scored.end(),
      [&](const scored_member& one) { return one.member->zone != zone; });
  if (other == scored.end()) return;
  const auto last = scored.begin() + static_cast<std::ptrdiff_t>(count) - 1;
  if (other > last) std::iter_swap(other, last);
}

/** Whether an address answer may contain the member. */
bool IsEligible(const member_record& member) {
  if (!member.ready || member.caller_address.empty()) return false;
  return member.state == member_state::alive ||
         member.state == member_state::suspect;
}

}  // namespace

std::vector<member_record> EntryMembers(
    std::vector<member_record> members,
    const std::function<bool(host_id)>& holds_seat) {
  const bool any_eligible = std::any_of(
      members.begin(), members.end(), [&](const member_record& member) {
        return IsEligible(member) && holds_seat(member.ref.host);
      });
  if (!any_eligible) return members;
  std::erase_if(members, [&](const member_record& member) {
    return !holds_seat(member.ref.host);
  });
  return members;
}

std::vector<entry_address> ChooseAddresses(
    std::span<const member_record> members, std::string_view customer,
    std::string_view zone, const address_settings& settings) {
  auto scored = Score(members, customer, zone, member_state::alive);
  // A suspect member may still be able to serve; an empty answer is worse.
  if (scored.empty()) {
    scored = Score(members, customer, zone, member_state::suspect);
  }
  const std::size_t count =
      std::min<std::size_t>(scored.size(), settings.addresses);
  SpreadOverZones(scored, count);
  std::vector<entry_address> result;
  for (std::size_t i = 0; i < count; ++i) {
    const member_record& member = *scored[i].member;
    result.push_back({member.caller_address, member.zone});
  }
  return result;
}

}  // namespace corianderrail
