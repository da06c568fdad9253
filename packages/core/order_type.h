/** @file order_type.h Orders of callers and their outcomes. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** An order as a caller sent it. */
struct order_request {
  order_id id;                  ///< Issued by its home before.
  std::string request_id;       ///< Caller's own identifier, echoed back.
  std::string customer;         ///< Customer name.
  std::string kind;             ///< Kind of work, of type order.
  std::uint64_t key = 0;        ///< Key whose partition takes the order.
  duration deadline{};          ///< Remaining time; 0 takes the contract's.
  revision_id seen_revision{};  ///< Revision of the caller's address answer.
  std::string payload;          ///< Order text, opaque to the tier.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, request_id, customer, kind, key, deadline, seen_revision,
          payload);
  }
};

/** Where an order stands. */
enum class order_state : std::uint8_t {
  issued,
  pending,
  ran,
  not_run,
  unknown
};

/** What is known of an order. */
struct order_status {
  order_id id;              ///< The order.
  std::string request_id;   ///< Caller's own identifier.
  order_state state{};      ///< Where it stands.
  refusal_reason reason{};  ///< Meaningful unless the order ran.
  std::string detail;       ///< Names the remedy.
  duration retry_after{};   ///< When to try again; 0 means do not.
  revision_id revision{};   ///< Contract revision in force.
  std::string payload;      ///< Upstream's answer when it ran.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, request_id, state, reason, detail, retry_after, revision,
          payload);
  }
};

}  // namespace corianderrail
