/** @file edge_settings.h Settings of an edge process, read from TOML. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/time_type.h"
#include "gateway/admission/memory_shares.h"

namespace corianderrail::edge {

/** Invalid settings; the message lists each fault with its remedy. */
class edge_settings_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Settings of one edge process. Each member is named after its settings key;
 *  the keys of durations also end with the unit. */
struct edge_settings {
  std::string host;    ///< Name of this host in log lines.
  std::string zone;    ///< Availability zone of this host.
  std::string region;  ///< Region of this host.
  std::map<std::string, std::string, std::less<>>
      regions;                     ///< Region of each availability zone.
  std::string client_address;      ///< Listens for clients.
  std::string ready_address;       ///< Listens for readiness checks.
  std::string lookup_address;      ///< Listens for lookups of entry hosts.
  std::string peer_address;        ///< Peers: membership (UDP), relay (TCP).
  std::string metrics_address;     ///< Listens for metrics requests.
  std::string store_address;       ///< Address of the metadata store.
  std::vector<std::string> seeds;  ///< Peer addresses to join through.
  std::string shared_key;          ///< Signs datagrams between hosts.
  std::uint64_t max_descriptors = 1024;  ///< Limit of open file descriptors.
  double processor_share = 1;            ///< This process's part of a core.
  double cores = 1;         ///< Speed of that core; 1 is a usual core.
  double link_mbps = 1000;  ///< Bandwidth of the host's link.
  /** Memory of this host, from which the bounds for slow peers follow. */
  gateway::memory_limit_mb memory_limit = gateway::kDefaultMemoryLimit;
  double repeat_ratio = 0.2;  ///< Repeats per first request, fleet-wide.
  double repeat_slack = 0;    ///< Further repeats per window, fleet-wide.
  duration repeat_window = std::chrono::seconds(10);  ///< Sliding window.
  /** Time for which a draining leaf still accepts requests. */
  duration leaf_drain = std::chrono::seconds(3);
  /** Time within which a changed configuration must be in force. */
  duration config_propagation = std::chrono::seconds(3);
  /** Time within which an evacuation must be in force; empty where the platform
   *  has none. */
  std::optional<duration> evacuate;
  /** Time within which this host must know all changes after a fault. */
  duration recovery = std::chrono::seconds(5);
  duration stop_grace = std::chrono::seconds(6);  ///< From SIGTERM to SIGKILL.
  std::uint32_t lookup_ttl_s = 1;  ///< Lifetime of a lookup answer.

  /** Time within which any change of the store must be in force. */
  duration Propagation() const;
  double cold_excess = 0;  ///< Factor on the rate of cold leafs; 0: no limit.
  double cold_slack = 0;   ///< Further requests per second to a cold leaf.
};

/**
 * Parses and validates settings.
 * @param name File name for error messages.
 * @throws edge_settings_error that lists all faults.
 */
edge_settings ParseEdgeSettings(std::string_view text, const std::string& name);

/** Reads a file and parses it. @throws edge_settings_error. */
edge_settings LoadEdgeSettings(const std::string& path);

}  // namespace corianderrail::edge
