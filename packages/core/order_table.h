/** @file order_table.h Life of an order at its home, and copies elsewhere. */

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
  std::uint32_t max_orders = 100'000;  ///< Orders remembered.
  duration unused_id_lifetime =
      std::chrono::minutes(10);  ///< Life of an unused id.
  duration outcome_retention =
      std::chrono::minutes(30);                        ///< After the outcome.
  duration forward_timeout = std::chrono::seconds(3);  ///< Wait for the home.
};

/** Counters of the order table, all rising. */
struct order_counters {
  std::uint64_t issued = 0;     ///< Identifiers issued.
  std::uint64_t ran = 0;        ///< Orders that ran.
  std::uint64_t not_run = 0;    ///< Orders refused for good.
  std::uint64_t unknown = 0;    ///< Orders with unknown outcome.
  std::uint64_t copies = 0;     ///< Further copies of a known order.
  std::uint64_t forwarded = 0;  ///< Copies sent on to their home.
};

/** Orders issued by this incarnation and copies forwarded to other homes. */
class order_table {
 public:
  order_table(host_ref self, order_settings settings);

  /** Replaces the members: peer addresses, and which homes are gone. */
  void SetMembers(std::span<const member_record> members);

  void OnIssue(const caller_order_id_event& request, revision_id revision,
               time_point now, effect_list& effects);

  /**
   * Takes an order from a caller: runs it at home, forwards it elsewhere.
   * Copies of a known order wait for, or get, its one outcome.
   */
  void OnOrder(const caller_order_event& order, admission& gate,
               limit_share& shares, const ownership& owners,
               revision_id revision, time_point now, effect_list& effects);

  /** Answers without the upstream's payload, which only the customer that
   *  holds the identifier gets, by sending a copy. */
  void OnStatus(const caller_order_status_event& question, revision_id revision,
                time_point now, effect_list& effects);
  void OnForward(const peer_message& from, const order_forward& body,
                 admission& gate, limit_share& shares, const ownership& owners,
                 revision_id revision, time_point now, effect_list& effects);
  void OnReply(const peer_message& from, const order_reply& body,
               time_point now, effect_list& effects);
  void OnResult(const peer_message& from, const order_result& body,
                admission& gate, const ownership& owners, time_point now,
                effect_list& effects);
  void OnCallerGone(call_id call);
  void OnTick(admission& gate, time_point now, effect_list& effects);
  time_point NextWake() const;

  /** Ends what expired while the process did not run; starts nothing. */
  void OnClockGap(admission& gate, time_point now, effect_list& effects);

  /** Answers every open order truthfully and at once. */
  void StopNow(time_point now, effect_list& effects);

  bool Idle() const { return pending_ == 0 && forwards_.empty(); }
  const order_counters& Counters() const { return counters_; }

 private:
  /** Someone who waits for an outcome: a caller here or another entry. */
  struct waiter {
    call_id call{};                 ///< Caller's call, unless `entry` is set.
    std::string request_id;         ///< Echo.
    std::optional<host_ref> entry;  ///< Entry that forwarded a copy.
    std::string address;            ///< Peer address of that entry.
    std::uint64_t forward = 0;      ///< Its forward id.
  };

  /** One order of this incarnation. */
  struct entry {
    std::string customer;       ///< The only customer that may use it.
    order_state state{};        ///< Where it stands.
    refusal_reason reason{};    ///< Unless it ran.
    std::string detail;         ///< Names the remedy.
    duration retry_after{};     ///< For a fresh identifier.
    std::string payload;        ///< Order while pending, answer once ran.
    std::uint64_t key = 0;      ///< Key ordered for.
    time_point started{};       ///< When it became pending.
    time_point expires{};       ///< End of the present state.
    host_ref owner;             ///< Owner of the open attempt.
    std::uint32_t attempt = 0;  ///< Number of the open attempt.
    std::optional<admission_ticket> ticket;  ///< While pending.
    std::vector<waiter> waiters;             ///< While pending.
  };

  /** A copy sent on to its home. */
  struct forward {
    call_id call{};          ///< Caller's call.
    std::string request_id;  ///< Echo.
    order_id id;             ///< Order asked about.
    time_point expires{};    ///< When to answer `unknown`.
  };

  using entry_table = std::map<std::uint64_t, entry>;

  void OnCopy(const order_request& request, waiter recipient, admission& gate,
              limit_share& shares, const ownership& owners, time_point now,
              effect_list& effects);
  void StartOrder(entry_table::iterator it, const order_request& request,
                  admission& gate, limit_share& shares, const ownership& owners,
                  time_point now, effect_list& effects);
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
  void ExpirePending(admission* gate, time_point now, effect_list& effects);
  void ExpireForwards(time_point now, effect_list& effects);
  const member_record* FindMember(host_ref ref) const;
  std::string AddressOf(host_id host) const;

  host_ref self_;
  order_settings settings_;
  std::unordered_map<host_id, member_record> members_;
  entry_table orders_;
  std::uint64_t next_sequence_ = 1;
  /// Sequences above next_sequence_ that were refused and are never issued.
  std::set<std::uint64_t> refused_ahead_;
  std::deque<std::uint64_t> issued_;    ///< Oldest first; may hold ended ones.
  std::deque<std::uint64_t> finished_;  ///< Oldest first.
  std::set<std::pair<time_point, std::uint64_t>> deadlines_;  ///< Pending.
  std::unordered_map<std::string, std::uint32_t> unused_;     ///< By customer.
  std::map<std::uint64_t, forward> forwards_;
  std::set<std::pair<time_point, std::uint64_t>> forward_deadlines_;
  std::uint64_t next_forward_ = 1;
  std::size_t pending_ = 0;
  bool stopped_ = false;
  revision_id revision_{};
  order_counters counters_;
};

}  // namespace corianderrail
