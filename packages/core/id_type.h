/** @file id_type.h Strong identifier types. */

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace corianderrail {

/** Identifies a host by a hash of its peer address; survives restarts. */
enum class host_id : std::uint64_t {};

/** One run of a host process; later runs have larger values. */
enum class incarnation_id : std::uint64_t {};

/** Identifies a leaf by a hash of its address. */
enum class leaf_id : std::uint64_t {};

/** Identifies one run of a leaf process by a hash. */
enum class leaf_boot : std::uint64_t {};

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

/** Identifies a caller's open request within one host process. */
enum class call_id : std::uint64_t {};

/** Identifies one request to a leaf within one owner incarnation. */
enum class leaf_call_id : std::uint64_t {};

/** Underlying integer of a strong identifier. */
template <typename Id>
constexpr auto Raw(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

/** A host together with one of its incarnations. */
struct host_ref {
  host_id host{};
  incarnation_id incarnation{};

  auto operator<=>(const host_ref&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(host, incarnation);
  }
};

/** Identifies an order and the incarnation that issued the identifier. Only
 *  that incarnation may start the order. */
struct order_id {
  host_ref home;               ///< Issuer of the identifier.
  std::uint64_t sequence = 0;  ///< Starts at 1; incremented per issued id.

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
