/** @file enum_bound.h Largest valid values of enumerations in peer messages. */

#pragma once

#include <cstdint>
#include <limits>
#include <type_traits>

#include "core/peer_message_type.h"

namespace corianderrail {

/**
 * Largest valid value of an enumeration. The primary template is not defined,
 * so that a new enumeration does not compile until its bound is given here.
 */
template <typename Enum>
struct enum_bound;

/** Bound of identifiers: every value of the underlying type is valid. */
template <typename Id>
struct whole_range {
  static constexpr std::uint64_t kMaxValue =
      std::numeric_limits<std::underlying_type_t<Id>>::max();
};

/** Bound of an enumeration whose last enumerator is `Last`. */
template <typename Enum, Enum Last>
struct last_value {
  static constexpr std::uint64_t kMaxValue = static_cast<std::uint64_t>(Last);
};

template <>
struct enum_bound<host_id> : whole_range<host_id> {};
template <>
struct enum_bound<incarnation_id> : whole_range<incarnation_id> {};
template <>
struct enum_bound<leaf_id> : whole_range<leaf_id> {};
template <>
struct enum_bound<leaf_boot> : whole_range<leaf_boot> {};
template <>
struct enum_bound<service_id> : whole_range<service_id> {};
template <>
struct enum_bound<collection_id> : whole_range<collection_id> {};
template <>
struct enum_bound<snapshot_id> : whole_range<snapshot_id> {};
template <>
struct enum_bound<partition_id> : whole_range<partition_id> {};
template <>
struct enum_bound<revision_id> : whole_range<revision_id> {};
template <>
struct enum_bound<query_id> : whole_range<query_id> {};
template <>
struct enum_bound<rank> : last_value<rank, rank::background> {};
template <>
struct enum_bound<part_status>
    : last_value<part_status, part_status::unknown_part> {};
template <>
struct enum_bound<run_state> : last_value<run_state, run_state::unknown> {};
template <>
struct enum_bound<refusal_reason>
    : last_value<refusal_reason, refusal_reason::outcome_unknown> {};
template <>
struct enum_bound<order_state> : last_value<order_state, order_state::unknown> {
};
template <>
struct enum_bound<member_state> : last_value<member_state, member_state::gone> {
};

}  // namespace corianderrail
