/** @file seat_table.h Entry seats of a contract set and contact with them. */

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
  time_point begin = kNever;  ///< First moment; kNever when empty.
  time_point end{};           ///< One past the last moment.
};

/**
 * Says when this host may use the base share of its seat: it holds a seat, and
 * a majority of the seats was heard of within the last lease.
 */
class seat_table {
 public:
  seat_table(const member_record& self, duration lease);

  /** Replaces the seats. @return True when they differ. */
  bool SetSeats(std::span<const std::string> seats);
  void SetMembers(std::span<const member_record> members);

  /** Records contact; constant time, as it is called for every message. */
  void OnContact(host_id host, time_point now);

  /**
   * Recomputes until when the base share may be used. The caller accrues its
   * buckets up to `now` before when NeedsAccrual() says so.
   */
  void Refresh(time_point now);

  /** True when the span before would be lost by Refresh(). */
  bool NeedsAccrual(time_point now) const { return now >= usable_.end; }

  /** Forgets all contact, as after a pause. */
  void ClearContacts();

  /** When the base share may be used, as far as is known. */
  const time_span& Usable() const { return usable_; }

  bool HoldsSeat() const { return holds_seat_; }
  bool IsSeat(host_id host) const;
  std::size_t Size() const { return seats_.size(); }
  const std::vector<std::string>& Seats() const { return seats_; }

 private:
  /** One seat. */
  struct seat {
    host_id host{};             ///< Host that holds it.
    time_point last_contact{};  ///< Last message from it.
    bool contacted = false;     ///< It was heard of since the start or a gap.
    bool alive = false;         ///< The member table says that it is alive.
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
  std::unordered_map<std::uint64_t, std::size_t> index_;  ///< By host.
  bool holds_seat_ = false;
  time_span usable_;
};

}  // namespace corianderrail
