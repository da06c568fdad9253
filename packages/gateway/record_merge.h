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
 * The greatest records of all parts, greatest first, compared byte by byte.
 * Equal records all count; a remainder shorter than a record does not.
 */
std::string MergeGreatest(std::span<const std::string_view> parts,
                          std::size_t max_records);

}  // namespace corianderrail::gateway
