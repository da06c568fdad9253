/** @file contract_fetch.h Documents of a candidate set from the service. */

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

/** Collects the documents of the revision that the head names. */
class contract_fetch {
 public:
  /** Revision being collected; 0 when none. */
  revision_id Revision() const { return revision_; }

  /** Starts collecting a revision with its set document. */
  void Begin(revision_id revision, time_point now, effect_list& effects);

  /** Adds the keys to what is wanted, and asks for them. */
  void Request(std::span<const std::string> keys, time_point now,
               effect_list& effects);

  /** Takes an answer. @return True when all wanted documents are here. */
  bool OnValue(const config_value_event& value, time_point now);

  /** Ends collecting. */
  void Stop();

  /** Asks again for documents whose answer failed or did not come. */
  void OnTick(time_point now, effect_list& effects);
  time_point NextWake() const;

  /** True once a document was reported absent several times. */
  bool HasMissingDocument() const;

  /** Documents in the order in which they were asked for, set first. */
  const std::vector<contract_document>& Documents() const { return documents_; }

 private:
  /** A document that is not here yet. */
  struct pending_document {
    std::uint32_t failures = 0;  ///< Answers without a value.
    std::uint32_t absent = 0;    ///< Answers that said "no value".
    time_point next{};           ///< When to ask again.
  };

  void SendRead(const std::string& key, pending_document& pending,
                time_point now, effect_list& effects);

  revision_id revision_{};
  std::map<std::string, pending_document> pending_;
  std::vector<contract_document> documents_;
};

}  // namespace corianderrail
