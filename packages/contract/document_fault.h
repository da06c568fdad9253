/** @file document_fault.h Faults found in a published document. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/contract_type.h"

namespace corianderrail {

/** Maximum number of faults per document; further ones are dropped. */
inline constexpr std::size_t kMaxFaults = 50;

/** One fault of a document. */
struct document_fault {
  contract_fault fault = contract_fault::none;
  std::uint32_t line = 0;  ///< Line number, starting at 1.
  std::string text;        ///< "source:line: problem; remedy".
};

/** Name of a kind of fault, as shown to operators. */
std::string_view FaultName(contract_fault fault);

/** Quotes text of a document for a message. Characters that are not printable
 *  ASCII are replaced by `?`, and long text is truncated. */
std::string Quoted(std::string_view text);

/** Collects the faults of one document. */
class fault_list {
 public:
  /** @param source Key or file name, prefixed to each line number. */
  explicit fault_list(std::string source) : source_(std::move(source)) {}

  /** Adds a fault unless kMaxFaults are already stored. */
  void Add(contract_fault fault, std::uint32_t line, std::string_view what);

  bool Empty() const { return faults_.empty(); }
  const std::string& Source() const { return source_; }

  /** All faults sorted by line; the first one decides the result. */
  std::vector<document_fault> Sorted() const;

 private:
  std::string source_;
  std::vector<document_fault> faults_;
};

}  // namespace corianderrail
