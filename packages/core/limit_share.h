/** @file limit_share.h This host's share of each customer's rate limit. */

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

/** Timing of leases between hosts. */
struct limit_share_settings {
  duration lease = std::chrono::seconds(5);  ///< Length of a lease.
  /** Minimum time between two rounds of lease requests. */
  duration request_period = std::chrono::milliseconds(200);
};

/**
 * Distributed rate limiter: a token bucket for each customer and kind of work,
 * filled at the rate of this host's seat plus leases from other hosts.
 *
 * The rates of all hosts together never exceed the contract. Under a contract
 * set without seats no host has a share, because a host cannot know whether
 * other hosts use the limit too.
 */
class limit_share {
 public:
  limit_share(member_record self, limit_share_settings settings,
              time_point started);

  void SetContracts(std::shared_ptr<const contract_set> set, time_point now);
  void SetMembers(std::span<const member_record> members, time_point now);

  /** Records contact with a member, which counts for the majority of the seats.
   */
  void OnContact(host_id host, time_point now);

  /**
   * Takes one token for a request.
   * @param retry_after Set when refused: time until a token is expected.
   * @return False when no token is available.
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
   * Whether the share of this host's seat may be used now. Also true without a
   * seat, because waiting would not change that.
   */
  bool Usable(time_point now) const;

  bool IsSeat(host_id host) const { return seats_.IsSeat(host); }

  /** Rate that this host may use now, including leases. */
  double RatePerSecond(std::string_view customer, std::string_view kind,
                       time_point now) const;

 private:
  /** State for one customer and kind of work. */
  struct kind_state {
    share_bucket bucket;     ///< Tokens and leases.
    double limit_per_s = 0;  ///< Fleet-wide limit in the contract.
    std::map<host_id, time_point> next_request;  ///< Earliest, by lender.
    std::size_t next_lender = 0;    ///< Where the next search starts.
    std::size_t open_requests = 0;  ///< Without an answer.
  };
  using kind_map = std::map<std::string, kind_state, std::less<>>;

  /** A share_request without an answer. */
  struct open_request {
    std::string customer;    ///< Customer name.
    std::string kind;        ///< Kind of work.
    host_id lender{};        ///< Receiver of the request.
    revision_id revision{};  ///< Revision in force when it was sent.
    time_point sent{};       ///< Start of the lease.
  };

  /** A member that may lend rate to this host. */
  struct lender {
    host_id host{};
    std::string address;  ///< Peer address.
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
  duration lender_lease_;  ///< Lease as counted by a lender, with a margin for
                           ///< clock drift.
  seat_table seats_;
  time_point shares_effective_at_{};  ///< When increased shares take effect
                                      ///< after a change of seats.
  std::shared_ptr<const contract_set> set_;
  std::map<std::string, kind_map, std::less<>> customers_;
  std::vector<member_record> members_;
  std::vector<lender> lenders_;  ///< Other alive members that hold a seat.
  std::map<std::uint64_t, open_request> requests_;  ///< By sequence.
  std::uint64_t sequence_;
  time_point last_tick_;
};

}  // namespace corianderrail
