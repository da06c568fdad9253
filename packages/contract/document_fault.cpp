/** @file document_fault.cpp Faults found in a published document. */

#include "contract/document_fault.h"

#include <algorithm>

namespace corianderrail {

namespace {

constexpr std::size_t kMaxQuotedBytes = 64;

}  // namespace

std::string_view FaultName(contract_fault fault) {
  switch (fault) {
    case contract_fault::none:
      return "none";
    case contract_fault::syntax:
      return "syntax";
    case contract_fault::too_large:
      return "too_large";
    case contract_fault::newer_format:
      return "newer_format";
    case contract_fault::unknown_key:
      return "unknown_key";
    case contract_fault::missing_key:
      return "missing_key";
    case contract_fault::wrong_type:
      return "wrong_type";
    case contract_fault::out_of_range:
      return "out_of_range";
    case contract_fault::contradiction:
      return "contradiction";
    case contract_fault::digest_mismatch:
      return "digest_mismatch";
    case contract_fault::revision_mismatch:
      return "revision_mismatch";
    case contract_fault::missing_document:
      return "missing_document";
  }
  return "none";
}

std::string Quoted(std::string_view text) {
  std::string quoted = "'";
  for (char c : text.substr(0, kMaxQuotedBytes)) {
    quoted += (c >= ' ' && c <= '~') ? c : '?';
  }
  if (text.size() > kMaxQuotedBytes) quoted += "...";
  return quoted + "'";
}

void fault_list::Add(contract_fault fault, std::uint32_t line,
                     std::string_view what) {
  if (faults_.size() >= kMaxFaults) return;
  std::string text = source_ + ":" + std::to_string(line) + ": ";
  text += what;
  faults_.push_back({fault, line, std::move(text)});
}

std::vector<document_fault> fault_list::Sorted() const {
  std::vector<document_fault> sorted = faults_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const document_fault& a, const document_fault& b) {
                     return a.line < b.line;
                   });
  return sorted;
}

}  // namespace corianderrail
