/** @file toml_reader.h Strict reading of TOML tables. */

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

/** Largest document; the configuration service serves at most 1 MB. */
inline constexpr std::size_t kMaxDocumentBytes = 1'048'576;

/**
 * Longest line. Dotted keys nest one table for each dot, and toml++ destroys
 * nested tables recursively, so an unbounded line could exhaust the stack.
 */
inline constexpr std::size_t kMaxLineBytes = 512;

/** Longest name of a customer, kind, collection, service or zone. */
inline constexpr std::size_t kMaxNameBytes = 64;

/** Largest integer of a document; TOML integers are signed. */
inline constexpr std::uint64_t kMaxInteger = 9'223'372'036'854'775'807ULL;

/** Parses the bytes; adds a fault and returns nothing when they are not TOML.
 */
std::optional<toml::table> ParseToml(std::string_view bytes,
                                     fault_list& faults);

/** Shortest text that reads back as the same number. */
std::string FormatNumber(double value);

/** Line of a node; 1 for nodes that were not parsed. */
std::uint32_t LineOf(const toml::node& node);

/** True for "ip:port" in the one canonical spelling. */
bool IsAddress(std::string_view text);

/** True for 1 to 64 lower-case letters, digits and inner hyphens. */
bool IsName(std::string_view text);

/** Whether a key may be left out. */
enum class presence : std::uint8_t { required, optional };

/**
 * Reads the keys of one table. Each getter adds a fault and returns a default
 * when the key is missing or wrong. Finish() reports keys that no getter read.
 */
class toml_reader {
 public:
  toml_reader(const toml::table& table, fault_list& faults)
      : table_(&table), line_(LineOf(table)), faults_(&faults) {}

  /** @return False when the format is newer than `newest`. */
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

  /** Position of the text among `choices`; 0 with a fault when it is none. */
  std::size_t Choice(std::string_view key,
                     std::span<const std::string_view> choices);

  /** A nested table, or null. */
  const toml::table* Table(std::string_view key,
                           presence expected = presence::required);

  /** An array of at most `max_entries` tables. */
  std::vector<const toml::table*> Tables(
      std::string_view key, std::size_t max_entries,
      presence expected = presence::required);

  /** An array of at most `max_entries` strings, with their lines. */
  std::vector<const toml::node*> Strings(
      std::string_view key, std::size_t max_entries,
      presence expected = presence::required);

  bool Has(std::string_view key) const { return table_->contains(key); }

  /** Line of a key, or of the table when the key is missing. */
  std::uint32_t Line(std::string_view key) const;

  void AddFault(contract_fault fault, std::string_view key,
                std::string_view what) {
    faults_->Add(fault, Line(key), what);
  }

  /** Adds a fault for each key that was never read. */
  void Finish();

 private:
  const toml::node* Find(std::string_view key, presence expected);
  void AddTypeFault(const toml::node& node, std::string_view key,
                    std::string_view wanted);

  const toml::table* table_;
  std::uint32_t line_;
  fault_list* faults_;
  std::vector<std::string> read_keys_;
};

}  // namespace corianderrail
