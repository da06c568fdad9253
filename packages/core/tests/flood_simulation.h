/** @file flood_simulation.h Simulation of one service under overload, with
 * admission control. */

#pragma once

#include <algorithm>
#include <deque>
#include <queue>
#include <vector>

#include "core/leaf_queue.h"
#include "core/random.h"
#include "entry_fixture.h"

namespace corianderrail {

/** Results of one rank over a period of the simulation. */
struct flood_result {
  std::uint64_t offered = 0;    ///< Requests sent by callers.
  std::uint64_t admitted = 0;   ///< Admitted requests.
  std::uint64_t in_time = 0;    ///< Answered within the latency target.
  std::vector<duration> times;  ///< Response times of all answers.

  duration Percentile(double share) {
    if (times.empty()) return {};
    std::sort(times.begin(), times.end());
    const auto index =
        static_cast<std::size_t>(share * static_cast<double>(times.size()));
    return times[std::min(index, times.size() - 1)];
  }
};

/**
 * Service with ten slots of 10 ms, so 1,000 requests/s, at a one-way delay of
 * 2 ms from the entry. It uses the queue of the owner: floors first, then
 * strict rank order. Expired work is dropped.
 */
class flood_simulation {
 public:
  static constexpr double kCapacity = 1'000;
  static constexpr int kSlots = 10;
  static constexpr duration kService = std::chrono::milliseconds(10);
  static constexpr duration kOneWay = std::chrono::milliseconds(2);
  static constexpr duration kStep = std::chrono::microseconds(100);

  explicit flood_simulation(std::uint64_t seed)
      : fixture_(1, 1), random_(seed) {}

  /** Offers requests by rank at rates per second. The results include answers
   * to requests of earlier runs. */
  per_rank<flood_result> Run(per_rank<double> rates, duration length) {
    per_rank<flood_result> results;
    results_ = &results;
    const time_point end = fixture_.now + length;
    while (fixture_.now < end) Step(rates);
    results_ = nullptr;
    return results;
  }

  /** Sets the number of working slots. */
  void SetSlots(int slots) { slots_ = slots; }

 private:
  struct job {
    rank urgency{};
    admission_ticket ticket;
    time_point arrived{};
  };

  struct delivery {
    time_point when{};
    std::uint64_t order = 0;
    std::size_t job = 0;
    int stage = 0;  ///< 0: at the owner, 1: slot done, 2: answered.
    bool ok = false;
    rank_wait wait{};

    bool operator<(const delivery& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };

  void Step(const per_rank<double>& rates) {
    fixture_.now += kStep;
    fixture_.RefreshShares();
    while (!pending_.empty() && pending_.top().when <= fixture_.now) {
      const delivery next = pending_.top();
      pending_.pop();
      Deliver(next);
    }
    for (const rank each : kAllRanks) Offer(each, rates[RankIndex(each)]);
    Serve();
  }

  void Offer(rank urgency, double rate) {
    static constexpr per_rank<std::string_view> kKinds = {"search", "browse",
                                                          "report"};
    const double mean = rate * std::chrono::duration<double>(kStep).count();
    double left = mean;
    for (; left > 0; left -= 1) {
      if (random_.Unit() >= left) continue;
      flood_result& result = (*results_)[RankIndex(urgency)];
      ++result.offered;
      const auto ticket = fixture_.Admit(kKinds[RankIndex(urgency)]);
      if (!ticket) continue;
      ++result.admitted;
      jobs_.push_back({urgency, *ticket, fixture_.now});
      Schedule({fixture_.now + kOneWay, 0, jobs_.size() - 1, 0, false, {}});
    }
  }

  void Schedule(delivery item) {
    item.order = ++order_;
    pending_.push(item);
  }

  void Deliver(const delivery& item) {
    const job& work = jobs_[item.job];
    if (item.stage == 0) {
      queue_.Push(work.urgency,
                  {work.ticket.deadline, ++order_, slot_handle(item.job)});
      queue_.AddLive(work.urgency);
      return;
    }
    if (item.stage == 1) {
      --busy_;
      Reply(item.job, true);
      return;
    }
    fixture_.admission_control.OnServiceWait(service_id{0}, item.wait,
                                             fixture_.now);
    const duration elapsed = fixture_.now - work.arrived;
    const bool in_time = item.ok && elapsed <= work.ticket.work->latency_target;
    fixture_.admission_control.OnFinished(work.ticket, in_time, fixture_.now);
    if (results_ == nullptr || !item.ok) return;
    flood_result& result = (*results_)[RankIndex(work.urgency)];
    result.times.push_back(elapsed);
    if (in_time) ++result.in_time;
  }

  void Reply(std::size_t job, bool ok) {
    Schedule({fixture_.now + kOneWay, 0, job, 2, ok, ExpectedWait()});
  }

  /** Expected wait of new work, calculated as by an owner. */
  rank_wait ExpectedWait() const {
    rank_wait wait{};
    double ahead = 0;
    double used_share = 0;
    for (std::size_t i = 0; i < kRankCount; ++i) {
      const auto queued = static_cast<double>(queue_.Live(kAllRanks[i]));
      ahead += queued;
      const double cost = static_cast<double>(kService.count()) / slots_;
      const double floor = kFloors[i] / 1e6;
      const double available_share = std::max(1 - used_share, floor);
      const bool free = busy_ < slots_ && ahead == 0;
      double expected = free ? 0 : (ahead + 1) * cost / available_share;
      expected = std::min(expected, (queued + 1) * cost / floor);
      wait[i] = static_cast<std::uint32_t>(expected);
      used_share += busy_share_[i];
    }
    return wait;
  }

  void Serve() {
    for (double& share : busy_share_) share *= 1 - kShareWeight / 10;
    while (busy_ < slots_ && queue_.LiveTotal() > 0) {
      for (const rank each : queue_.ServingOrder(kFloors)) {
        if (queue_.Live(each) == 0) continue;
        const queue_entry entry = queue_.Pop(each);
        queue_.RemoveLive(each);
        const auto job = static_cast<std::size_t>(entry.task);
        if (entry.deadline < fixture_.now + kService) {
          Reply(job, false);
          break;
        }
        queue_.Charge(each, kService, kFloors);
        ++busy_;
        busy_share_[RankIndex(each)] += kShareWeight / slots_ * 10;
        Schedule({fixture_.now + kService, 0, job, 1, true, {}});
        break;
      }
    }
  }

  /// Weight that smooths the slot use over about 100 service times.
  static constexpr double kShareWeight = 0.01;

  static constexpr per_rank<ppm> kFloors = {100'000, 100'000, 50'000};

  entry_fixture fixture_;
  random_source random_;
  leaf_queue queue_;
  std::deque<job> jobs_;
  std::priority_queue<delivery> pending_;
  std::uint64_t order_ = 0;
  per_rank<double> busy_share_{};  ///< Smoothed slot use, by rank.
  int busy_ = 0;
  int slots_ = kSlots;
  per_rank<flood_result>* results_ = nullptr;
};

}  // namespace corianderrail
