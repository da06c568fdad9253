/** @file flood_leafs.cpp Connections, queues and work of simulated leafs. */

#include <algorithm>
#include <cmath>

#include "flood_simulation.h"
#include "flood_state.h"

namespace corianderrail::gateway {

namespace {

/** Time of a leaf to accept a connection. */
constexpr duration kHandshake = std::chrono::milliseconds(6);

}  // namespace

duration flood_simulation::Distance(const host& from, const leaf& to) const {
  if (from.zone == to.record.zone) return setup_.near_one_way;
  return from.region == to.region ? setup_.region_one_way : setup_.one_way;
}

/** Work of a leaf for one part, uniform between 0.5 and 1.5 times the mean. */
duration flood_simulation::Work(std::size_t kind) {
  const auto mean = static_cast<std::uint64_t>(setup_.kinds[kind].work.count());
  return duration(static_cast<duration::rep>(mean / 2 + random_.Below(mean)));
}

std::map<std::string, double> flood_simulation::ServiceCapacity() const {
  std::map<std::string, double> capacity;
  for (const auto& [instance, one] : leafs_) {
    capacity[one->record.service] += one->record.slots * one->pace.Speed();
  }
  return capacity;
}

/** Opens a connection. @return False when the leaf is at its limit. */
bool flood_simulation::Open(leaf& to, std::size_t host) {
  const bool stale = now_ < began_ + setup_.stale_time;
  const std::uint32_t others = stale ? setup_.stale_connections : 0;
  if (to.connections + others >= setup_.max_connections) {
    ++resets_;
    return false;
  }
  ++to.connections;
  ++to.pools[host].open;
  most_connections_ = std::max(most_connections_, to.connections);
  return true;
}

void flood_simulation::Handle(std::size_t index, send_leaf_effect& effect) {
  leaf& to = *leafs_.at(effect.instance);
  leaf::pool& pool = to.pools[index];
  hosts_[index]->leafs[effect.call] = effect.instance;
  const duration delay = Distance(*hosts_[index], to);
  if (pool.busy < pool.open) {
    ++pool.busy;
    Forward(index, to, effect, delay);
  } else if (pool.open < effect.connections && Open(to, index)) {
    ++pool.busy;
    Forward(index, to, effect, 3 * delay + kHandshake);
  } else if (pool.open > 0) {
    pool.waiting.push_back(effect);
  } else {
    hosts_[index]->leafs.erase(effect.call);
    Schedule(now_ + 2 * delay, [this, index, call = effect.call] {
      Reduce(index, leaf_failure_event{call, leaf_failure::full});
    });
  }
}

/** A connection of a host to a leaf has no request any more. */
void flood_simulation::OnConnectionFree(std::size_t host, leaf& to) {
  leaf::pool& pool = to.pools[host];
  if (pool.waiting.empty()) {
    --pool.busy;
    return;
  }
  const send_leaf_effect next = pool.waiting.front();
  pool.waiting.pop_front();
  Forward(host, to, next, Distance(*hosts_[host], to));
}

/** Sends a request on a connection. */
void flood_simulation::Forward(std::size_t index, leaf& to,
                               const send_leaf_effect& effect, duration delay) {
  leaf::job job;
  job.host = index;
  job.call = effect.call;
  job.attempt = effect.request->attempt;
  job.kind = std::stoul(job.attempt);
  job.stop_at = now_ + effect.remaining_time;
  Schedule(now_ + delay, [this, &to, job] {
    if (!hosts_[job.host]->leafs.contains(job.call)) return;  // Canceled.
    if (to.running >= to.record.slots && to.waiting.size() >= setup_.queue) {
      leaf_answer refusal;
      refusal.status = 503;
      refusal.not_run = true;
      const duration back = Distance(*hosts_[job.host], to);
      Schedule(now_ + back, [this, &to, job, refusal] {
        if (hosts_[job.host]->leafs.erase(job.call) == 0) return;
        OnConnectionFree(job.host, to);
        Reduce(job.host, leaf_answer_event{job.call, refusal});
      });
      return;
    }
    to.waiting.push_back(job);
    StartWork(to);
  });
}

void flood_simulation::StartWork(leaf& one) {
  while (one.running < one.record.slots && !one.waiting.empty()) {
    const leaf::job job = one.waiting.front();
    one.waiting.pop_front();
    if (now_ >= job.stop_at) continue;
    ++one.running;
    one.at_work.emplace_back(job.host, job.call);
    const leaf_work work{one.record, now_, Work(job.kind), one.running};
    const time_point end = setup_.work_end
                               ? setup_.work_end(work)
                               : one.pace.EndOfWork(now_, work.usual);
    Schedule(end, [this, &one, job] {
      const auto found = std::find(one.at_work.begin(), one.at_work.end(),
                                   std::pair(job.host, job.call));
      if (found == one.at_work.end()) return;  // The request was canceled.
      one.at_work.erase(found);
      --one.running;
      leaf_answer answer;
      answer.status = 200;
      answer.signature = one.record.instance + "/" + job.attempt;
      answer.body = std::string(16, 'r');
      const duration delay = Distance(*hosts_[job.host], one);
      Schedule(now_ + delay, [this, &one, job, answer] {
        if (hosts_[job.host]->leafs.erase(job.call) == 0) return;
        OnConnectionFree(job.host, one);
        Reduce(job.host, leaf_answer_event{job.call, answer});
      });
      StartWork(one);
    });
  }
}

void flood_simulation::Handle(std::size_t index, cancel_leaf_effect& effect) {
  host& from = *hosts_[index];
  const auto found = from.leafs.find(effect.call);
  if (found == from.leafs.end()) return;
  leaf& to = *leafs_.at(found->second);
  from.leafs.erase(found);
  leaf::pool& pool = to.pools[index];
  const bool unsent =
      std::erase_if(pool.waiting, [&](const send_leaf_effect& one) {
        return one.call == effect.call;
      }) > 0;
  if (unsent) return;
  // The connection is closed to cancel its request.
  --pool.open;
  --pool.busy;
  Schedule(now_ + Distance(from, to), [this, &to, index, call = effect.call] {
    --to.connections;
    std::erase_if(to.waiting, [&](const leaf::job& job) {
      return job.host == index && job.call == call;
    });
    if (std::erase(to.at_work, std::pair(index, call)) > 0) {
      --to.running;
      StartWork(to);
    }
  });
}

void flood_simulation::Handle(std::size_t index, connect_leaf_effect& effect) {
  leaf& to = *by_address_.at(effect.address);
  const leaf::pool& pool = to.pools[index];
  if (pool.busy == pool.open) Open(to, index);
  Schedule(now_ + setup_.one_way, [this, index, leaf = effect.leaf] {
    Reduce(index, leaf_connected_event{leaf, true});
  });
}

}  // namespace corianderrail::gateway
