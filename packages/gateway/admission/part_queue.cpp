/**
 * @file part_queue.cpp Order, minimum shares and rate of waiting parts.
 *
 * During a flood of one rank, the other ranks keep a minimum share. The rate is
 * measured from the answers while parts wait, so it accounts for the load of
 * other hosts on the same leafs.
 */

#include "gateway/admission/part_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace corianderrail::gateway {

namespace {

/** Weight of one sample in the average time between answers. */
constexpr double kIntervalWeight = 0.1;

/** The next lower waiting rank is served once in this many dispatch rounds,
 *  that is, calls of NextFloorPart(). */
constexpr std::uint32_t kFloorTurns = 10;

/** How long late parts stay behind after a part that could be on time waited:
 *  the next one usually follows within this time while leafs are full. */
constexpr duration kContentionTime = std::chrono::milliseconds(150);

duration Scale(duration one, double count) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(one.count()) * count));
}

}  // namespace

void part_queue::Add(const waiting_part& part, duration usual, time_point now) {
  if (waiting_.empty()) {
    last_free_ = now;
    if (interval_ == duration{}) interval_ = usual;
  }
  waiting_.insert(part);
  if (!part.late) contended_at_ = now;
}

bool part_queue::HasSpareRoom(time_point now) const {
  const bool on_time_waits = !waiting_.empty() && !waiting_.begin()->late;
  return !on_time_waits && now >= contended_at_ + kContentionTime;
}

void part_queue::Remove(const waiting_part& part) { waiting_.erase(part); }

void part_queue::MarkLate(const waiting_part& part) {
  auto entry = waiting_.extract(part);
  if (entry.empty()) return;
  entry.value().late = true;
  waiting_.insert(std::move(entry));
}

void part_queue::OnLeafFree(time_point now) {
  if (!waiting_.empty()) {
    interval_ += Scale(now - last_free_ - interval_, kIntervalWeight);
  }
  last_free_ = now;
}

bool part_queue::HoldsOnlyLessUrgent(std::uint32_t rank) const {
  return !waiting_.empty() && waiting_.begin()->rank > rank;
}

std::optional<waiting_part> part_queue::First() const {
  if (waiting_.empty()) return std::nullopt;
  return *waiting_.begin();
}

std::optional<waiting_part> part_queue::After(const waiting_part& part) const {
  const auto next = waiting_.upper_bound(part);
  if (next == waiting_.end()) return std::nullopt;
  return *next;
}

std::optional<waiting_part> part_queue::NextFloorPart() {
  if (++turns_ < kFloorTurns || waiting_.empty()) return std::nullopt;
  turns_ = 0;
  const waiting_part& first = *waiting_.begin();
  const auto lower =
      waiting_.lower_bound({first.late, first.rank + 1, false, 0, 0});
  if (lower == waiting_.end() || lower->late) return std::nullopt;
  return *lower;
}

/** Uses the time since the last answer when it exceeds the average, as it does
 *  when leafs stop answering. */
duration part_queue::Interval(time_point now) const {
  return waiting_.empty() ? duration{} : std::max(interval_, now - last_free_);
}

duration part_queue::ExpectedWait(const waiting_part& part,
                                  time_point now) const {
  const auto end = waiting_.lower_bound(part);
  const auto ahead = static_cast<double>(std::distance(waiting_.begin(), end));
  const auto rank_begin =
      waiting_.lower_bound({part.late, part.rank, false, 0, 0});
  const auto same_rank = static_cast<double>(std::distance(rank_begin, end));
  // The minimum share of its rank may serve the part before all parts ahead of
  // it are served.
  const double turns = std::min(ahead + 1, (same_rank + 1) * kFloorTurns);
  return Scale(Interval(now), turns);
}

queue_estimate part_queue::Estimate(const waiting_part& part,
                                    time_point now) const {
  // A part that is more urgent than the first waiting one may use the reserve
  // for urgent parts, so no wait is expected.
  if (waiting_.empty() || HoldsOnlyLessUrgent(part.rank)) return {};
  return {ExpectedWait(part, now), Interval(now)};
}

}  // namespace corianderrail::gateway
