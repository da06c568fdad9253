/** @file toml_reader.h Strict reader for TOML tables. */

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "contract/document_fault.h"
#include "contract/toml.h"

namespace corianderrail {

/** Maximum document size; the configuration service serves at most 1 MB. */
inline constexpr std::size_t kMaxDocumentBytes = 1'048'576;

/**
 * Maximum line length. A dotted key nests one table per dot, and toml++
 * destroys nested tables recursively, so a line of unbounded length could
 * overflow the stack.
 */
inline constexpr std::size_t kMaxLineBytes = 512;

/** Maximum length of customer, kind, collection, service and zone names. */
inline constexpr std::size_t kMaxNameBytes = 64;

/** Largest integer in a document; TOML integers have 64 bits and a sign. */
inline constexpr std::uint64_t kMaxInteger = 9'223'372'036'854'775'807ULL;

/**
 * Parses a TOML document.
 * @return std::nullopt, with a fault added, when the bytes are not valid TOML
 *     or exceed a limit.
 */
std::optional<toml::table> ParseToml(std::string_view bytes,
                                     fault_list& faults);

/** Shortest decimal text that parses to the same number. */
std::string FormatNumber(double value);

/** Line of a node; 1 for nodes without a position in a document. */
std::uint32_t LineOf(const toml::node& node);

/** True for "ip:port" in canonical form, such as 10.0.0.1:7000. */
bool IsAddress(std::string_view text);

/** True for 1 to 64 lower-case letters, digits and inner hyphens. */
bool IsName(std::string_view text);

/** Whether a key must be present. */
enum class presence : std::uint8_t { required, optional };

/**
 * Reads the keys of one table. Each getter adds a fault and returns a default
 * when the key is missing or its value is invalid. Finish() reports keys that
 * no getter has read, such as misspelled ones.
 */
class toml_reader {
 public:
  toml_reader(const toml::table& table, fault_list& faults)
      : table_(&table), line_(LineOf(table)), faults_(&faults) {}

  /**
   * Checks the key `format`.
   * @param newest Newest format that this version can read.
   * @return False when the document has a newer format.
   */
  bool ReadFormat(std::uint32_t newest = kContractFormat);

  std::uint64_t Integer(std::string_view key, std::uint64_t min_value,
                        std::uint64_t max_value,
                        presence expected = presence::required,
                        std::uint64_t fallback = 0);
  double Number(std::string_view key, double min_value, double max_value,
                presence expected = presence::required, double fallback = 0);
  bool Bool(std::string_view key);
  std::string Name(std::string_view key,
                   presence expected = presence::required);
  std::string Address(std::string_view key);
  std::string Text(std::string_view key,
                   presence expected = presence::required);

  /** Index of the value in `choices`; 0 with a fault for other values. */
  std::size_t Choice(std::string_view key,
                     std::span<const std::string_view> choices);

  /** A nested table; null when it is missing or has another type. */
  const toml::table* Table(std::string_view key,
                           presence expected = presence::required);

  /** Tables of an array of at most `max_entries`. */
  std::vector<const toml::table*> Tables(
      std::string_view key, std::size_t max_entries,
      presence expected = presence::required);

  /** Strings of an array of at most `max_entries`, as nodes with lines. */
  std::vector<const toml::node*> Strings(
      std::string_view key, std::size_t max_entries,
      presence expected = presence::required);

  bool Has(std::string_view key) const { return table_->contains(key); }

  /** Line of a key, or of the table when the key is missing. */
  std::uint32_t Line(std::string_view key) const;

  /** Adds a fault at the line of `key`. */
  void AddFault(contract_fault fault, std::string_view key,
                std::string_view what) {
    faults_->Add(fault, Line(key), what);
  }

  /** Adds a fault for each key that no getter has read. */
  void Finish();

 private:
  const toml::node* Find(std::string_view key, presence expected);
  void AddTypeFault(const toml::node& node, std::string_view key,
                    std::string_view wanted);

  const toml::table* table_;
  std::uint32_t line_;
  fault_list* faults_;
  std::vector<std::string> read_keys_;  ///< Keys that a getter asked for.
};

}  // namespace corianderrail
