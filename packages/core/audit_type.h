/** @file audit_type.h Lines of the audit trail. */

#pragma once

#include <cstdint>
#include <string>

#include "core/contract_type.h"
#include "core/id_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** An accepted or refused change. */
struct audit_entry {
  time_point when{};         ///< On the clock of the host; the shell adds UTC.
  std::string subject;       ///< "contracts" or "topology".
  revision_id revision{};    ///< Revision concerned.
  std::uint64_t digest = 0;  ///< Digest of the bytes.
  bool accepted = false;     ///< Verdict.
  contract_fault fault{};    ///< Kind of fault when refused.
  std::string reason;        ///< Same text on every host.
  std::string source;        ///< "service" or the peer address.
};

}  // namespace corianderrail
