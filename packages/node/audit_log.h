/** @file audit_log.h Audit trail of accepted and refused changes. */

#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "core/audit_type.h"

namespace corianderrail {

/** The most recent changes, for GET /v1/audit. Safe for several threads. */
class audit_log {
 public:
  explicit audit_log(std::size_t max_entries = 1000)
      : max_entries_(max_entries) {}

  /** Stores the entry and writes it to the log as one JSON line; the oldest
   *  entry beyond `max_entries` is dropped. */
  void Append(const audit_entry& entry);

  /** All stored entries as a JSON object, oldest first. */
  std::string Json() const;

 private:
  /** An entry with the wall-clock time at which it was added. */
  struct stamped_entry {
    std::string utc;    ///< ISO 8601.
    audit_entry entry;  ///< As reported by the reducer.
  };

  std::size_t max_entries_;
  mutable std::mutex mutex_;
  std::deque<stamped_entry> entries_;
};

/** Name of a fault in the audit trail. */
std::string_view ContractFaultName(contract_fault fault);

}  // namespace corianderrail
