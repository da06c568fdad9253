/** @file query_gather.h Plans queries, gathers parts, decides when to answer.
 */

#pragma once

#include <cstdint>
#include <memory>

#include "core/admission.h"
#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/index_type.h"
#include "core/ownership.h"

namespace corianderrail {

/** Counters of the gatherer, all rising. */
struct query_counters {
  std::uint64_t admitted = 0;    ///< Queries planned.
  std::uint64_t complete = 0;    ///< Answers with all parts.
  std::uint64_t partial = 0;     ///< Answers above the least coverage.
  std::uint64_t incomplete = 0;  ///< Answers below it.
  std::uint64_t replanned = 0;   ///< Moved to a newer snapshot.
  std::uint64_t resent = 0;      ///< Parts sent again to a new owner.
  std::uint64_t stray = 0;       ///< Results that matched no open part.
};

/** Open queries of one entry host. */
class query_gather {
 public:
  query_gather(host_ref self, std::uint64_t seed);

  void SetTopology(std::shared_ptr<const topology> value, time_point now);

  /** Re-sends parts whose owner is gone. */
  void OnOwnersChanged(const ownership& owners, time_point now,
                       effect_list& effects);

  /**
   * Starts an admitted query; answers or refuses it in the end.
   * @param work Contract of the kind of work.
   * @param deadline Absolute deadline.
   */
  void Start(call_id call, const query_request& request,
             const work_contract& work, answer_preference preference,
             revision_id revision, time_point deadline, const ownership& owners,
             time_point now, effect_list& effects);

  void OnSubqueryResult(const peer_message& from, const subquery_result& body,
                        admission& load, const ownership& owners,
                        time_point now, effect_list& effects);
  void OnCallerGone(call_id call, time_point now, effect_list& effects);
  void OnTick(const ownership& owners, time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now, effect_list& effects);

  bool Idle() const;
  const query_counters& Counters() const;
};

}  // namespace corianderrail
