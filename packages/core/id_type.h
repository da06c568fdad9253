/** @file id_type.h Strong identifier types. */

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace corianderrail {

/** Identifies a host by a hash of its peer address; survives restarts. */
enum class host_id : std::uint64_t {};

/** One life of a host process; later lives have larger values. */
enum class incarnation_id : std::uint64_t {};

/** Identifies a leaf by a hash of its address. */
enum class leaf_id : std::uint64_t {};

/** Index of a service in its topology. */
enum class service_id : std::uint32_t {};

/** Index of a collection in its topology. */
enum class collection_id : std::uint32_t {};

/** An immutable index version; larger is newer. */
enum class snapshot_id : std::uint64_t {};

/** Index of a partition in the partition map of one snapshot. */
enum class partition_id : std::uint32_t {};

/** Number of a published contract set; larger is newer, 0 means none. */
enum class revision_id : std::uint64_t {};

/** Identifies a query within one entry incarnation. */
enum class query_id : std::uint64_t {};

/** Identifies a caller's open request within the shell of one host. */
enum class call_id : std::uint64_t {};

/** Identifies one request to a leaf within one owner incarnation. */
enum class leaf_call_id : std::uint64_t {};

/** Underlying integer of a strong identifier. */
template <typename Id>
constexpr auto Raw(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

/** A host together with the life that is meant. */
struct host_ref {
  host_id host{};                ///< The host.
  incarnation_id incarnation{};  ///< The life of its process.

  auto operator<=>(const host_ref&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(host, incarnation);
  }
};

/** Names an order and the only incarnation that may run it. */
struct order_id {
  host_ref home;               ///< Host and incarnation that issued it.
  std::uint64_t sequence = 0;  ///< Rises by one per identifier issued.

  auto operator<=>(const order_id&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(home, sequence);
  }
};

/** Hash for order_id in unordered containers. */
struct order_id_hash {
  std::size_t operator()(const order_id& id) const noexcept {
    std::uint64_t hash = Raw(id.home.host) * 0x9E3779B97F4A7C15ULL;
    hash ^= Raw(id.home.incarnation) + (hash << 6) + (hash >> 2);
    hash ^= id.sequence * 0xC2B2AE3D27D4EB4FULL + (hash << 6) + (hash >> 2);
    return static_cast<std::size_t>(hash);
  }
};

}  // namespace corianderrail
