/** @file member_table.h This host's view of the other members. */

#pragma once

#include <array>
#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/id_type.h"
#include "core/member_type.h"
#include "core/random.h"
#include "core/time_type.h"

namespace corianderrail {

/** A member with this host's own bookkeeping. */
struct member_entry {
  member_record record;          ///< Record of the highest precedence.
  time_point since{};            ///< When `record` was last replaced.
  time_point last_contact{};     ///< Time of the last message from it.
  time_point deadline = kNever;  ///< When it counts as gone; kNever: not set.
  bool last_probe_sent = false;  ///< Probed shortly before `deadline`.
  time_point claim_sent{};  ///< Time of the last probe that asks to refute.
};

/** Whether `fresh` takes precedence over `held`, a record of the same host. */
bool Supersedes(const member_record& fresh, const member_record& held);

/** Distance of a member from this host. */
enum class member_distance : std::uint8_t { zone, region, fleet };
inline constexpr std::size_t kMemberDistances = 3;

/** All members except this host, and the order in which they are probed. */
class member_table {
 public:
  /** @param zone, region Location of this host. */
  member_table(std::string zone, std::string region);

  member_entry* Find(host_id host);
  const member_entry* Find(host_id host) const;

  /** Adds a member at a random position of the probe order. */
  member_entry& Add(const member_record& record, random_source& random);
  void Remove(host_id host);

  /** Replaces the record, clears the deadline and updates the set of members
   * that are gone. */
  void SetRecord(member_entry& entry, const member_record& record);

  /** Sets when a member counts as gone unless it refutes; kNever clears it. */
  void SetDeadline(member_entry& entry, time_point deadline);

  /** Returns the next member at a distance to probe; null when all are gone. */
  member_entry* NextToProbe(member_distance distance, random_source& random);

  /** Returns up to `count` different random members that are not gone. */
  std::vector<member_entry*> Sample(std::size_t count, host_id except,
                                    random_source& random);

  /** The same for members at one distance. */
  std::vector<member_entry*> SampleAt(member_distance distance,
                                      std::size_t count, host_id except,
                                      random_source& random);

  /** Number of members that are not gone. */
  std::size_t Present() const { return entries_.size() - gone_.size(); }
  std::size_t Size() const { return entries_.size(); }
  const std::set<host_id>& Suspects() const { return suspects_; }
  const std::set<host_id>& Gone() const { return gone_; }

  template <typename Visitor>
  void Visit(Visitor&& visit) const {
    for (const auto& [host, entry] : entries_) visit(entry);
  }

 private:
  /** Members at one distance in the order in which they are probed. */
  struct probe_order {
    std::vector<host_id> hosts;
    std::size_t position = 0;
  };

  member_distance DistanceOf(const member_record& record) const;
  probe_order& OrderOf(member_distance distance) {
    return orders_[static_cast<std::size_t>(distance)];
  }

  std::string zone_;
  std::string region_;
  std::unordered_map<host_id, member_entry> entries_;
  std::array<probe_order, kMemberDistances> orders_;
  std::set<host_id> suspects_;  ///< Members with a deadline.
  std::set<host_id> gone_;
};

}  // namespace corianderrail
