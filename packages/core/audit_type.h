/** @file audit_type.h Entry of the audit trail. */

#pragma once

#include <cstdint>
#include <string>

#include "core/contract_type.h"
#include "core/id_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** An accepted or rejected change of contracts or topology. */
struct audit_entry {
  time_point when{};         ///< On the process clock; the I/O layer adds UTC.
  std::string subject;       ///< "contracts" or "topology".
  revision_id revision{};    ///< Contract revision or topology version.
  std::uint64_t digest = 0;  ///< Hash of the document bytes.
  bool accepted = false;
  contract_fault fault{};  ///< `none` when accepted.
  std::string reason;      ///< Equal on every host; empty when accepted.
  std::string source;      ///< "service" or the address of a peer.
};

}  // namespace corianderrail
