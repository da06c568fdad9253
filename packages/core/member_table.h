/** @file member_table.h Other members as this host sees them. */

#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/id_type.h"
#include "core/member_type.h"
#include "core/random.h"
#include "core/time_type.h"

namespace corianderrail {

/** A member with what this host remembers of it. */
struct member_entry {
  member_record record;          ///< Newest record.
  time_point since{};            ///< When its state was learnt.
  time_point last_contact{};     ///< Last message from it.
  time_point deadline = kNever;  ///< When it is gone unless it refutes.
  bool last_probe_sent = false;  ///< Probed shortly before the deadline.
  time_point claim_sent{};       ///< When it was last told of a claim.
};

/** True when `fresh` replaces `held`; both are of the same host. */
bool Supersedes(const member_record& fresh, const member_record& held);

/** The member table without this host, and the order of probing. */
class member_table {
 public:
  member_entry* Find(host_id host);
  const member_entry* Find(host_id host) const;

  /** Adds a member at a random place of the probing order. */
  member_entry& Add(const member_record& record, random_source& random);
  void Remove(host_id host);

  /** Stores a record and keeps the sets of suspect and gone members. */
  void SetRecord(member_entry& entry, const member_record& record);

  /** Marks a member that is gone at its deadline. */
  void SetDeadline(member_entry& entry, time_point deadline);

  /** Next member to probe; null when all are gone. */
  member_entry* NextToProbe(random_source& random);

  /** Up to `count` different members that are not gone. */
  std::vector<member_entry*> Sample(std::size_t count, host_id except,
                                    random_source& random);

  /** Members that are not gone. */
  std::size_t Present() const { return entries_.size() - gone_.size(); }
  std::size_t Size() const { return entries_.size(); }
  const std::set<host_id>& Suspects() const { return suspects_; }
  const std::set<host_id>& Gone() const { return gone_; }

  template <typename Visitor>
  void Visit(Visitor&& visit) const {
    for (const auto& [host, entry] : entries_) visit(entry);
  }

 private:
  std::unordered_map<host_id, member_entry> entries_;
  std::vector<host_id> order_;
  std::size_t position_ = 0;
  std::set<host_id> suspects_;  ///< With a deadline.
  std::set<host_id> gone_;
};

}  // namespace corianderrail
