/** @file admission.h Whether a request is admitted. */

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

/** What an admitted request may use. */
struct admission_ticket {
  std::shared_ptr<const contract_set> set;  ///< Keeps `work` alive.
  const work_contract* work = nullptr;      ///< Kind of work.
  answer_preference preference{};           ///< Answer policy of the customer.
  revision_id revision{};                   ///< Revision it was admitted under.
  time_point deadline{};                    ///< Absolute deadline.
  std::optional<service_id> service;  ///< For orders, the service of the key.
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

  /** Whether a newer contract revision is known but not yet in force; nothing
   *  is admitted meanwhile. */
  void SetContractStale(bool stale) { contract_stale_ = stale; }

  /** Load signal of one service from an owner. */
  void OnServiceWait(service_id service, const rank_wait& wait, time_point now);

  /**
   * Decides on a request.
   * @param type Query or order.
   * @param key For orders, the key ordered for; else nothing.
   * @return The ticket, or the refusal in `refused`.
   */
  std::optional<admission_ticket> Admit(
      std::string_view customer, std::string_view kind, work_type type,
      duration deadline, revision_id seen_revision,
      std::optional<std::uint64_t> key, limit_share& shares, time_point now,
      admission_refusal& refused, effect_list& effects);

  /** Called when an admitted request has ended. */
  void OnFinished(const admission_ticket& ticket, bool in_time, time_point now);

  const admission_counters& Counters() const { return counters_; }

 private:
  /** Smoothed load of one service. */
  struct service_load {
    per_rank<double> wait{};  ///< Smoothed wait in microseconds.
    time_point updated{};     ///< Last report.
    std::uint64_t keys = 0;   ///< Keys it serves in the newest map.
  };

  /** Limit on the admitted rate of one rank of a collection. */
  struct rank_limiter {
    bool limiting = false;      ///< Whether `rate` applies.
    double rate = 0;            ///< Requests per second admitted.
    double tokens = 0;          ///< Of `rate`.
    double floor_tokens = 0;    ///< Of the floor.
    double floor_fraction = 1;  ///< Part of the floor rate that is admitted.
    double finish_rate = 0;     ///< Smoothed in-time answers per second.
    double base = 0;            ///< Integral part of `rate`.
    double ratio = 0;           ///< Last wait against its limit.
    bool mostly_late = false;   ///< Most answers of the last window were late.
    std::uint32_t in_time = 0;  ///< Finished in this window.
    std::uint32_t late = 0;     ///< Finished late in this window.
    time_point refilled{};      ///< Tokens counted until here.
    time_point window{};        ///< Start of the window.
    time_point admitted{};      ///< Last admission.
  };

  /** Load state of one collection. */
  struct collection_load {
    std::string name;                    ///< Of the topology.
    const partition_map* map = nullptr;  ///< Newest complete map.
    std::vector<service_id> services;    ///< Services of the map.
    std::uint64_t keys = 0;              ///< Keys of the map.
    per_rank<rank_limiter> limiters;     ///< One for each rank.
    double capacity = 0;                 ///< Peak of finishes per second.
    time_point capacity_at{};            ///< When it was last decayed.
  };

  /** How a request passes the load check. */
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
