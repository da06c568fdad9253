/** @file configuration_fuzz.cpp Fuzzes configurations and leaf entries. */

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gateway/routing/route_table.h"
#include "platform/config_codec.h"

/** Guards against configurations that crash the process or that leave a route
 *  unreachable or without a target. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace corianderrail;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  platform::DecodeLeaf("servers/i-1", bytes);
  const auto config = platform::DecodeConfig(bytes);
  if (!config) return 0;
  const gateway::route_table table(config);
  for (const gateway::route& one : config->routes) {
    // Either this route or another one with the same host and prefix is found.
    if (table.Find(one.host, one.prefix) == nullptr) std::abort();
    if (one.targets.empty() && one.shards.empty()) std::abort();
  }
  return 0;
}
