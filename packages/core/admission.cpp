/** @file admission.cpp Admission control of requests. */

#include "core/admission.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "core/coverage.h"

namespace corianderrail {

namespace {

using std::chrono::milliseconds;

/// Weights of a reported wait in the smoothed wait: the first for a report
/// above it, the second for one below. A rise must take effect within a few
/// reports; otherwise an overload of ten times the capacity queues more work
/// than one latency target.
constexpr double kRiseWeight = 0.5;
constexpr double kFallWeight = 0.2;

/// Without new reports a wait decays to 1/e in this time. After the 5 s that
/// recovery may take, it is close to zero.
constexpr duration kWaitDecay = milliseconds(500);

/// Fraction of the latency target that the queue of a limited rank may take.
/// Queues of lower ranks do not delay urgent work, so they may be longer, which
/// keeps slots busy when queue lengths differ between services. With 0.6, the
/// median p99 of background work under overload was 145 and 156 ms at a latency
/// target of 130 ms; with 0.45 it is 120 and 130 ms.
constexpr per_rank<double> kWaitShare = {0.4, 0.45, 0.45};

/// Ratio of the wait to its limit above which a rank is limited. With 1, bursts
/// of background work were refused at 75% load after replicas were lost.
constexpr double kStartRatio = 1.35;

/// Fraction of the latency target; after a longer wait an answer is unlikely to
/// be in time.
constexpr double kTooLateShare = 0.9;

/// Length of one measurement window; under load it spans several reports.
constexpr duration kWindow = milliseconds(50);

/// After this long without requests, a rank is no longer limited.
constexpr double kInactivitySeconds = 1;

/// Time constant of the smoothed rate of answers in time.
constexpr double kFinishRateSeconds = 0.3;

/// Time constant with which the observed peak capacity decays.
constexpr double kCapacitySeconds = 30;

/// Ratio of the wait to its limit below which slots become idle, so that the
/// admitted rate rises fast.
constexpr double kIdleRatio = 0.25;

/// Exponential growth per second of the admitted rate when there is no wait:
/// ten times the rate in half a second.
constexpr double kIdleGrowth = 5;

/// Gains of the controller that sets the admitted rate from the wait. The
/// proportional gain corrects a wait of 60 ms at 0.5/60 ms = 8/s, which is
/// stable with the 60 ms until a change of the rate shows in the reports
/// between regions. The integral gain, per second, is low enough to avoid
/// overshoot.
constexpr double kProportional = 0.5;
constexpr double kIntegral = 0.8;

/// Ratio of the wait to its limit that is assumed when most answers are late,
/// and the minimum measured ratio for this assumption.
constexpr double kLateRatio = 1.5;
constexpr double kMinLateRatio = 0.25;

/// Limiting ends when the limit is this many times the demand, as it has no
/// effect then.
constexpr double kReleaseFactor = 10;

/// Bucket depths in seconds of the rate and of the floor rate. A floor rate is
/// low, so its bucket covers more time in order to admit random arrivals.
constexpr double kBurstSeconds = 0.02;
constexpr double kFloorBurstSeconds = 0.1;

/// One request per period is admitted at any load, so that its result reports
/// the present wait.
constexpr duration kProbePeriod = milliseconds(100);

/// Lowest admitted rate of a limited rank, requests per second.
constexpr double kMinRate = 10;

constexpr duration kMinRetryDelay = milliseconds(100);
constexpr duration kMaxRetryDelay = std::chrono::seconds(2);

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/** Factor by which a wait reported at `reported` has decayed. */
double DecaySince(time_point reported, time_point now) {
  const double age = Seconds(now - reported) / Seconds(kWaitDecay);
  return std::exp(-std::max(0.0, age));
}

admission_refusal Refuse(refusal_reason reason, std::string detail,
                         duration retry_after = {}) {
  return {reason, std::move(detail), retry_after};
}

const work_contract* FindWork(const customer_contract& contract,
                              std::string_view kind) {
  for (const work_contract& work : contract.work) {
    if (work.kind == kind) return &work;
  }
  return nullptr;
}

/** Newest complete map of a collection; null if there is none. */
const partition_map* NewestComplete(const collection_info& collection) {
  for (auto map = collection.maps.rbegin(); map != collection.maps.rend();
       ++map) {
    if (IsComplete(*map)) return &*map;
  }
  return nullptr;
}

/** Service that holds a key; empty outside the key space. */
std::optional<service_id> ServiceOf(const partition_map& map,
                                    std::uint64_t key) {
  const auto after = std::upper_bound(
      map.partitions.begin(), map.partitions.end(), key,
      [](std::uint64_t k, const partition& p) { return k < p.range.begin; });
  if (after == map.partitions.begin()) return std::nullopt;
  const partition& part = *std::prev(after);
  if (key >= part.range.end) return std::nullopt;
  return part.service;
}

}  // namespace

admission::admission(std::uint64_t seed) : random_(seed) {}

void admission::SetContracts(std::shared_ptr<const contract_set> set,
                             time_point /*now*/) {
  set_ = std::move(set);
  floors_ = {};
  if (!set_) return;
  for (const auto& [name, contract] : set_->customers) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      floors_[i] = std::max(floors_[i], contract.floor[i]);
    }
  }
}

void admission::SetTopology(std::shared_ptr<const topology> value,
                            time_point now) {
  topology_ = std::move(value);
  std::vector<collection_load> previous = std::exchange(collections_, {});
  services_.assign(topology_ ? topology_->services.size() : 0, {});
  if (!topology_) return;
  for (const collection_info& collection : topology_->collections) {
    collection_load load;
    const auto old = std::find_if(
        previous.begin(), previous.end(),
        [&](const collection_load& l) { return l.name == collection.name; });
    if (old != previous.end()) load = std::move(*old);
    load.name = collection.name;
    load.map = NewestComplete(collection);
    load.services.clear();
    load.keys = load.map ? KeysIn(*load.map) : 0;
    if (load.capacity_at == time_point{}) load.capacity_at = now;
    if (load.map) {
      for (const partition& part : load.map->partitions) {
        if (Raw(part.service) >= services_.size()) continue;
        service_load& service = services_[Raw(part.service)];
        if (service.keys == 0) load.services.push_back(part.service);
        service.keys += KeysIn(part.range);
      }
    }
    collections_.push_back(std::move(load));
  }
}

void admission::OnServiceWait(service_id service, const rank_wait& wait,
                              time_point now) {
  if (Raw(service) >= services_.size()) return;
  service_load& load = services_[Raw(service)];
  const double decay = DecaySince(load.updated, now);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const double before = load.wait[i] * decay;
    const double sample = wait[i];
    const double weight = sample > before ? kRiseWeight : kFallWeight;
    load.wait[i] = before + weight * (sample - before);
  }
  load.updated = now;
}

double admission::ExpectedWait(service_id service, rank urgency,
                               time_point now) const {
  const service_load& load = services_[Raw(service)];
  return load.wait[RankIndex(urgency)] * DecaySince(load.updated, now);
}

/**
 * Wait within which the contract's minimum coverage can be reached. With the
 * longest wait of all services, one slow service would cause the refusal of
 * every query.
 */
double admission::ExpectedWait(const collection_load& load,
                               const work_contract& work,
                               time_point now) const {
  std::vector<std::pair<double, std::uint64_t>> waits;
  waits.reserve(load.services.size());
  for (const service_id service : load.services) {
    waits.emplace_back(ExpectedWait(service, work.urgency, now),
                       services_[Raw(service)].keys);
  }
  std::sort(waits.begin(), waits.end());
  std::uint64_t covered = 0;
  for (const auto& [wait, keys] : waits) {
    covered += keys;
    if (ShareOf(covered, load.keys) >= work.min_coverage) return wait;
  }
  return waits.empty() ? 0 : waits.back().first;
}

admission::collection_load* admission::FindCollection(std::string_view name) {
  for (collection_load& load : collections_) {
    if (load.name == name) return &load;
  }
  return nullptr;
}

/**
 * Starts to limit a rank. The first rate is the observed capacity less the
 * finish rates of the other ranks, or the finish rate of this rank if higher.
 */
void admission::StartLimiting(const collection_load& load,
                              rank_limiter& limiter) {
  double others = -limiter.finish_rate;
  for (const rank_limiter& each : load.limiters) others += each.finish_rate;
  limiter.base =
      std::max({limiter.finish_rate, load.capacity - others, kMinRate});
  limiter.rate = limiter.base;
  limiter.tokens = 0;
  limiter.limiting = true;
}

void admission::CloseWindow(rank_limiter& limiter, double seconds) {
  const double measured = limiter.in_time / seconds;
  const double weight = 1 - std::exp(-seconds / kFinishRateSeconds);
  limiter.finish_rate += weight * (measured - limiter.finish_rate);
  limiter.mostly_late = limiter.late > limiter.in_time;
  limiter.in_time = 0;
  limiter.late = 0;
}

/**
 * Adjusts the admitted rate so that the owners keep a short queue of the rank;
 * without one, slots become idle. Steps are small, because large steps of
 * several hosts at the same time would make the queue oscillate.
 */
void admission::AdjustRate(rank_limiter& limiter, double seconds) {
  if (!limiter.limiting) return;
  double ratio = limiter.ratio;
  // Late answers indicate a queue before the reported wait does. They count
  // only if there is some wait, because answers are also late after the loss of
  // a service, which is no overload.
  if (limiter.mostly_late && ratio > kMinLateRatio) {
    ratio = std::max(ratio, kLateRatio);
  }
  const double error = std::clamp(1 - ratio, -1.0, 1.0);
  const double gain = ratio < kIdleRatio ? kIdleGrowth : kIntegral;
  limiter.base *= std::exp(gain * error * seconds);
  limiter.base = std::max(limiter.base, kMinRate);
  limiter.rate = std::max(limiter.base * (1 + kProportional * error), kMinRate);
  const double demand = limiter.finish_rate + kMinRate;
  if (ratio < 0.1 && limiter.rate > kReleaseFactor * demand)
    limiter.limiting = false;
}

/** Adjusts the rate, refills the tokens and ends the window when it is over. */
void admission::UpdateLimiter(collection_load& load, rank urgency,
                              time_point now) {
  rank_limiter& limiter = load.limiters[RankIndex(urgency)];
  const double elapsed = std::clamp(Seconds(now - limiter.refilled), 0.0, 1.0);
  limiter.refilled = now;
  AdjustRate(limiter, elapsed);
  const double rate_cap = std::max(1.0, limiter.rate * kBurstSeconds);
  limiter.tokens = std::min(rate_cap, limiter.tokens + limiter.rate * elapsed);
  const double floor_rate = load.capacity * limiter.floor_fraction *
                            floors_[RankIndex(urgency)] / kWholePpm;
  const double floor_cap = std::max(1.0, floor_rate * kFloorBurstSeconds);
  limiter.floor_tokens =
      std::min(floor_cap, limiter.floor_tokens + floor_rate * elapsed);
  if (now - limiter.window < kWindow) return;
  const double length = std::clamp(Seconds(now - limiter.window), 0.0, 1.0);
  limiter.window = now;
  // After a second without requests, the last measured load is outdated.
  if (length >= kInactivitySeconds) limiter.limiting = false;
  CloseWindow(limiter, length);
  double total = 0;
  for (const rank_limiter& each : load.limiters) total += each.finish_rate;
  const double decay_time = Seconds(now - load.capacity_at) / kCapacitySeconds;
  load.capacity_at = now;
  load.capacity = std::max(total, load.capacity * std::exp(-decay_time));
}

/**
 * Fraction of the floor rate to admit. It is up to 1.2 while the wait is short,
 * so that uneven arrivals reach the floor. It falls as the queue of the floor
 * grows, because more work would only wait in that queue.
 */
double admission::FloorFraction(double ratio, double too_late_ratio) {
  const double remaining_fraction =
      (too_late_ratio - ratio) / (too_late_ratio - 1);
  return std::clamp(1.5 * remaining_fraction, 0.0, 1.2);
}

/**
 * Load check of an order. An order needs one service only, so the wait of that
 * service counts and not the rate of the collection. The refused fraction rises
 * linearly with the wait.
 */
admission::load_decision admission::CheckOrder(collection_load& load,
                                               const work_contract& work,
                                               double wait, duration budget,
                                               time_point now) {
  const rank_limiter& limiter = load.limiters[RankIndex(work.urgency)];
  const double share = wait / static_cast<double>(budget.count());
  const double first = kWaitShare[RankIndex(work.urgency)];
  const double refused = (share - first) / (kTooLateShare - first);
  if (random_.Unit() >= refused) return load_decision::unlimited;
  if (now - limiter.admitted >= kProbePeriod) return load_decision::probe;
  return load_decision::refused;
}

admission::load_decision admission::CheckLoad(collection_load& load,
                                              const work_contract& work,
                                              double wait, duration budget,
                                              time_point now) {
  const std::size_t index = RankIndex(work.urgency);
  rank_limiter& limiter = load.limiters[index];
  UpdateLimiter(load, work.urgency, now);
  const double limit = static_cast<double>(budget.count());
  const double ratio = wait / (limit * kWaitShare[index]);
  limiter.ratio = ratio;
  // Limiting starts at once; waiting for the end of the window would admit too
  // much work at the start of an overload.
  if (ratio > kStartRatio && !limiter.limiting) StartLimiting(load, limiter);
  limiter.floor_fraction =
      FloorFraction(ratio, kTooLateShare / kWaitShare[index]);
  const bool too_late = wait > limit * kTooLateShare;
  if (!too_late && !limiter.limiting) return load_decision::unlimited;
  if (!too_late && limiter.tokens >= 1) return load_decision::rate;
  if (limiter.floor_tokens >= 1) return load_decision::floor;
  if (now - limiter.admitted >= kProbePeriod) return load_decision::probe;
  return load_decision::refused;
}

void admission::RecordAdmission(rank_limiter& limiter, load_decision decision,
                                time_point now) {
  limiter.admitted = now;
  if (decision == load_decision::rate) limiter.tokens -= 1;
  if (decision == load_decision::floor) limiter.floor_tokens -= 1;
}

std::optional<admission_ticket> admission::Admit(
    std::string_view customer, std::string_view kind, work_type type,
    duration deadline, revision_id seen_revision,
    std::optional<std::uint64_t> key, limit_share& shares, time_point now,
    admission_refusal& refused, effect_list& effects) {
  const auto invalid = [&](refusal_reason reason, std::string detail) {
    ++counters_.invalid;
    refused = Refuse(reason, std::move(detail));
    return std::nullopt;
  };
  if (!set_) {
    refused = Refuse(refusal_reason::not_ready,
                     "no contracts are in force yet; ask for other addresses",
                     kMinRetryDelay);
    return std::nullopt;
  }
  if (contract_stale_ || seen_revision > set_->revision) {
    refused = Refuse(
        refusal_reason::contract_stale,
        "this host has contract revision " +
            std::to_string(Raw(set_->revision)) +
            ", which is not the newest; try again or ask for other addresses",
        kMinRetryDelay);
    return std::nullopt;
  }
  const auto contract = set_->customers.find(std::string(customer));
  if (contract == set_->customers.end()) {
    return invalid(refusal_reason::unknown_customer,
                   "customer '" + std::string(customer) +
                       "' has no contract; publish one or correct the name");
  }
  const work_contract* work = FindWork(contract->second, kind);
  if (work == nullptr) {
    return invalid(refusal_reason::unknown_kind,
                   "the contract of '" + std::string(customer) +
                       "' has no kind '" + std::string(kind) +
                       "'; add it to the contract or correct the name");
  }
  if (work->type != type) {
    return invalid(
        refusal_reason::bad_request,
        "kind '" + std::string(kind) + "' is for " +
            (work->type == work_type::order ? "orders; send it to /v1/orders"
                                            : "queries; send it to /v1/query"));
  }
  if (deadline < duration{}) {
    return invalid(refusal_reason::bad_request,
                   "the deadline is negative; send the remaining time, or 0 "
                   "for the contract's longest");
  }
  if (deadline > work->deadline_max) {
    return invalid(refusal_reason::deadline_too_long,
                   "the deadline exceeds the contract's longest of " +
                       std::to_string(work->deadline_max.count()) +
                       " us; ask for less or raise deadline_max");
  }
  if (deadline == duration{}) deadline = work->deadline_max;
  collection_load* load = FindCollection(work->collection);
  if (load == nullptr || load->map == nullptr) {
    refused = Refuse(refusal_reason::no_topology,
                     "collection '" + work->collection +
                         "' has no complete partition map; publish one",
                     kMinRetryDelay);
    return std::nullopt;
  }
  admission_ticket ticket{
      set_,           work,           contract->second.preference,
      set_->revision, now + deadline, std::nullopt};
  if (key) {
    ticket.service = ServiceOf(*load->map, *key);
    if (!ticket.service || Raw(*ticket.service) >= services_.size()) {
      return invalid(refusal_reason::bad_request,
                     "key " + std::to_string(*key) +
                         " is outside the collection's key space");
    }
  }
  const double wait = ticket.service
                          ? ExpectedWait(*ticket.service, work->urgency, now)
                          : ExpectedWait(*load, *work, now);
  const duration budget = work->latency_target > duration{}
                              ? std::min(deadline, work->latency_target)
                              : deadline;
  const std::size_t index = RankIndex(work->urgency);
  const load_decision decision =
      ticket.service ? CheckOrder(*load, *work, wait, budget, now)
                     : CheckLoad(*load, *work, wait, budget, now);
  if (decision == load_decision::refused) {
    ++counters_.overloaded[index];
    const auto expected = duration(static_cast<duration::rep>(wait));
    duration retry = std::clamp(expected, kMinRetryDelay, kMaxRetryDelay);
    // A random part of up to the same length keeps refused callers from
    // retrying at the same time.
    retry += duration(static_cast<duration::rep>(
        random_.Below(static_cast<std::uint64_t>(retry.count()))));
    refused =
        Refuse(refusal_reason::overloaded,
               "the expected wait for " + std::string(RankName(work->urgency)) +
                   " work is too long; try again later",
               retry);
    return std::nullopt;
  }
  duration retry_after{};
  if (!shares.TryAcquire(customer, kind, now, retry_after, effects)) {
    ++counters_.rate_limited[index];
    refused = Refuse(refusal_reason::rate_limit,
                     "the rate of kind '" + std::string(kind) +
                         "' is used up; slow down or raise rate_per_s",
                     retry_after);
    return std::nullopt;
  }
  RecordAdmission(load->limiters[index], decision, now);
  ++counters_.admitted[index];
  return ticket;
}

void admission::OnFinished(const admission_ticket& ticket, bool in_time,
                           time_point now) {
  if (ticket.work == nullptr) return;
  collection_load* load = FindCollection(ticket.work->collection);
  if (load == nullptr) return;
  rank_limiter& limiter = load->limiters[RankIndex(ticket.work->urgency)];
  ++(in_time ? limiter.in_time : limiter.late);
  UpdateLimiter(*load, ticket.work->urgency, now);
}

}  // namespace corianderrail
