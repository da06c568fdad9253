/** @file order_table.h Orders at their home, and copies received elsewhere. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"
#include "core/member_type.h"
#include "core/ownership.h"

namespace corianderrail {

/** Size and timing of the order table. */
struct order_settings {
  std::uint32_t max_orders = 100'000;  ///< Orders and unused ids kept.
  duration unused_id_lifetime = std::chrono::minutes(10);  ///< Then expired.
  duration outcome_retention = std::chrono::minutes(30);   ///< Then deleted.
  duration forward_timeout = std::chrono::seconds(3);  ///< Without a deadline.
};

/** Counters of the order table since the start of the process. */
struct order_counters {
  std::uint64_t issued = 0;     ///< Identifiers issued.
  std::uint64_t ran = 0;        ///< Orders that ran.
  std::uint64_t not_run = 0;    ///< Orders that ended without running.
  std::uint64_t unknown = 0;    ///< Orders that ended with unknown outcome.
  std::uint64_t copies = 0;     ///< Repeated copies of a known order.
  std::uint64_t forwarded = 0;  ///< Copies and status requests sent to a home.
};

/**
 * Orders whose identifiers this incarnation issued, and copies forwarded to
 * other homes. Each order runs at most once, and all of its copies get the same
 * outcome.
 */
class order_table {
 public:
  order_table(host_ref self, order_settings settings);

  /** Replaces the members, which give the addresses of homes and owners. */
  void SetMembers(std::span<const member_record> members);

  void OnIssue(const caller_order_id_event& request, revision_id revision,
               time_point now, effect_list& effects);

  /**
   * Handles an order from a caller: starts it if this host is its home, else
   * forwards it to the home. A copy of a known order waits for the outcome or
   * gets the recorded one.
   */
  void OnOrder(const caller_order_event& order, admission& admission_control,
               limit_share& shares, const ownership& owners,
               revision_id revision, time_point now, effect_list& effects);

  /** Answers a status request, without the upstream's payload: a status request
   *  names no customer, and only the customer that obtained the identifier may
   *  read the payload. That customer gets it by sending a copy of the order. */
  void OnStatus(const caller_order_status_event& question, revision_id revision,
                time_point now, effect_list& effects);
  void OnForward(const peer_message& from, const order_forward& body,
                 admission& admission_control, limit_share& shares,
                 const ownership& owners, revision_id revision, time_point now,
                 effect_list& effects);
  void OnReply(const peer_message& from, const order_reply& body,
               time_point now, effect_list& effects);
  void OnResult(const peer_message& from, const order_result& body,
                admission& admission_control, const ownership& owners,
                time_point now, effect_list& effects);
  void OnCallerGone(call_id call);
  void OnTick(admission& admission_control, time_point now,
              effect_list& effects);
  time_point NextWake() const;

  /** Ends what expired while the process was paused. Starts no order. */
  void OnClockGap(admission& admission_control, time_point now,
                  effect_list& effects);

  /** Answers all open orders at once. Those with an open attempt are `unknown`,
   *  because they may have run. No order starts afterwards. */
  void StopNow(time_point now, effect_list& effects);

  bool Idle() const { return pending_ == 0 && forwards_.empty(); }
  const order_counters& Counters() const { return counters_; }

 private:
  /** Receiver of an outcome: a caller of this host or another entry host. */
  struct waiter {
    call_id call{};          ///< Caller's request, unless `entry` is set.
    std::string request_id;  ///< Caller's own identifier.
    std::optional<host_ref> entry;  ///< Entry host that forwarded a copy.
    std::string address;            ///< Peer address of `entry`.
    std::uint64_t forward = 0;      ///< Identifier in the order_forward.
  };

  /** One order whose identifier this incarnation issued or refused. */
  struct entry {
    std::string customer;  ///< Customer that may use it; empty if not issued.
    order_state state{};
    refusal_reason reason{};    ///< Set when it ended without having run.
    std::string detail;         ///< Explains the reason and what to do.
    duration retry_after{};     ///< Delay before a retry with a new id.
    std::string payload;        ///< Order text, then the upstream's answer.
    std::uint64_t key = 0;      ///< Key from the request.
    time_point started{};       ///< When it became pending.
    time_point expires{};       ///< When the present state times out.
    host_ref owner;             ///< Owner of the open attempt.
    std::uint32_t attempt = 0;  ///< Number of the open attempt.
    std::optional<admission_ticket> ticket;  ///< Set while pending.
    std::vector<waiter> waiters;             ///< Empty unless pending.
  };

  /** A copy or status request sent to the home of an order. */
  struct forward {
    call_id call{};          ///< Caller's request.
    std::string request_id;  ///< Caller's own identifier.
    order_id id;
    time_point expires{};  ///< When to answer `unknown`.
  };

  using entry_table = std::map<std::uint64_t, entry>;

  void OnCopy(const order_request& request, waiter recipient,
              admission& admission_control, limit_share& shares,
              const ownership& owners, time_point now, effect_list& effects);
  void StartOrder(entry_table::iterator it, const order_request& request,
                  admission& admission_control, limit_share& shares,
                  const ownership& owners, time_point now,
                  effect_list& effects);
  void SendAttempt(std::uint64_t sequence, entry& order, host_ref owner,
                   time_point now, effect_list& effects);
  void Finish(entry_table::iterator it, order_state state,
              refusal_reason reason, std::string detail, time_point now,
              effect_list& effects);
  static void RecordLateOutcome(entry& order, const order_result& body);
  bool RetryAtNewOwner(entry_table::iterator it, const ownership& owners,
                       time_point now, effect_list& effects);
  order_status Lookup(const order_id& id);
  order_status StatusOf(std::uint64_t sequence, const entry& order) const;
  order_status UnknownStatus(const order_id& id, refusal_reason reason,
                             std::string detail) const;
  order_status NeverIssued(const order_id& id);
  void Reply(const waiter& recipient, order_status status,
             effect_list& effects) const;
  void Forward(const order_request& request, bool status_only, call_id call,
               const std::string& request_id, time_point now,
               effect_list& effects);
  void AnswerForward(const forward& copy, order_status status,
                     effect_list& effects) const;
  bool EvictFor(std::uint32_t count);
  void AddEntry(std::uint64_t sequence, std::string customer, time_point now);
  void RecordRefused(std::uint64_t sequence, time_point now);
  void Erase(entry_table::iterator it);
  void DropExpired(time_point now);
  void ExpirePending(admission* admission_control, time_point now,
                     effect_list& effects);
  void ExpireForwards(time_point now, effect_list& effects);
  const member_record* FindMember(host_ref ref) const;
  std::string AddressOf(host_id host) const;

  host_ref self_;
  order_settings settings_;
  std::unordered_map<host_id, member_record> members_;
  entry_table orders_;
  std::uint64_t next_sequence_ = 1;
  /// Sequences not below next_sequence_ that were refused; they are skipped
  /// when identifiers are issued.
  std::set<std::uint64_t> refused_ahead_;
  std::deque<std::uint64_t> issued_;    ///< Oldest first; may hold used ones.
  std::deque<std::uint64_t> finished_;  ///< Oldest first.
  std::set<std::pair<time_point, std::uint64_t>>
      deadlines_;  ///< Of pending orders.
  std::unordered_map<std::string, std::uint32_t> unused_;  ///< Ids by customer.
  std::map<std::uint64_t, forward> forwards_;
  std::set<std::pair<time_point, std::uint64_t>> forward_deadlines_;
  std::uint64_t next_forward_ = 1;
  std::size_t pending_ = 0;
  bool stopped_ = false;
  revision_id revision_{};
  order_counters counters_;
};

}  // namespace corianderrail
