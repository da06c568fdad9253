/** @file admission.h Admission control of requests. */

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/limit_share.h"
#include "core/peer_message_type.h"
#include "core/query_type.h"
#include "core/random.h"

namespace corianderrail {

/** Contract terms, deadline and service of an admitted request. */
struct admission_ticket {
  std::shared_ptr<const contract_set> set;  ///< Owns `*work`.
  const work_contract* work = nullptr;  ///< Contract entry of the kind of work.
  answer_preference preference{};       ///< Answer policy of the customer.
  revision_id revision{};               ///< Contract revision at admission.
  time_point deadline{};                ///< On the clock of this process.
  std::optional<service_id> service;    ///< Service with the key; orders only.
};

/** Why a request was not admitted. */
struct admission_refusal {
  refusal_reason reason{};  ///< Reason code for the caller.
  std::string detail;       ///< Says what the caller can do about it.
  duration retry_after{};   ///< Delay before a retry; 0 if no retry can help.
};

/** Monotonic counters of admission decisions. */
struct admission_counters {
  per_rank<std::uint64_t> admitted{};      ///< Admitted requests.
  per_rank<std::uint64_t> rate_limited{};  ///< Refused: customer rate used up.
  per_rank<std::uint64_t> overloaded{};    ///< Refused: expected wait too long.
  std::uint64_t invalid = 0;               ///< Refused as invalid.
};

/** Checks requests against contracts, rate shares and the load of services. */
class admission {
 public:
  explicit admission(std::uint64_t seed);

  void SetContracts(std::shared_ptr<const contract_set> set, time_point now);
  void SetTopology(std::shared_ptr<const topology> value, time_point now);

  /** Sets whether a newer contract revision is known but not yet in force.
   *  While this is set, every request is refused. */
  void SetContractStale(bool stale) { contract_stale_ = stale; }

  /** Records the expected wait that an owner reports for a service. */
  void OnServiceWait(service_id service, const rank_wait& wait, time_point now);

  /**
   * Admits or refuses a request.
   * @param type Type that the endpoint accepts; the contract must name the
   * same.
   * @param deadline Time limit; 0 takes the longest that the contract allows.
   * @param seen_revision Contract revision that the caller knows of.
   * @param key Key of an order; empty for a query.
   * @return Ticket; empty when the reason is in `refused`.
   */
  std::optional<admission_ticket> Admit(
      std::string_view customer, std::string_view kind, work_type type,
      duration deadline, revision_id seen_revision,
      std::optional<std::uint64_t> key, limit_share& shares, time_point now,
      admission_refusal& refused, effect_list& effects);

  /**
   * Records the end of an admitted request.
   * @param in_time Whether it was answered within its latency target.
   */
  void OnFinished(const admission_ticket& ticket, bool in_time, time_point now);

  const admission_counters& Counters() const { return counters_; }

 private:
  /** Smoothed load of one service. */
  struct service_load {
    per_rank<double> wait{};  ///< Smoothed wait in microseconds.
    time_point updated{};     ///< Time of the last report.
    std::uint64_t keys = 0;   ///< Keys held in the newest maps.
  };

  /** Limit on the admitted rate of one rank of a collection. */
  struct rank_limiter {
    bool limiting = false;      ///< Whether `rate` applies.
    double rate = 0;            ///< Admitted requests per second.
    double tokens = 0;          ///< Token bucket of `rate`.
    double floor_tokens = 0;    ///< Token bucket of the floor.
    double floor_fraction = 1;  ///< Admitted fraction of the floor rate.
    double finish_rate = 0;     ///< Smoothed in-time answers per second.
    double base = 0;            ///< Integral term of `rate`.
    double ratio = 0;           ///< Last wait divided by its limit.
    bool mostly_late = false;   ///< Most answers of the last window were late.
    std::uint32_t in_time = 0;  ///< Requests finished in time in this window.
    std::uint32_t late = 0;     ///< Requests finished late in this window.
    time_point refilled{};      ///< Time of the last refill.
    time_point window{};        ///< Start of the control window.
    time_point admitted{};      ///< Time of the last admission.
  };

  /** Load state of one collection. */
  struct collection_load {
    std::string name;                    ///< Name in the topology.
    const partition_map* map = nullptr;  ///< Newest complete map; null if none.
    std::vector<service_id> services;    ///< Services that hold its partitions.
    std::uint64_t keys = 0;              ///< Number of keys in the map.
    per_rank<rank_limiter> limiters;     ///< Rate limit of each rank.
    double capacity = 0;       ///< Decaying peak of in-time answers per s.
    time_point capacity_at{};  ///< Time of the last decay.
  };

  /** Refusal, or the rule by which a request passes the load check. */
  enum class load_decision : std::uint8_t {
    refused,
    unlimited,
    rate,
    floor,
    probe
  };

  collection_load* FindCollection(std::string_view name);
  double ExpectedWait(service_id service, rank urgency, time_point now) const;
  double ExpectedWait(const collection_load& load, const work_contract& work,
                      time_point now) const;
  static double FloorFraction(double ratio, double too_late_ratio);
  load_decision CheckOrder(collection_load& load, const work_contract& work,
                           double wait, duration budget, time_point now);
  load_decision CheckLoad(collection_load& load, const work_contract& work,
                          double wait, duration budget, time_point now);
  void RecordAdmission(rank_limiter& limiter, load_decision decision,
                       time_point now);
  void UpdateLimiter(collection_load& load, rank urgency, time_point now);
  static void StartLimiting(const collection_load& load, rank_limiter& limiter);
  static void AdjustRate(rank_limiter& limiter, double seconds);
  void CloseWindow(rank_limiter& limiter, double seconds);

  random_source random_;
  bool contract_stale_ = false;
  std::shared_ptr<const contract_set> set_;
  std::shared_ptr<const topology> topology_;
  per_rank<ppm> floors_{};  ///< Largest floor of any contract.
  std::vector<service_load> services_;
  std::vector<collection_load> collections_;
  admission_counters counters_;
};

}  // namespace corianderrail
