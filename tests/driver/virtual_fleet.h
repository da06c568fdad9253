/** @file virtual_fleet.h Simulates a fleet in virtual time. */

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/random.h"
#include "driver/fake_platform.h"
#include "driver/fleet_type.h"
#include "driver/leaf_pool.h"

namespace corianderrail::driver {

/**
 * Discrete-event simulation of hosts, leafs, platform and callers. One event
 * queue orders everything, so a run depends on its seed only.
 */
class virtual_fleet {
 public:
  using task = std::function<void()>;

  virtual_fleet(std::vector<host_place> places, delay_settings delays,
                host_factory factory, std::uint64_t seed);

  time_point Now() const { return now_; }
  void After(duration delay, task action);
  void RunUntil(time_point end);

  void StartHost(std::size_t host);
  void KillHost(std::size_t host);
  void PauseHost(std::size_t host, duration length);

  std::size_t HostCount() const { return hosts_.size(); }
  bool Running(std::size_t host) const { return hosts_[host].self != nullptr; }
  std::uint64_t Incarnation(std::size_t host) const {
    return hosts_[host].incarnation;
  }
  const host_place& Place(std::size_t host) const { return hosts_[host].place; }
  fleet_host* Host(std::size_t host) { return hosts_[host].self.get(); }

  /** Sends a caller's event to a host; sets its `call`. */
  template <typename Event>
  void Call(std::size_t host, Event request, const answer_handler& handler) {
    const call_id call{++last_call_};
    request.call = call;
    OpenCall(host, call, std::move(request), handler);
  }

  /** Delivers an event to a host, unless that incarnation has ended. Events for
   *  a paused host wait until it resumes. */
  void Deliver(std::size_t host, std::uint64_t incarnation,
               const event& incoming);

  duration Delay(const host_place& from, const host_place& to) const;
  bool IsPartitioned(const host_place& from, const host_place& to) const;
  /** True with this probability. */
  bool Chance(double share) { return share > 0 && random_.Unit() < share; }

  fault_settings faults;  ///< Random faults; may change during a run.
  std::set<std::string> isolated_zones;  ///< Zones that reach no other zone.
  std::set<std::size_t> isolated_hosts;  ///< Hosts that reach no other host.
  std::uint64_t repeated_answers = 0;    ///< Second answers to a call.
  std::vector<std::string> log;          ///< Log lines of all hosts.
  leaf_pool leafs{*this};                ///< All leafs.
  fake_platform platform{*this};  ///< Configuration service and host list.

 private:
  struct item {
    time_point when{};
    std::uint64_t order = 0;
    task action;
  };
  struct host_slot {
    host_place place;
    std::unique_ptr<fleet_host> self;
    std::uint64_t incarnation = 0;
    time_point paused_until{};
    std::vector<event> inbox;
    time_point wake = kNever;
    std::unordered_map<call_id, answer_handler> calls;
  };

  void OpenCall(std::size_t host, call_id call, event request,
                const answer_handler& handler);
  void Answer(std::size_t host, call_id call, effect answer);
  void ApplyEffects(std::size_t host, effect_list& effects);
  void ScheduleWake(std::size_t host);
  void SendPeer(std::size_t from, const send_peer_effect& effect);

  time_point now_{};
  std::uint64_t last_item_ = 0;
  std::uint64_t last_call_ = 0;
  std::vector<item> queue_;
  std::vector<host_slot> hosts_;
  std::map<std::string, std::size_t> by_address_;
  delay_settings delays_;
  host_factory factory_;
  random_source random_;
};

}  // namespace corianderrail::driver
