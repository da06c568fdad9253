/** @file record_merge.h Merges the parts of a gathered answer. */

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace corianderrail::gateway {

/** Size of a record in bytes. */
inline constexpr std::size_t kRecordBytes = 16;

/**
 * Returns the greatest records of all parts in descending order, compared
 * bytewise. Duplicates are kept; a remainder shorter than a record is ignored.
 */
std::string MergeGreatest(std::span<const std::string_view> parts,
                          std::size_t max_records);

}  // namespace corianderrail::gateway
