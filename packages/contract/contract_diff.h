/** @file contract_diff.h Differences between two contract sets. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/contract_type.h"

namespace corianderrail {

/** Field that a change affects. */
enum class contract_field : std::uint8_t {
  seat,
  customer,
  preference,
  floor_urgent,
  floor_normal,
  floor_background,
  work,
  type,
  collection,
  rank,
  rate_per_s,
  burst,
  latency_target,
  deadline_max,
  min_coverage,
};

/** Type of a change. */
enum class change_kind : std::uint8_t { added, removed, changed };

/** One difference between two contract sets. */
struct contract_change {
  change_kind change{};
  contract_field field{};
  std::string customer;  ///< Empty for seats.
  std::string kind;      ///< Kind of work; empty outside [[work]].
  std::string before;    ///< Old value without unit; empty when added.
  std::string after;     ///< New value without unit; empty when removed.

  bool operator==(const contract_change&) const = default;
};

/** Name of a field, as written in the documents. */
std::string_view FieldName(contract_field field);

/** Name of a type of change, as shown to operators. */
std::string_view ChangeName(change_kind change);

/**
 * Compares two sets field by field. Revisions and digests are not compared.
 * @return Changes of seats first, then of customers. Each group is sorted by
 *     name, with additions last.
 */
std::vector<contract_change> DiffContracts(const contract_set& before,
                                           const contract_set& after);

}  // namespace corianderrail
