/** @file seat_table.h Seats of a contract set and last contact with them. */

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/id_type.h"
#include "core/member_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Span of time [begin, end). */
struct time_span {
  time_point begin = kNever;  ///< kNever when empty.
  time_point end{};           ///< Exclusive.
};

/**
 * Decides when this host may use the base share of its seat: it holds a seat,
 * and it had contact with a majority of the seats within the duration of a
 * lease.
 */
class seat_table {
 public:
  seat_table(const member_record& self, duration lease);

  /** Replaces the seats. @return True when they differ. */
  bool SetSeats(std::span<const std::string> seats);
  void SetMembers(std::span<const member_record> members);

  /** Records contact. Constant time, because it is called for every message. */
  void OnContact(host_id host, time_point now);

  /**
   * Recomputes until when the base share may be used. If NeedsAccrual() is
   * true, the caller must accrue its buckets up to `now` first.
   */
  void Refresh(time_point now);

  /** True when Refresh() would discard the present span. */
  bool NeedsAccrual(time_point now) const { return now >= usable_.end; }

  /** Discards all contacts, for example after a pause. */
  void ClearContacts();

  /** When the base share may be used, as of the last Refresh(). */
  const time_span& Usable() const { return usable_; }

  bool HoldsSeat() const { return holds_seat_; }
  bool IsSeat(host_id host) const;
  std::size_t Size() const { return seats_.size(); }
  const std::vector<std::string>& Seats() const { return seats_; }

 private:
  /** One seat of the contract set. */
  struct seat {
    host_id host{};             ///< Host that holds it.
    time_point last_contact{};  ///< Time of the last message from it.
    bool contacted = false;     ///< A message arrived since start or gap.
    bool alive = false;         ///< Alive according to the member table.
  };

  void Rebuild();
  time_point MajorityUntil(time_point now) const;

  std::string peer_address_;
  std::string caller_address_;
  host_id self_;
  duration lease_;
  std::vector<std::string> seats_;
  std::vector<member_record> members_;
  std::vector<seat> table_;
  std::unordered_map<std::uint64_t, std::size_t>
      index_;  ///< Position in table_, by host.
  bool holds_seat_ = false;
  time_span usable_;
};

}  // namespace corianderrail
