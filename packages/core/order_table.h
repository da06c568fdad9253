/** @file order_table.h Life of an order at its home, and copies elsewhere. */

#pragma once

#include <cstdint>
#include <memory>

#include "core/admission.h"
#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"
#include "core/membership.h"
#include "core/ownership.h"

namespace corianderrail {

/** Size and timing of the order table. */
struct order_settings {
  std::uint32_t kept = 100'000;                    ///< Orders remembered.
  duration issued_for = std::chrono::minutes(10);  ///< Life of an unused id.
  duration kept_for = std::chrono::minutes(30);    ///< After the outcome.
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

  void SetTopology(std::shared_ptr<const topology> value, time_point now);

  void OnIssue(const caller_order_id_event& request, revision_id revision,
               time_point now, effect_list& effects);

  /**
   * Takes an order from a caller: runs it at home, forwards it elsewhere.
   * Copies of a known order wait for, or get, its one outcome.
   */
  void OnOrder(const caller_order_event& order, admission& gate,
               limit_share& shares, const ownership& owners,
               const membership& members, revision_id revision, time_point now,
               effect_list& effects);
  void OnStatus(const caller_order_status_event& question,
                const membership& members, revision_id revision, time_point now,
                effect_list& effects);
  void OnForward(const peer_message& from, const order_forward& body,
                 admission& gate, limit_share& shares, const ownership& owners,
                 const membership& members, revision_id revision,
                 time_point now, effect_list& effects);
  void OnReply(const peer_message& from, const order_reply& body,
               time_point now, effect_list& effects);
  void OnResult(const peer_message& from, const order_result& body,
                admission& load, const ownership& owners, time_point now,
                effect_list& effects);
  void OnCallerGone(call_id call);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now, effect_list& effects);

  /** Answers every open order truthfully and at once. */
  void StopNow(time_point now, effect_list& effects);

  bool Idle() const;
  const order_counters& Counters() const;
};

}  // namespace corianderrail
