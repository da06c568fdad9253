/** @file limit_share.h This host's share of each customer's rate. */

#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/member_type.h"

namespace corianderrail {

/** Timing of leases of rate. */
struct limit_share_settings {
  duration lease = std::chrono::seconds(5);  ///< Length of a lease.
  duration request_period = std::chrono::milliseconds(200);  ///< Between asks.
};

/** Token buckets per customer and kind, fed by seat shares and leases. */
class limit_share {
 public:
  limit_share(member_record self, limit_share_settings settings,
              time_point started);

  void SetContracts(std::shared_ptr<const contract_set> set, time_point now);
  void SetMembers(std::span<const member_record> members, time_point now);

  /** Records contact with a member, for the majority rule. */
  void OnContact(host_id host, time_point now);

  /**
   * Takes one request's worth of the customer's rate.
   * @param retry_after Set when refused: when a token is expected.
   * @return False when the share is used up.
   */
  bool TryTake(std::string_view customer, std::string_view kind, time_point now,
               duration& retry_after, effect_list& effects);

  void OnShareRequest(const peer_message& from, const share_request& body,
                      time_point now, effect_list& effects);
  void OnShareGrant(const peer_message& from, const share_grant& body,
                    time_point now, effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now);

  /** Rate this host may use now, leases included. */
  double RatePerSecond(std::string_view customer, std::string_view kind,
                       time_point now) const;
};

}  // namespace corianderrail
