/** @file contract_type.h Contracts of customers and the set in force. */

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/rank_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Newest document format that this version can read. */
inline constexpr std::uint32_t kContractFormat = 1;

/** Parts per million. */
using ppm = std::uint32_t;
inline constexpr ppm kWholePpm = 1'000'000;

/** What the answer policy prefers when it cannot have both: an answer in time
 *  or an answer that covers more partitions. */
enum class answer_preference : std::uint8_t { latency, coverage };

/** What a kind of work does. */
enum class work_type : std::uint8_t { query, order };

/** One kind of work that a customer may send. */
struct work_contract {
  std::string kind;  ///< Name used by callers.
  work_type type{};
  std::string collection;     ///< Name of the collection that it addresses.
  rank urgency{};             ///< Rank in all queues.
  double rate_per_s = 0;      ///< Requests per second for the whole fleet.
  std::uint32_t burst = 0;    ///< Requests accepted at once above the rate.
  duration latency_target{};  ///< 99% of answers arrive within this time.
  duration deadline_max{};    ///< Longest deadline that a caller may request.
  ppm min_coverage = 0;       ///< Lowest coverage of an acceptable answer.

  bool operator==(const work_contract&) const = default;
};

/** The contract of one customer at one revision. */
struct customer_contract {
  std::string customer;    ///< Name used by callers.
  revision_id revision{};  ///< Set revision that introduced this contract.
  answer_preference preference{};
  per_rank<ppm> floor{};            ///< Share of capacity reserved per rank.
  std::vector<work_contract> work;  ///< Kinds of work, unique by kind.

  bool operator==(const customer_contract&) const = default;
};

/** One published document. */
struct contract_document {
  std::string key;    ///< Key in the configuration service.
  std::string bytes;  ///< TOML text.

  bool operator==(const contract_document&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(key, bytes);
  }
};

/** All validated contracts of one revision. Immutable once built. */
struct contract_set {
  revision_id revision{};    ///< Revision of the set document.
  std::uint64_t digest = 0;  ///< Hash over the bytes of all documents.
  std::vector<std::string>
      seats;  ///< Addresses of the entry hosts that share the limits.
  std::map<std::string, customer_contract> customers;  ///< By customer name.
  std::vector<contract_document>
      documents;  ///< Sources; the set document is first.
};

/** Why a published document was rejected. */
enum class contract_fault : std::uint8_t {
  none,
  syntax,
  too_large,
  newer_format,
  unknown_key,
  missing_key,
  wrong_type,
  out_of_range,
  contradiction,
  digest_mismatch,
  revision_mismatch,
  missing_document,
};

/** Result of validating the documents of one revision. */
struct contract_verdict {
  contract_fault fault = contract_fault::none;  ///< `none` when accepted.
  std::string reason;                           ///< Equal on every host.
  std::shared_ptr<const contract_set> set;      ///< Null when rejected.
  std::vector<std::string> missing_keys;        ///< Keys of missing documents.
};

/** Result of parsing `contracts/head`. */
struct head_verdict {
  contract_fault fault = contract_fault::none;  ///< `none` when accepted.
  std::string reason;                           ///< Equal on every host.
  revision_id revision{};                       ///< Revision it refers to.
};

/** Parses `contracts/head`. A pure function of the bytes. */
using head_parser = std::function<head_verdict(const std::string&)>;

/**
 * Validates the documents of a revision: the set document and each contract
 * that it lists. A pure function of the bytes, so that all hosts reach the same
 * verdict.
 */
using contract_validator =
    std::function<contract_verdict(std::span<const contract_document>)>;

}  // namespace corianderrail
