/** @file limit_share.h This host's share of each customer's rate. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/member_type.h"
#include "core/seat_table.h"
#include "core/share_bucket.h"

namespace corianderrail {

/** Timing of leases of rate. */
struct limit_share_settings {
  duration lease = std::chrono::seconds(5);  ///< Length of a lease.
  duration request_period = std::chrono::milliseconds(200);  ///< Between asks.
};

/**
 * Token buckets per customer and kind, fed by seat shares and leases.
 *
 * The shares of all hosts and the leases never add up to more than the
 * contract. A contract set without seats gives no share to any host, because a
 * host cannot know that no other host uses the limit too.
 */
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
  bool TryAcquire(std::string_view customer, std::string_view kind,
                  time_point now, duration& retry_after, effect_list& effects);

  void OnShareRequest(const peer_message& from, const share_request& body,
                      time_point now, effect_list& effects);
  void OnShareGrant(const peer_message& from, const share_grant& body,
                    time_point now, effect_list& effects);
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;
  void OnClockGap(time_point now);

  /**
   * Whether a caller sent to this host can be admitted: the share of its seat
   * may be used now. True without a seat, as no wait changes that.
   */
  bool Usable(time_point now) const;

  bool IsSeat(host_id host) const { return seats_.IsSeat(host); }

  /** Rate this host may use now, leases included. */
  double RatePerSecond(std::string_view customer, std::string_view kind,
                       time_point now) const;

 private:
  /** Everything about one customer and kind. */
  struct kind_state {
    share_bucket bucket;                         ///< Tokens and leases.
    double limit_per_s = 0;                      ///< Limit of the contract.
    std::map<host_id, time_point> next_request;  ///< Lenders that had none.
    std::size_t next_lender = 0;                 ///< Where the search goes on.
    std::size_t open_requests = 0;               ///< Without an answer.
  };
  using kind_map = std::map<std::string, kind_state, std::less<>>;

  /** A request for a lease that was not answered yet. */
  struct open_request {
    std::string customer;    ///< Customer.
    std::string kind;        ///< Kind of work.
    host_id lender{};        ///< Host asked.
    revision_id revision{};  ///< Revision in force when it was sent.
    time_point sent{};       ///< The lease counts from here.
  };

  /** A member that may lend. */
  struct lender {
    host_id host{};       ///< The member.
    std::string address;  ///< Its peer address.
  };

  kind_state* Find(std::string_view customer, std::string_view kind);
  const kind_state* Find(std::string_view customer,
                         std::string_view kind) const;
  bool IsActiveSeat(std::uint64_t key, std::size_t count) const;
  void SetKind(const std::string& customer, const work_contract& work,
               time_point effective_at, time_point now);
  void RetainLent(std::map<std::string, kind_map, std::less<>>& previous,
                  time_point now);
  void RefreshSeats(time_point now);
  void AccrueAll(time_point now);
  void UpdateLenders(std::span<const member_record> members);
  void DropRequests(time_point now);
  void CloseRequest(const open_request& request);
  void RequestLeases(const std::string& customer, const std::string& kind,
                     kind_state& state, time_point now, effect_list& effects);

  member_record self_;
  limit_share_settings settings_;
  duration
      lender_lease_;  ///< Lease plus a margin for clocks that differ in rate.
  seat_table seats_;
  time_point shares_effective_at_{};  ///< When shares under the present seats
                                      ///< take effect.
  std::shared_ptr<const contract_set> set_;
  std::map<std::string, kind_map, std::less<>> customers_;
  std::vector<member_record> members_;
  std::vector<lender> lenders_;  ///< Live seats but this host.
  std::map<std::uint64_t, open_request> requests_;  ///< By sequence.
  std::uint64_t sequence_;
  time_point last_tick_;
};

}  // namespace corianderrail
