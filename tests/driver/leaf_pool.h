/** @file leaf_pool.h Simulated leafs and the connections to them. */

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "driver/fake_leaf.h"
#include "driver/fleet_type.h"

namespace corianderrail::driver {

class virtual_fleet;

/** Delivers requests to leafs. Each request gets exactly one reply or failure,
 *  unless its host has ended. */
class leaf_pool {
 public:
  explicit leaf_pool(virtual_fleet& fleet) : fleet_(fleet) {}

  void Add(const leaf_info& info, const std::string& region, duration connect,
           const fake_leaf_settings& settings);
  fake_leaf& Leaf(leaf_id leaf) { return leafs_.at(leaf).self; }

  /** Starts or kills a leaf; either way its open requests fail. */
  void SetUp(leaf_id leaf, bool up);

  void Send(std::size_t host, const send_leaf_effect& effect);
  void Cancel(std::size_t host, const cancel_leaf_effect& effect);
  void SetTarget(std::size_t host, const set_connections_effect& effect);

  /** Connections that leafs refused because their limit was reached. */
  std::uint64_t Denied() const { return denied_; }

  /** Closes all connections of a host. */
  void DisconnectHost(std::size_t host);

  std::function<void(const send_leaf_effect&)> on_send;  ///< May be empty.

 private:
  struct link {
    std::uint32_t open = 0;
    std::uint32_t used = 0;
    std::uint32_t target = 0;
  };
  struct host_links {
    std::unordered_map<leaf_id, link> links;
    std::unordered_map<leaf_call_id, std::uint64_t> tickets;
  };
  struct leaf_slot {
    fake_leaf self;
    host_place place;
    duration connect{};
    bool up = true;
    std::uint32_t open = 0;
    time_point wake = kNever;
  };
  struct open_call {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    leaf_call_id call{};
    leaf_id leaf{};
  };

  void ScheduleReplies(leaf_id leaf, std::vector<ticket_reply>& replies);
  void Fail(std::uint64_t ticket, leaf_failure failure, duration delay);
  void Finish(std::uint64_t ticket,
              const std::function<event(leaf_call_id)>& make);
  void Connect(std::size_t host, leaf_id leaf);

  virtual_fleet& fleet_;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t denied_ = 0;
  std::unordered_map<leaf_id, leaf_slot> leafs_;
  std::unordered_map<std::size_t, host_links> hosts_;
  std::unordered_map<std::uint64_t, open_call> calls_;
};

}  // namespace corianderrail::driver
