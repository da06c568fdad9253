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

/** Newest document format that this version reads. */
inline constexpr std::uint32_t kContractFormat = 1;

/** Parts per million; 1'000'000 is the whole. */
using ppm = std::uint32_t;
inline constexpr ppm kWholePpm = 1'000'000;

/** Which trade the answer policy makes. */
enum class answer_preference : std::uint8_t { latency, coverage };

/** What a kind of work does. */
enum class work_type : std::uint8_t { query, order };

/** One kind of work that a customer may send. */
struct work_contract {
  std::string kind;         ///< Name used by callers.
  work_type type{};         ///< Query or order.
  std::string collection;   ///< Collection it runs over.
  rank urgency{};           ///< Rank in all queues.
  double rate_per_s = 0;    ///< Requests per second over the whole fleet.
  std::uint32_t burst = 0;  ///< Requests above the rate that may come at once.
  duration latency_target{};  ///< 99 of 100 answers within this time.
  duration deadline_max{};    ///< Longest deadline a caller may ask for.
  ppm min_coverage = 0;       ///< Least coverage of a complete enough answer.

  bool operator==(const work_contract&) const = default;
};

/** The contract of one customer at one revision. */
struct customer_contract {
  std::string customer;             ///< Name used by callers.
  revision_id revision{};           ///< Set revision that introduced it.
  answer_preference preference{};   ///< Trade of the answer policy.
  per_rank<ppm> floor{};            ///< Share of capacity kept by each rank.
  std::vector<work_contract> work;  ///< Kinds of work, unique by kind.

  bool operator==(const customer_contract&) const = default;
};

/** Bytes of one published document. */
struct contract_document {
  std::string key;    ///< Key in the configuration service.
  std::string bytes;  ///< TOML text.

  bool operator==(const contract_document&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(key, bytes);
  }
};

/** All contracts of one revision, validated. Immutable once built. */
struct contract_set {
  revision_id revision{};          ///< Number of the set.
  std::uint64_t digest = 0;        ///< Hash over all bytes.
  std::vector<std::string> seats;  ///< Entry host addresses.
  std::map<std::string, customer_contract> customers;  ///< By customer name.
  std::vector<contract_document> documents;            ///< Sources, set first.
};

/** Kinds of fault in a published document. */
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
  std::string reason;                           ///< Same text on every host.
  std::shared_ptr<const contract_set> set;      ///< Null when refused.
  std::vector<std::string> missing_keys;        ///< Keys of missing documents.
};

/** Result of parsing `contracts/head`. */
struct head_verdict {
  contract_fault fault = contract_fault::none;  ///< `none` when accepted.
  std::string reason;                           ///< Same text on every host.
  revision_id revision{};                       ///< Revision named by it.
};

/** Parses `contracts/head`; a pure function of the bytes. */
using head_parser = std::function<head_verdict(const std::string&)>;

/**
 * Validates the documents of a revision: the set document and each contract
 * that it lists. A pure function of the bytes, so that all hosts agree.
 */
using contract_validator =
    std::function<contract_verdict(std::span<const contract_document>)>;

}  // namespace corianderrail
