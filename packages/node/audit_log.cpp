/** @file audit_log.cpp Audit trail of accepted and refused changes. */

#include "node/audit_log.h"

#include <array>
#include <chrono>
#include <ctime>
#include <utility>

#include "node/logging.h"
#include "wire/json_value.h"

namespace corianderrail {

namespace {

/** Indexed by contract_fault. */
constexpr std::array<std::string_view, 12> kFaultNames = {
    "none",          "syntax",          "too_large",         "newer_format",
    "unknown_key",   "missing_key",     "wrong_type",        "out_of_range",
    "contradiction", "digest_mismatch", "revision_mismatch", "missing_document",
};
static_assert(kFaultNames.size() ==
              static_cast<std::size_t>(contract_fault::missing_document) + 1);

std::string NowUtc() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  const auto size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text.data(), size};
}

void WriteEntry(json_writer& out, const std::string& utc,
                const audit_entry& entry) {
  out.Text("utc", utc)
      .Text("subject", entry.subject)
      .Unsigned("revision", Raw(entry.revision))
      .Text("digest", std::to_string(entry.digest))
      .Bool("accepted", entry.accepted)
      .Text("fault", ContractFaultName(entry.fault))
      .Text("reason", entry.reason)
      .Text("source", entry.source);
}

}  // namespace

std::string_view ContractFaultName(contract_fault fault) {
  return kFaultNames[static_cast<std::size_t>(fault)];
}

void audit_log::Append(const audit_entry& entry) {
  const std::string utc = NowUtc();
  json_writer line;
  WriteEntry(line.Object("audit"), utc, entry);
  LogInfo(line.Finish());
  const std::lock_guard lock(mutex_);
  entries_.push_back({utc, entry});
  if (entries_.size() > max_entries_) entries_.pop_front();
}

std::string audit_log::Json() const {
  json_writer out;
  out.List("entries");
  const std::lock_guard lock(mutex_);
  for (const auto& stamped : entries_) {
    WriteEntry(out.Object(""), stamped.utc, stamped.entry);
    out.End();
  }
  return out.End().Finish();
}

}  // namespace corianderrail
