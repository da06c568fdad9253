/** @file admission.h Whether a request is admitted. */

#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/limit_share.h"
#include "core/peer_message_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** What an admitted request may use. */
struct admission_ticket {
  const work_contract* work = nullptr;  ///< Kind of work; lives with the set.
  answer_preference preference{};       ///< Answer policy of the customer.
  revision_id revision{};               ///< Revision it was admitted under.
  time_point deadline{};                ///< Absolute deadline.
};

/** Why a request was not admitted. */
struct admission_refusal {
  refusal_reason reason{};  ///< Why.
  std::string detail;       ///< Names the remedy.
  duration retry_after{};   ///< 0 means do not.
};

/** Counters of admission, all rising. */
struct admission_counters {
  per_rank<std::uint64_t> admitted{};      ///< By rank.
  per_rank<std::uint64_t> rate_limited{};  ///< Refused by the customer's rate.
  per_rank<std::uint64_t> overloaded{};    ///< Refused by load.
  std::uint64_t invalid = 0;  ///< Unknown customer, kind and so on.
};

/** Checks requests against contracts, shares and the load of the services. */
class admission {
 public:
  explicit admission(std::uint64_t seed);

  void SetContracts(std::shared_ptr<const contract_set> set, time_point now);
  void SetTopology(std::shared_ptr<const topology> value, time_point now);

  /** Load signal of one service from an owner. */
  void OnServiceWait(service_id service, const rank_wait& wait, time_point now);

  /**
   * Decides on a request.
   * @param type Query or order.
   * @param service For orders, the service concerned; else nothing.
   * @return The ticket, or the refusal in `refused`.
   */
  std::optional<admission_ticket> Admit(
      std::string_view customer, std::string_view kind, work_type type,
      duration deadline, revision_id seen_revision,
      std::optional<service_id> service, limit_share& shares, time_point now,
      admission_refusal& refused, effect_list& effects);

  /** Called when an admitted request has ended. */
  void OnFinished(const admission_ticket& ticket, bool in_time, time_point now);

  const admission_counters& Counters() const;
};

}  // namespace corianderrail
