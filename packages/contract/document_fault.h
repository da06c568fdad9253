/** @file document_fault.h Faults found in a published document. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/contract_type.h"

namespace corianderrail {

/** Most faults that are kept for one document. */
inline constexpr std::size_t kMaxFaults = 50;

/** One fault of a document. */
struct document_fault {
  contract_fault fault = contract_fault::none;  ///< Kind.
  std::uint32_t line = 0;                       ///< First line is 1.
  std::string text;  ///< "source:line: what; remedy".
};

/** Name of a kind of fault, as shown to operators. */
std::string_view FaultName(contract_fault fault);

/** Quotes text of a document for a message: printable and bounded. */
std::string Quoted(std::string_view text);

/** Collects the faults of one document. */
class fault_list {
 public:
  /** @param source Key or file name put before each line number. */
  explicit fault_list(std::string source) : source_(std::move(source)) {}

  void Add(contract_fault fault, std::uint32_t line, std::string_view what);

  bool Empty() const { return faults_.empty(); }
  const std::string& Source() const { return source_; }

  /** All faults by line; the first is the verdict on the document. */
  std::vector<document_fault> Sorted() const;

 private:
  std::string source_;
  std::vector<document_fault> faults_;
};

}  // namespace corianderrail
