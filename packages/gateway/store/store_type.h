/** @file store_type.h Reads of the metadata store and their replies. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/time_type.h"

namespace corianderrail::gateway {

/** A written key, or the removal of a key. */
struct store_item {
  std::string key;             ///< Full key, including the prefix.
  std::uint64_t revision = 0;  ///< Revision of the change.
  bool removed = false;        ///< The key was removed; no value.
  std::string value;           ///< Uninterpreted bytes.
};

/** Answer to a listing or to a watch. */
struct store_reply {
  std::vector<store_item> items;  ///< In the order of the answer.
  std::uint64_t revision = 0;     ///< Revision of the whole store.
  bool more = false;              ///< The listing continues after the last key.
};

/** How current a reply was when it was sent. */
struct reply_freshness {
  duration age{};   ///< Since the store confirmed the items of the sender.
  duration held{};  ///< At least so long the sender held the read.
};

/** Why a read gave no reply. */
enum class store_failure : std::uint8_t {
  unreachable,  ///< No complete answer in time.
  refused,      ///< The store rejected the read.
  compacted,    ///< The requested history was compacted.
  unreadable,   ///< The answer could not be decoded.
  too_large,    ///< The answer exceeds the bound on its size.
};
inline constexpr std::size_t kStoreFailures = 5;

/** Failed reads by reason. */
using store_failure_counts = std::array<std::uint64_t, kStoreFailures>;

/** Name of a failure in logs and metrics. */
constexpr std::string_view StoreFailureName(store_failure failure) {
  constexpr std::string_view kNames[kStoreFailures] = {
      "unreachable", "refused", "compacted", "unreadable", "too_large"};
  return kNames[static_cast<std::size_t>(failure)];
}

/**
 * True when the answer to a watch can never be had: the store lacks the
 * history, or the missed changes are too many or not readable. Only a listing
 * shows the state then.
 */
constexpr bool NeedsListing(store_failure failure) {
  return failure == store_failure::compacted ||
         failure == store_failure::unreadable ||
         failure == store_failure::too_large;
}

/** Kinds of reads. */
enum class store_read_kind : std::uint8_t { list, watch };

/** Why the store is read. */
enum class store_read_cause : std::uint8_t {
  listing,   ///< This host knows no items, or missed changes.
  catch_up,  ///< Changes since a listing that may be stale.
  watch,     ///< Changes since the last read.
  probe,     ///< Whether the store answers again.
};
inline constexpr std::size_t kStoreReadCauses = 4;

/** Reads by cause. */
using store_read_counts = std::array<std::uint64_t, kStoreReadCauses>;

/** Parameters of one read. */
struct store_read {
  store_read_cause cause{};    ///< For the metrics.
  store_read_kind kind{};      ///< Listing or watch.
  std::string after_key;       ///< Listing: continue after this key.
  bool may_be_stale = false;   ///< Listing: may be some seconds old.
  std::uint64_t revision = 0;  ///< Watch: changes after this revision.
  duration wait{};             ///< Watch: longest wait for a change.
  duration timeout{};  ///< Maximum time for the answer, including `wait`.
};

}  // namespace corianderrail::gateway
