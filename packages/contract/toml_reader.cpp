/** @file toml_reader.cpp Strict reader for TOML tables. */

#include "contract/toml_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace corianderrail {

namespace {

/** Larger numbers, and those below the reciprocal, may get an exponent. */
constexpr double kMaxFixedNotation = 1e15;

constexpr std::uint64_t kMaxPort = 65'535;

/** Maximum edit distance between an unknown key and a suggested one. */
constexpr std::size_t kMaxSuggestionDistance = 2;

/** Levenshtein distance. */
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row[b.size()];
}

std::string_view TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "a whole number";
    case toml::node_type::floating_point:
      return "a decimal number";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

std::string RangeText(std::string_view key, const std::string& value,
                      const std::string& min_value,
                      const std::string& max_value) {
  return Quoted(key) + " is " + value + "; choose a value from " + min_value +
         " to " + max_value;
}

bool CheckLineLengths(std::string_view bytes, fault_list& faults) {
  std::uint32_t line = 1;
  std::size_t begin = 0;
  while (begin < bytes.size()) {
    std::size_t end = std::min(bytes.find('\n', begin), bytes.size());
    if (end - begin > kMaxLineBytes) {
      faults.Add(contract_fault::too_large, line,
                 "the line is longer than " + std::to_string(kMaxLineBytes) +
                     " bytes; split arrays over several lines");
      return false;
    }
    begin = end + 1;
    ++line;
  }
  return true;
}

bool IsPort(std::string_view text) {
  if (text.empty() || text.front() == '0') return false;
  std::uint64_t port = 0;
  auto end = std::from_chars(text.data(), text.data() + text.size(), port);
  return end.ec == std::errc() && end.ptr == text.data() + text.size() &&
         port <= kMaxPort;
}

bool IsCanonicalIp(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> raw{};
  if (inet_pton(family, text.c_str(), raw.data()) != 1) return false;
  std::array<char, INET6_ADDRSTRLEN> canonical{};
  inet_ntop(family, raw.data(), canonical.data(), canonical.size());
  return text == canonical.data();
}

/** True when a line has non-ASCII bytes outside of strings and comments.
 *  A quote starts a string only where a key or a value may begin. */
bool HasUnquotedNonAscii(std::string_view line) {
  constexpr std::string_view kBeforeString = "=[{,.";
  char quote = 0;
  char previous = '=';  // Last character that is not white space.
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (quote == 0 && c == '#') return false;
    if (quote == 0 && static_cast<unsigned char>(c) >= 0x80) return true;
    const bool opens_string =
        quote == 0 && (c == '"' || c == '\'') &&
        kBeforeString.find(previous) != std::string_view::npos;
    if (quote == '"' && c == '\\') {
      ++i;
    } else if (opens_string) {
      quote = c;
    } else if (c == quote) {
      quote = 0;
    }
    if (c != ' ' && c != '\t') previous = c;
  }
  return false;
}

/** Rejects non-ASCII bytes outside of strings and comments. They are invalid in
 *  TOML, and toml++ 3.3 has undefined behavior for some of them where white
 *  space is allowed. */
bool CheckNonAsciiQuoted(std::string_view bytes, fault_list& faults) {
  std::uint32_t line = 1;
  while (!bytes.empty()) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    if (HasUnquotedNonAscii(bytes.substr(0, end))) {
      faults.Add(contract_fault::syntax, line,
                 "the text is not TOML: a character that is not ASCII stands "
                 "outside of quotes; put the value in quotes on one line");
      return false;
    }
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
    ++line;
  }
  return true;
}

}  // namespace

std::string FormatNumber(double value) {
  std::array<char, 32> buffer{};
  char* first = buffer.data();
  char* last = first + buffer.size();
  std::to_chars_result end =
      std::abs(value) < kMaxFixedNotation &&
              std::abs(value) > 1 / kMaxFixedNotation
          ? std::to_chars(first, last, value, std::chars_format::fixed)
          : std::to_chars(first, last, value);
  if (end.ec != std::errc()) end = std::to_chars(first, last, value);
  return {first, end.ptr};
}

std::optional<toml::table> ParseToml(std::string_view bytes,
                                     fault_list& faults) {
  if (bytes.size() > kMaxDocumentBytes) {
    faults.Add(contract_fault::too_large, 1,
               "the document has " + std::to_string(bytes.size()) +
                   " bytes; the limit is " + std::to_string(kMaxDocumentBytes));
    return std::nullopt;
  }
  if (!CheckLineLengths(bytes, faults)) return std::nullopt;
  if (!CheckNonAsciiQuoted(bytes, faults)) return std::nullopt;
  try {
    return toml::parse(bytes);
  } catch (const toml::parse_error& error) {
    std::uint32_t line = std::max<std::uint32_t>(1, error.source().begin.line);
    if (error.description().find("nested value depth") !=
        std::string_view::npos) {
      faults.Add(contract_fault::too_large, line,
                 "values are nested more than " +
                     std::to_string(TOML_MAX_NESTED_VALUES) +
                     " levels deep; remove levels");
      return std::nullopt;
    }
    std::string what = "the text is not TOML: ";
    for (char c : error.description()) what += (c >= ' ' && c <= '~') ? c : '?';
    faults.Add(contract_fault::syntax, line, what + "; correct this line");
    return std::nullopt;
  } catch (const toml_assertion&) {
    faults.Add(contract_fault::syntax, 1,
               "the text is not TOML: a table header has no name; look for a "
               "'[' without a name after it");
    return std::nullopt;
  }
}

std::uint32_t LineOf(const toml::node& node) {
  return std::max<std::uint32_t>(1, node.source().begin.line);
}

bool IsAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  if (!IsPort(text.substr(colon + 1))) return false;
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    return IsCanonicalIp(AF_INET6, ip.substr(1, ip.size() - 2));
  }
  return IsCanonicalIp(AF_INET, ip);
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  if (text.front() == '-' || text.back() == '-') return false;
  return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
         std::string_view::npos;
}

const toml::node* toml_reader::Find(std::string_view key, presence expected) {
  read_keys_.emplace_back(key);
  const toml::node* node = table_->get(key);
  if (node == nullptr && expected == presence::required) {
    faults_->Add(contract_fault::missing_key, line_,
                 Quoted(key) + " is missing; add it");
  }
  return node;
}

void toml_reader::AddTypeFault(const toml::node& node, std::string_view key,
                               std::string_view wanted) {
  std::string what = Quoted(key) + " is ";
  what += TypeName(node);
  what += "; write ";
  what += wanted;
  faults_->Add(contract_fault::wrong_type, LineOf(node), what);
}

bool toml_reader::ReadFormat(std::uint32_t newest) {
  const toml::node* node = table_->get("format");
  const auto* value = node == nullptr ? nullptr : node->as_integer();
  if (value != nullptr && value->get() > std::int64_t{newest}) {
    read_keys_.emplace_back("format");
    faults_->Add(contract_fault::newer_format, LineOf(*node),
                 "'format' is " + std::to_string(value->get()) +
                     "; this version reads up to " + std::to_string(newest) +
                     ", install a newer version");
    return false;
  }
  Integer("format", 1, newest);
  return true;
}

std::uint64_t toml_reader::Integer(std::string_view key,
                                   std::uint64_t min_value,
                                   std::uint64_t max_value, presence expected,
                                   std::uint64_t fallback) {
  const toml::node* node = Find(key, expected);
  if (node == nullptr) return fallback;
  const auto* value = node->as_integer();
  if (value == nullptr) {
    AddTypeFault(*node, key, "a whole number");
    return fallback;
  }
  std::int64_t number = value->get();
  auto raw = static_cast<std::uint64_t>(number);
  if (number < 0 || raw < min_value || raw > max_value) {
    faults_->Add(
        contract_fault::out_of_range, LineOf(*node),
        RangeText(key, std::to_string(number), std::to_string(min_value),
                  std::to_string(max_value)));
    return fallback;
  }
  return raw;
}

double toml_reader::Number(std::string_view key, double min_value,
                           double max_value, presence expected,
                           double fallback) {
  const toml::node* node = Find(key, expected);
  if (node == nullptr) return fallback;
  double number = 0;
  if (const auto* decimal = node->as_floating_point()) {
    number = decimal->get();
  } else if (const auto* whole = node->as_integer()) {
    number = static_cast<double>(whole->get());
  } else {
    AddTypeFault(*node, key, "a number");
    return fallback;
  }
  if (!(number >= min_value && number <= max_value)) {  // Also rejects NaN.
    faults_->Add(contract_fault::out_of_range, LineOf(*node),
                 RangeText(key, FormatNumber(number), FormatNumber(min_value),
                           FormatNumber(max_value)));
    return fallback;
  }
  return number;
}

bool toml_reader::Bool(std::string_view key) {
  const toml::node* node = Find(key, presence::optional);
  if (node == nullptr) return false;
  const auto* value = node->as_boolean();
  if (value == nullptr) AddTypeFault(*node, key, "true or false");
  return value != nullptr && value->get();
}

std::string toml_reader::Text(std::string_view key, presence expected) {
  const toml::node* node = Find(key, expected);
  if (node == nullptr) return {};
  const auto* value = node->as_string();
  if (value == nullptr) {
    AddTypeFault(*node, key, "a string");
    return {};
  }
  return value->get();
}

std::string toml_reader::Name(std::string_view key, presence expected) {
  if (const toml::node* node = table_->get(key);
      node != nullptr && node->is_string() &&
      !IsName(*node->value<std::string>())) {
    read_keys_.emplace_back(key);
    faults_->Add(contract_fault::out_of_range, LineOf(*node),
                 Quoted(key) + " is " + Quoted(*node->value<std::string>()) +
                     "; use 1 to 64 lower-case letters, digits and inner "
                     "hyphens");
    return {};
  }
  return Text(key, expected);
}

std::string toml_reader::Address(std::string_view key) {
  std::string text = Text(key);
  if (!table_->contains(key) || !table_->get(key)->is_string()) return {};
  if (IsAddress(text)) return text;
  AddFault(contract_fault::out_of_range, key,
           Quoted(key) + " is " + Quoted(text) +
               "; write an IP number and port such as 10.0.0.1:7000");
  return {};
}

std::size_t toml_reader::Choice(std::string_view key,
                                std::span<const std::string_view> choices) {
  std::string text = Text(key);
  if (!table_->contains(key) || !table_->get(key)->is_string()) return 0;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (choices[i] == text) return i;
  }
  std::string what = Quoted(key) + " is " + Quoted(text) + "; choose";
  for (std::size_t i = 0; i < choices.size(); ++i) {
    what += i == 0 ? " " : " or ";
    what += choices[i];
  }
  AddFault(contract_fault::out_of_range, key, what);
  return 0;
}

const toml::table* toml_reader::Table(std::string_view key, presence expected) {
  const toml::node* node = Find(key, expected);
  if (node == nullptr) return nullptr;
  const toml::table* table = node->as_table();
  if (table == nullptr) AddTypeFault(*node, key, "a table");
  return table;
}

std::vector<const toml::table*> toml_reader::Tables(std::string_view key,
                                                    std::size_t max_entries,
                                                    presence expected) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key, expected);
  if (node == nullptr) return tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddTypeFault(*node, key, "an array of tables");
    return tables;
  }
  if (array->size() > max_entries) {
    faults_->Add(contract_fault::too_large, LineOf(*node),
                 Quoted(key) + " has " + std::to_string(array->size()) +
                     " entries; the limit is " + std::to_string(max_entries));
    return tables;
  }
  for (const toml::node& entry : *array) {
    if (const toml::table* table = entry.as_table()) {
      tables.push_back(table);
    } else {
      AddTypeFault(entry, key, "an array of tables");
    }
  }
  return tables;
}

std::vector<const toml::node*> toml_reader::Strings(std::string_view key,
                                                    std::size_t max_entries,
                                                    presence expected) {
  std::vector<const toml::node*> strings;
  const toml::node* node = Find(key, expected);
  if (node == nullptr) return strings;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddTypeFault(*node, key, "an array of strings");
    return strings;
  }
  if (array->size() > max_entries) {
    faults_->Add(contract_fault::too_large, LineOf(*node),
                 Quoted(key) + " has " + std::to_string(array->size()) +
                     " entries; the limit is " + std::to_string(max_entries));
    return strings;
  }
  for (const toml::node& entry : *array) {
    if (entry.is_string()) {
      strings.push_back(&entry);
    } else {
      AddTypeFault(entry, key, "an array of strings");
    }
  }
  return strings;
}

std::uint32_t toml_reader::Line(std::string_view key) const {
  const toml::node* node = table_->get(key);
  return node == nullptr ? line_ : LineOf(*node);
}

void toml_reader::Finish() {
  for (const auto& [key, node] : *table_) {
    if (std::find(read_keys_.begin(), read_keys_.end(), key.str()) !=
        read_keys_.end()) {
      continue;
    }
    std::string nearest;
    std::size_t best = kMaxSuggestionDistance + 1;
    for (const std::string& candidate : read_keys_) {
      if (key.str().size() > candidate.size() + kMaxSuggestionDistance)
        continue;
      std::size_t distance = EditDistance(key.str(), candidate);
      if (distance >= best) continue;
      best = distance;
      nearest = candidate;
    }
    std::string what = "unknown key " + Quoted(key.str()) + "; ";
    what += nearest.empty() ? std::string("remove it")
                            : "did you mean " + Quoted(nearest) + "?";
    std::uint32_t line = std::max<std::uint32_t>(1, key.source().begin.line);
    faults_->Add(contract_fault::unknown_key, line, what);
  }
}

}  // namespace corianderrail
