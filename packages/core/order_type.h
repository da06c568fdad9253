/** @file order_type.h Orders sent by callers and their outcomes. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** An order as received from a caller. */
struct order_request {
  order_id id;             ///< Issued earlier by its home.
  std::string request_id;  ///< Caller's own identifier, echoed back.
  std::string customer;    ///< Customer name.
  std::string kind;        ///< Kind of work; the contract lists it as an order.
  std::uint64_t key = 0;   ///< Selects the partition, and so the service.
  duration deadline{};     ///< Remaining time; 0 uses the contract's maximum.
  revision_id seen_revision{};  ///< Revision in the caller's address answer.
  std::string payload;          ///< Order text; not interpreted here.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, request_id, customer, kind, key, deadline, seen_revision,
          payload);
  }
};

/** Progress of an order at its home. */
enum class order_state : std::uint8_t {
  issued,
  pending,
  ran,
  not_run,
  unknown
};

/** Status of an order as reported to callers and other hosts. */
struct order_status {
  order_id id;
  std::string request_id;  ///< Caller's own identifier.
  order_state state{};
  refusal_reason reason{};  ///< Not meaningful when the order ran.
  std::string detail;       ///< Explains the reason and what to do.
  duration retry_after{};   ///< Delay before a retry; 0 means do not retry.
  revision_id revision{};   ///< Contract revision in force.
  std::string payload;      ///< Upstream's answer; set when the order ran.

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(id, request_id, state, reason, detail, retry_after, revision,
          payload);
  }
};

}  // namespace corianderrail
