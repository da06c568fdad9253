/** @file contract_parser.h Parses contract documents. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "contract/document_fault.h"
#include "core/contract_type.h"

namespace corianderrail {

inline constexpr std::string_view kHeadKey = "contracts/head";
inline constexpr std::string_view kSetPrefix = "contracts/set/";
inline constexpr std::string_view kContractPrefix = "contracts/";

inline constexpr std::size_t kMaxCustomers = 10'000;
inline constexpr std::size_t kMaxSeats = 4'096;
inline constexpr std::size_t kMaxKinds = 64;
inline constexpr double kMinRatePerS = 0.001;
inline constexpr double kMaxRatePerS = 10'000'000;
inline constexpr std::uint64_t kMaxBurst = 1'000'000;
inline constexpr double kMinLatencyMs = 1;
inline constexpr double kMaxDeadlineMs = 600'000;

/** The document `contracts/head`. */
struct head_document {
  revision_id revision{};  ///< Revision of the newest published set.
};

/** One customer in a set document. */
struct customer_entry {
  std::string name;
  revision_id revision{};         ///< Revision of its contract document.
  std::uint64_t digest = 0;       ///< XXH3-64 of that document.
  std::uint32_t line = 0;         ///< Line of the entry in the set document.
  std::uint32_t digest_line = 0;  ///< Line of the digest in the set document.
};

/** The document `contracts/set/<N>`. */
struct set_document {
  revision_id revision{};                 ///< N in the key.
  std::vector<std::string> seats;         ///< Peer addresses of entry hosts.
  std::vector<customer_entry> customers;  ///< Sorted by name.
};

/** Type of document that a key of the configuration service refers to. */
enum class document_kind : std::uint8_t { head, set, contract, other };

/** Components of a document key. */
struct document_key {
  document_kind kind = document_kind::other;
  std::string customer;    ///< Empty unless kind is contract.
  revision_id revision{};  ///< Zero unless kind is set or contract.
};

/** Parses a key such as `contracts/set/7`; kind is `other` for the rest. */
document_key ParseDocumentKey(std::string_view key);

/** Key of a customer's contract. */
std::string ContractKey(std::string_view customer, revision_id revision);

/** Key of a set document. */
std::string SetKey(revision_id revision);

/**
 * Parses a head document.
 * @return std::nullopt when `faults` is not empty.
 */
std::optional<head_document> ParseHead(std::string_view bytes,
                                       fault_list& faults);

/**
 * Parses a set document.
 * @param revision Revision in the document's key.
 * @return std::nullopt when `faults` is not empty.
 */
std::optional<set_document> ParseSet(std::string_view bytes,
                                     revision_id revision, fault_list& faults);

/**
 * Parses the contract of one customer.
 * @param key Key of the document; names the customer and the revision.
 * @return std::nullopt when `faults` is not empty.
 */
std::optional<customer_contract> ParseContract(std::string_view bytes,
                                               const document_key& key,
                                               fault_list& faults);

}  // namespace corianderrail
