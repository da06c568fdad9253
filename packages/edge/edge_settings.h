/** @file edge_settings.h Settings of an edge process, read from TOML. */

#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::edge {

/** Settings that cannot be used; the text names each fault and its remedy. */
class edge_settings_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Everything that one edge process is told. */
struct edge_settings {
  std::string host;    ///< Name of this host in logs.
  std::string zone;    ///< Availability zone.
  std::string region;  ///< Region.
  std::map<std::string, std::string, std::less<>>
      regions;                            ///< Region of each availability zone.
  std::string client_address;             ///< Requests of clients.
  std::string ready_address;              ///< Readiness checks.
  std::string lookup_address;             ///< Which host to use.
  std::string peer_address;               ///< Datagrams of other hosts.
  std::string metrics_address;            ///< Metrics.
  std::string store_address;              ///< Metadata store.
  std::vector<std::string> seeds;         ///< Peer addresses of some hosts.
  std::string shared_key;                 ///< Signs datagrams between hosts.
  std::uint64_t most_descriptors = 1024;  ///< Of this process.
  double processor_share = 1;             ///< Part of a core that it may use.
  double cores = 1;           ///< Speed of the core; 1 is the usual one.
  double link_mbps = 1000;    ///< Bandwidth of the host's link.
  double repeat_ratio = 0.2;  ///< Repeats a first request, fleet-wide.
  double repeat_slack = 0;    ///< Repeats a window, fleet-wide.
  duration repeat_window = std::chrono::seconds(10);  ///< Its length.
  duration leaf_drain = std::chrono::seconds(3);      ///< Work after a leave.
  duration stop_grace = std::chrono::seconds(6);  ///< From SIGTERM to SIGKILL.
  std::uint32_t lookup_ttl_s = 1;  ///< Lifetime of a lookup answer.
};

/**
 * Parses and checks settings.
 * @param name File name for messages.
 * @throws edge_settings_error that lists all faults.
 */
edge_settings ParseEdgeSettings(std::string_view text, const std::string& name);

/** Reads a file and parses it. @throws edge_settings_error. */
edge_settings LoadEdgeSettings(const std::string& path);

}  // namespace corianderrail::edge
