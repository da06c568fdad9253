/** @file audit_log.h Trail of accepted and refused changes. */

#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "core/audit_type.h"

namespace corianderrail {

/** The last changes, for GET /v1/audit. Safe for several threads. */
class audit_log {
 public:
  explicit audit_log(std::size_t max_entries = 1000)
      : max_entries_(max_entries) {}

  /** Keeps the entry and writes it to the log as one JSON line. */
  void Append(const audit_entry& entry);

  /** All kept entries as a JSON object, oldest first. */
  std::string Json() const;

 private:
  /** An entry with the wall-clock time at which it was kept. */
  struct stamped_entry {
    std::string utc;    ///< ISO 8601.
    audit_entry entry;  ///< The entry.
  };

  std::size_t max_entries_;
  mutable std::mutex mutex_;
  std::deque<stamped_entry> entries_;
};

std::string_view ContractFaultName(contract_fault fault);

}  // namespace corianderrail
