/** @file fake_platform.h Simulates the platform's services. */

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/effect_type.h"
#include "core/event_type.h"
#include "driver/fleet_type.h"

namespace corianderrail::driver {

class virtual_fleet;

/** Configuration service with watches, and host list. */
class fake_platform {
 public:
  explicit fake_platform(virtual_fleet& fleet) : fleet_(fleet) {}

  /** Stores a new version of a value and answers the watches on its key. */
  void Publish(const std::string& key, const std::string& bytes);

  void Read(std::size_t host, const read_config_effect& effect);
  void ReadHostList(std::size_t host);

  bool reachable = true;  ///< False: every read fails.

 private:
  struct value {
    std::uint64_t version = 0;
    std::string bytes;
  };
  struct watch {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t id = 0;
  };

  void Answer(std::size_t host, std::uint64_t incarnation,
              const std::string& key);

  virtual_fleet& fleet_;
  std::uint64_t last_watch_ = 0;
  std::map<std::string, value> values_;
  std::map<std::string, std::vector<watch>> watches_;
};

}  // namespace corianderrail::driver
