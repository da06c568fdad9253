/** @file settings_change.cpp Table of the keys that need a restart. */

#include "edge/settings_change.h"

#include <array>

namespace corianderrail::edge {

namespace {

/** A settings key and the comparison of its value in two settings. */
struct restart_key {
  std::string_view name;
  bool (*same)(const edge_settings&, const edge_settings&);
};

template <auto Member>
bool Same(const edge_settings& a, const edge_settings& b) {
  return a.*Member == b.*Member;
}

constexpr std::array kRestartKeys = {
    restart_key{"host", &Same<&edge_settings::host>},
    restart_key{"zone", &Same<&edge_settings::zone>},
    restart_key{"region", &Same<&edge_settings::region>},
    restart_key{"regions", &Same<&edge_settings::regions>},
    restart_key{"client_address", &Same<&edge_settings::client_address>},
    restart_key{"ready_address", &Same<&edge_settings::ready_address>},
    restart_key{"lookup_address", &Same<&edge_settings::lookup_address>},
    restart_key{"peer_address", &Same<&edge_settings::peer_address>},
    restart_key{"metrics_address", &Same<&edge_settings::metrics_address>},
    restart_key{"store_address", &Same<&edge_settings::store_address>},
    restart_key{"shared_key", &Same<&edge_settings::shared_key>},
    restart_key{"most_descriptors", &Same<&edge_settings::max_descriptors>},
    restart_key{"processor_share", &Same<&edge_settings::processor_share>},
    restart_key{"cores", &Same<&edge_settings::cores>},
    restart_key{"link_mbps", &Same<&edge_settings::link_mbps>},
    restart_key{"memory_limit_mb", &Same<&edge_settings::memory_limit>},
    restart_key{"repeat_window_s", &Same<&edge_settings::repeat_window>},
    restart_key{"config_propagation_ms",
                &Same<&edge_settings::config_propagation>},
    restart_key{"recovery_ms", &Same<&edge_settings::recovery>},
    restart_key{"cold_excess", &Same<&edge_settings::cold_excess>},
    restart_key{"cold_slack", &Same<&edge_settings::cold_slack>},
};

}  // namespace

std::vector<std::string_view> KeysRequiringRestart(const edge_settings& running,
                                                   const edge_settings& fresh) {
  std::vector<std::string_view> keys;
  for (const restart_key& key : kRestartKeys) {
    if (!key.same(running, fresh)) keys.push_back(key.name);
  }
  return keys;
}

void ApplyReloadableValues(const edge_settings& fresh, edge_settings& running) {
  running.seeds = fresh.seeds;
  running.repeat_ratio = fresh.repeat_ratio;
  running.repeat_slack = fresh.repeat_slack;
  running.leaf_drain = fresh.leaf_drain;
  running.evacuate = fresh.evacuate;
  running.stop_grace = fresh.stop_grace;
  running.lookup_ttl_s = fresh.lookup_ttl_s;
}

}  // namespace corianderrail::edge
