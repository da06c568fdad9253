/** @file host_address.h Identifiers derived from addresses. */

#pragma once

#include <string_view>

#include "core/id_type.h"
#include "core/stable_hash.h"

namespace corianderrail {

/** Hash of an address, equal on all hosts. Never 0, which means "none". */
constexpr std::uint64_t HashAddress(std::string_view address) {
  const std::uint64_t hash = MixHash(HashBytes(address));
  return hash == 0 ? 1 : hash;
}

/** Identifier of the host with this peer address. */
constexpr host_id HostIdOf(std::string_view peer_address) {
  return host_id{HashAddress(peer_address)};
}

/** Identifier of the leaf with this address. */
constexpr leaf_id LeafIdOf(std::string_view address) {
  return leaf_id{HashAddress(address)};
}

}  // namespace corianderrail
