/** @file settings_fuzz.cpp Fuzzes settings files. */

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "edge/edge_settings.h"

/** Guards against files that crash the process or are refused without a
 * message. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace corianderrail::edge;
  try {
    ParseEdgeSettings({reinterpret_cast<const char*>(data), size}, "f.toml");
  } catch (const edge_settings_error& error) {
    if (std::string_view(error.what()).empty()) std::abort();
  }
  return 0;
}
