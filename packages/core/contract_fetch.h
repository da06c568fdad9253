/** @file contract_fetch.h Reads a candidate contract set from the service. */

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/contract_type.h"
#include "core/effect_type.h"
#include "core/event_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Reads the documents of one contract revision, with retries. */
class contract_fetch {
 public:
  /** Revision being read; 0 when none. */
  revision_id Revision() const { return revision_; }

  /** Starts with the set document of a revision and drops any other fetch. */
  void Begin(revision_id revision, time_point now, effect_list& effects);

  /** Reads further documents. Keys that are already being read are ignored. */
  void Request(std::span<const std::string> keys, time_point now,
               effect_list& effects);

  /** Handles an answer. @return True when it completed all pending documents.
   */
  bool OnValue(const config_value_event& value, time_point now);

  /** Ends the fetch and drops its documents. */
  void Stop();

  /** Retries reads that failed or timed out. */
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;

  /** True when a pending document has just reached the number of absent answers
   *  at which it counts as missing. The next absent answer for that document
   *  makes this false again. */
  bool HasMissingDocument() const;

  /** Documents in the order of their arrival; the set document is first. */
  const std::vector<contract_document>& Documents() const { return documents_; }

 private:
  /** A document that has not arrived yet. */
  struct pending_document {
    std::uint32_t failures = 0;  ///< Answers without a value.
    std::uint32_t absent = 0;  ///< Of these, answers that the key has no value.
    time_point next{};         ///< When to retry.
  };

  void SendRead(const std::string& key, pending_document& pending,
                time_point now, effect_list& effects);

  revision_id revision_{};
  std::map<std::string, pending_document> pending_;
  std::vector<contract_document> documents_;
};

}  // namespace corianderrail
