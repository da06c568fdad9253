/** @file settings.h Settings of a host, read from a TOML file. */

#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/host_reducer.h"

namespace corianderrail {

/** A settings file that cannot be used; the message names the remedy. */
class settings_error : public std::runtime_error {
 public:
  /** Kind of fault. */
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

/** Format of log lines: plain text or JSON objects. */
enum class log_layout : std::uint8_t { text, json };

/** Everything that an operator sets for one host. */
struct node_settings {
  std::string peer_address;      ///< `ip:port` that other hosts connect to.
  std::string caller_address;    ///< `ip:port` that callers connect to.
  std::string zone;              ///< Availability zone of this host.
  std::string region;            ///< Region of the zone.
  std::uint32_t capacity = 100;  ///< Relative weight of this host.
  std::string shared_key;        ///< Signs messages between hosts.
  std::string platform_address;  ///< `ip:port` of the configuration service.
  std::uint32_t caller_threads = 64;     ///< Largest number of open calls.
  std::string log_level = "info";        ///< error, warn, info or debug.
  log_layout layout = log_layout::text;  ///< Set by key log_layout.
  host_settings host;  ///< Timing and seeds; the node adds the identity.
};

/**
 * Parses and validates settings.
 * @param name File name that messages show.
 * @throws settings_error with file, line and remedy in its message.
 */
node_settings ParseSettings(std::string_view text, const std::string& name);

/** Reads and parses a file. @throws settings_error as ParseSettings() does, and
 *  when the file cannot be read. */
node_settings LoadSettings(const std::string& path);

}  // namespace corianderrail
