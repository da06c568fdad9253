/** @file fleet_type.h Hosts, delays and faults of the simulated fleet. */

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/effect_type.h"
#include "core/event_type.h"

namespace corianderrail::driver {

/** Interface of a simulated host: the tier's reducer or a baseline. */
class fleet_host {
 public:
  fleet_host() = default;
  virtual ~fleet_host() = default;
  fleet_host(const fleet_host&) = delete;
  fleet_host& operator=(const fleet_host&) = delete;

  virtual void Start(time_point now, effect_list& effects) = 0;
  virtual void Reduce(const event& event, time_point now,
                      effect_list& effects) = 0;
  virtual time_point NextWake() const = 0;
  virtual peer_message Envelope(const send_peer_effect& effect) const = 0;
};

/** Location of a host or leaf. */
struct host_place {
  std::string address;  ///< Address that other hosts connect to.
  std::string zone;     ///< Availability zone.
  std::string region;   ///< Region of the zone.
};

/** One-way delays; the defaults are in microseconds. */
struct delay_settings {
  duration within_zone{50};         ///< Within a zone.
  duration between_zones{500};      ///< Between two zones of a region.
  duration between_regions{12000};  ///< Between two regions.
  duration to_client{3000};         ///< Between caller and host.
};

/** Random faults of messages between hosts and of leaf connections. */
struct fault_settings {
  double drop = 0;        ///< Share of peer messages lost.
  double duplicate = 0;   ///< Share of peer messages delivered twice.
  double delay = 0;       ///< Share of peer messages delayed.
  duration delay_max{};   ///< Upper bound of the added delay.
  double leaf_break = 0;  ///< Share of leaf requests whose connection breaks.
};

/** Creates the host for an incarnation that starts at `now`. */
using host_factory = std::function<std::unique_ptr<fleet_host>(
    std::size_t index, incarnation_id incarnation, time_point now)>;

/** Receives the effect that answers a call; null when the host was killed. */
using answer_handler = std::function<void(const effect* answer)>;

}  // namespace corianderrail::driver
