/** @file record_merge.cpp Partial sort over the records of all parts. */

#include "gateway/admission/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace corianderrail::gateway {

std::string MergeGreatest(std::span<const std::string_view> parts,
                          std::size_t max_records) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(max_records, records.size());
  // std::string_view compares characters as unsigned bytes.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) merged += records[i];
  return merged;
}

}  // namespace corianderrail::gateway
