/** @file store_reply_fuzz.cpp Fuzzes replies of the metadata store. */

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "platform/store_codec.h"

/** Guards against replies that crash the process. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using corianderrail::gateway::store_read_kind;
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  for (const auto kind : {store_read_kind::list, store_read_kind::watch}) {
    corianderrail::platform::DecodeStoreReply(kind, 200, body);
  }
  return 0;
}
