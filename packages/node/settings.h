/** @file settings.h Settings of a host, read from a TOML file. */

#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/host_reducer.h"

namespace corianderrail {

/** Settings that cannot be used. */
class settings_error : public std::runtime_error {
 public:
  /** What is wrong. */
  enum class kind : std::uint8_t {
    unreadable,
    syntax,
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range
  };

  settings_error(kind reason, const std::string& message)
      : std::runtime_error(message), reason_(reason) {}

  kind Reason() const { return reason_; }

 private:
  kind reason_;
};

/** Form of log lines. */
enum class log_layout : std::uint8_t { text, json };

/** Everything that an operator sets for one host. */
struct node_settings {
  std::string peer_address;              ///< IP and port for hosts.
  std::string caller_address;            ///< IP and port for callers.
  std::string zone;                      ///< Availability zone.
  std::string region;                    ///< Region.
  std::uint32_t capacity = 100;          ///< Relative weight of this host.
  std::string shared_key;                ///< Signs messages between hosts.
  std::string platform_address;          ///< IP and port of the platform.
  std::uint32_t caller_threads = 64;     ///< Calls that wait at the same time.
  std::string log_level = "info";        ///< error, warn, info or debug.
  log_layout layout = log_layout::text;  ///< Form of log lines.
  host_settings host;  ///< Timing; identity is added at start.
};

/**
 * Parses and checks settings.
 * @param name File name for messages.
 * @throws settings_error whose message names file, line and remedy.
 */
node_settings ParseSettings(std::string_view text, const std::string& name);

/** Reads a file and parses it. @throws settings_error. */
node_settings LoadSettings(const std::string& path);

}  // namespace corianderrail
