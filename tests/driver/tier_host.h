/** @file tier_host.h Runs the production reducer in the simulated fleet. */

#pragma once

#include <cstdint>
#include <memory>

#include "core/host_reducer.h"
#include "driver/deployment.h"
#include "driver/fleet_type.h"

namespace corianderrail::driver {

/** Adapts host_reducer to the interface of the simulated fleet. */
class tier_host : public fleet_host {
 public:
  explicit tier_host(host_settings settings) : reducer_(std::move(settings)) {}

  void Start(time_point now, effect_list& effects) override {
    reducer_.Start(now, effects);
  }
  void Reduce(const event& event, time_point now,
              effect_list& effects) override {
    reducer_.Reduce(event, now, effects);
  }
  time_point NextWake() const override { return reducer_.NextWake(); }
  peer_message Envelope(const send_peer_effect& effect) const override {
    return reducer_.Envelope(effect);
  }
  host_view View() const { return reducer_.View(); }

 private:
  host_reducer reducer_;
};

/** Settings of a host whose validators accept only documents of the store. */
host_settings TierSettings(const document_store& store, std::size_t index,
                           incarnation_id incarnation, time_point now,
                           std::uint64_t seed);

/** Factory for hosts of the tier. The store must outlive these hosts. */
host_factory TierFactory(const document_store& store, std::uint64_t seed);

/** Time from the start of a fleet until its hosts may use their rate shares. */
inline constexpr duration kTierStartTime = std::chrono::seconds(8);

}  // namespace corianderrail::driver
