/** @file store_type.h Reads from the platform's metadata store. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** A key as it was written, or its removal. */
struct store_item {
  std::string key;             ///< Key.
  std::uint64_t revision = 0;  ///< Revision of the change.
  bool removed = false;        ///< The key was removed; no value.
  std::string value;           ///< Bytes.
};

/** Answer to a listing or to a watch. */
struct store_reply {
  std::vector<store_item> items;  ///< In the order of the answer.
  std::uint64_t revision = 0;     ///< Revision of the whole store.
  bool more = false;              ///< A listing continues after the last key.
};

/** Why a read gave no reply. */
enum class store_failure : std::uint8_t {
  unreachable,  ///< No whole answer in time.
  refused,      ///< The store refused the call.
  compacted,    ///< The history asked for is gone.
  unreadable,   ///< The answer could not be decoded.
};

/** Kinds of reads. */
enum class store_read_kind : std::uint8_t { list, watch };

/** One read that should be made. */
struct store_read {
  store_read_kind kind{};      ///< Listing or watch.
  std::string prefix;          ///< Keys that start with it.
  std::string after_key;       ///< Listing: continue after this key.
  std::uint64_t revision = 0;  ///< Watch: changes after this revision.
  duration wait{};             ///< Watch: longest wait for a change.
  duration timeout{};          ///< Longest time for the answer, wait included.
};

}  // namespace corianderrail::gateway
