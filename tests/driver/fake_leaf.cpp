/** @file fake_leaf.cpp Simulates a leaf in virtual time. */

#include "driver/fake_leaf.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numbers>
#include <utility>

namespace corianderrail::driver {

double MeanServiceTime(const fake_leaf_settings& settings) {
  const double body =
      settings.median_us * std::exp(settings.sigma * settings.sigma / 2);
  return body * (1 + settings.tail_share * (settings.tail_factor - 1));
}

leaf_payload ParseLeafPayload(const std::string& text) {
  leaf_payload payload;
  std::array<std::uint64_t, 3> fields{};
  const char* at = text.data();
  const char* end = at + text.size();
  for (std::uint64_t& field : fields) {
    at = std::from_chars(at, end, field).ptr;
    if (at != end) ++at;
  }
  payload.snapshot = snapshot_id{fields[0]};
  payload.range = {fields[1], fields[2]};
  payload.query.assign(at, end);
  return payload;
}

fake_leaf::fake_leaf(fake_leaf_settings settings)
    : settings_(settings),
      random_(settings.seed),
      cold_left_(settings.cold_requests) {}

duration fake_leaf::ServiceTime() {
  // Box-Muller transform; 1 - Unit() avoids the logarithm of zero.
  const double radius = std::sqrt(-2 * std::log(1 - random_.Unit()));
  const double normal =
      radius * std::cos(2 * std::numbers::pi * random_.Unit());
  double time = settings_.median_us * std::exp(settings_.sigma * normal);
  if (random_.Unit() < settings_.tail_share) time *= settings_.tail_factor;
  if (cold_left_ > 0) {
    --cold_left_;
    time *= settings_.cold_factor;
  }
  return duration(static_cast<duration::rep>(time * factor_) + 1);
}

bool fake_leaf::Holds(snapshot_id snapshot, key_range range) const {
  const auto found = held_.find(snapshot);
  if (found == held_.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(), [&](const key_range& held) {
        return held.begin <= range.begin && range.end <= held.end;
      });
}

leaf_reply fake_leaf::Reply(leaf_status status) const {
  leaf_reply reply;
  reply.status = status;
  reply.newest = held_.empty() ? snapshot_id{} : held_.rbegin()->first;
  reply.draining = draining_;
  reply.queued = static_cast<std::uint32_t>(waiting_.size());
  return reply;
}

void fake_leaf::Begin(work item, time_point now) {
  // An order counts as run once it has started, even if its reply is lost.
  if (item.request.order) ran_.push_back(*item.request.order);
  item.done = now + ServiceTime();
  running_.push_back(std::move(item));
}

void fake_leaf::FillSlots(time_point now, std::vector<ticket_reply>& replies) {
  while (!waiting_.empty() && running_.size() < settings_.slots) {
    work item = std::move(waiting_.front());
    waiting_.pop_front();
    if (now - item.arrived >= item.request.remaining) {
      replies.push_back({item.ticket, Reply(leaf_status::not_run)});
      continue;
    }
    Begin(std::move(item), now);
  }
}

void fake_leaf::Submit(std::uint64_t ticket, const leaf_request& request,
                       time_point now, std::vector<ticket_reply>& replies) {
  ++submitted_;
  if (draining_) ++submitted_draining_;
  if (!request.order && !Holds(request.snapshot, request.range)) {
    replies.push_back({ticket, Reply(leaf_status::wrong_snapshot)});
    return;
  }
  if (running_.size() >= settings_.slots &&
      waiting_.size() >= settings_.queue_limit) {
    ++shed_;
    replies.push_back({ticket, Reply(leaf_status::not_run)});
    return;
  }
  waiting_.push_back({ticket, request, now, {}});
  FillSlots(now, replies);
  peak_ = std::max(peak_, running_.size() + waiting_.size());
}

void fake_leaf::Cancel(std::uint64_t ticket, time_point now,
                       std::vector<ticket_reply>& replies) {
  const auto same = [&](const work& item) { return item.ticket == ticket; };
  const auto queued = std::find_if(waiting_.begin(), waiting_.end(), same);
  if (queued != waiting_.end()) {
    waiting_.erase(queued);
    replies.push_back({ticket, Reply(leaf_status::not_run)});
    return;
  }
  const auto active = std::find_if(running_.begin(), running_.end(), same);
  if (active == running_.end() || active->request.order) return;
  running_.erase(active);
  replies.push_back({ticket, Reply(leaf_status::failed)});
  FillSlots(now, replies);
}

void fake_leaf::OnTimer(time_point now, std::vector<ticket_reply>& replies) {
  for (std::size_t i = 0; i < running_.size();) {
    if (running_[i].done > now) {
      ++i;
      continue;
    }
    const leaf_request& request = running_[i].request;
    leaf_reply reply = Reply(leaf_status::ok);
    reply.snapshot = request.snapshot;
    reply.payload = std::to_string(Raw(request.snapshot)) + ' ' +
                    std::to_string(request.range.begin) + ' ' +
                    std::to_string(request.range.end) + ' ' + request.payload;
    replies.push_back({running_[i].ticket, std::move(reply)});
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  FillSlots(now, replies);
}

time_point fake_leaf::NextTimer() const {
  time_point next = kNever;
  for (const work& item : running_) next = std::min(next, item.done);
  return next;
}

void fake_leaf::Restart() {
  running_.clear();
  waiting_.clear();
  cold_left_ = settings_.cold_requests;
}

void fake_leaf::Hold(snapshot_id snapshot, key_range range) {
  held_[snapshot].push_back(range);
}

void fake_leaf::Drop(snapshot_id snapshot) { held_.erase(snapshot); }

}  // namespace corianderrail::driver
