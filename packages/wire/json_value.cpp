/** @file json_value.cpp Strict JSON reader and writer, based on cxxtools. */

#include "wire/json_value.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/base64codec.h>
#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/utf8codec.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace corianderrail {

namespace {

/** Maximum nesting depth; the formats of this system use three levels. */
constexpr int kMaxNestingDepth = 16;

using kind = wire_error::kind;
using cxxtools::SerializationInfo;

std::string QuotedMember(std::string_view name) {
  return "member '" + std::string(name) + "'";
}

std::string JoinNames(std::initializer_list<std::string_view> names) {
  std::string all;
  for (const auto name : names) {
    if (!all.empty()) all += ", ";
    all += name;
  }
  return all;
}

void CheckMembers(const SerializationInfo& value,
                  std::initializer_list<std::string_view> members) {
  if (value.category() != SerializationInfo::Object) {
    throw wire_error(kind::wrong_type, "expected a JSON object");
  }
  std::vector<std::string_view> seen;
  for (const auto& member : value) {
    const std::string& name = member.name();
    if (std::find(members.begin(), members.end(), name) == members.end()) {
      throw wire_error(kind::unknown_member, "unknown " + QuotedMember(name) +
                                                 "; known members are " +
                                                 JoinNames(members));
    }
    if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
      throw wire_error(kind::bad_syntax, QuotedMember(name) + " occurs twice");
    }
    seen.push_back(name);
  }
}

bool IsUtf8(std::string_view bytes) {
  try {
    const std::string text(bytes);
    const auto decoded = cxxtools::Utf8Codec::decode(text);
    return cxxtools::Utf8Codec::encode(decoded) == text;
  } catch (const std::exception&) {
    return false;
  }
}

/** Encodes base64 without the line breaks that cxxtools inserts. */
std::string EncodeBase64(std::string_view bytes) {
  std::string text = cxxtools::Base64Codec::encode(std::string(bytes));
  std::erase_if(text, [](char c) { return c == '\n' || c == '\r'; });
  return text;
}

/** Decodes UTF-8. If the text is not valid UTF-8, all bytes above 0x7E are
 *  replaced by `?`, because JSON cannot represent them. */
cxxtools::String DecodeUtf8Lossy(std::string_view bytes) {
  std::string text(bytes);
  if (!IsUtf8(text)) {
    for (char& c : text) {
      if (static_cast<unsigned char>(c) > 0x7E) c = '?';
    }
  }
  return cxxtools::Utf8Codec::decode(text);
}

}  // namespace

// The cxxtools parser and the destructor of its result recurse once per level,
// so unbounded nesting would overflow the stack.
void CheckJsonNesting(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '[' || c == '{') ++depth;
    if (c == ']' || c == '}') --depth;
    if (depth > kMaxNestingDepth) {
      throw wire_error(kind::out_of_range, "JSON text is nested too deeply");
    }
  }
}

struct json_object::state {
  SerializationInfo value;

  const SerializationInfo* Find(std::string_view name) const {
    return value.findMember(std::string(name));
  }
  const SerializationInfo& Require(std::string_view name) const {
    const auto* member = Find(name);
    if (member == nullptr) {
      throw wire_error(kind::missing_member,
                       QuotedMember(name) + " is missing");
    }
    return *member;
  }
};

json_object::json_object(std::unique_ptr<state> value)
    : state_(std::move(value)) {}
json_object::~json_object() = default;
json_object::json_object(json_object&&) noexcept = default;

json_object json_object::Parse(std::string_view text,
                               std::initializer_list<std::string_view> members,
                               std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    throw wire_error(kind::too_large, "JSON text larger than " +
                                          std::to_string(max_bytes) + " bytes");
  }
  CheckJsonNesting(text);
  auto parsed = std::make_unique<state>();
  std::istringstream in{std::string(text)};
  try {
    const cxxtools::JsonDeserializer reader(in);
    parsed->value = reader.si();
  } catch (const std::exception& error) {
    throw wire_error(kind::bad_syntax, error.what());
  }
  std::string trailing;
  std::getline(in, trailing, '\0');
  if (trailing.find_first_not_of(" \t\r\n") != std::string::npos) {
    throw wire_error(kind::trailing_bytes,
                     "unexpected text after the JSON value");
  }
  CheckMembers(parsed->value, members);
  return json_object(std::move(parsed));
}

bool json_object::Has(std::string_view name) const {
  return state_->Find(name) != nullptr;
}

std::string json_object::Text(std::string_view name,
                              std::size_t max_bytes) const {
  const auto& member = state_->Require(name);
  if (member.category() != SerializationInfo::Value ||
      member.typeName() != "string") {
    throw wire_error(kind::wrong_type,
                     QuotedMember(name) + " must be a string");
  }
  cxxtools::String wide;
  member.getValue(wide);
  std::string text = cxxtools::Utf8Codec::encode(wide);
  if (text.size() > max_bytes) {
    throw wire_error(kind::out_of_range,
                     QuotedMember(name) + " is longer than " +
                         std::to_string(max_bytes) + " bytes");
  }
  return text;
}

std::string json_object::OptionalText(std::string_view name,
                                      std::size_t max_bytes) const {
  return Has(name) ? Text(name, max_bytes) : std::string();
}

std::uint64_t json_object::Unsigned(std::string_view name,
                                    std::uint64_t max_value) const {
  const auto& member = state_->Require(name);
  const bool number = member.typeName() == "int";
  if (member.category() != SerializationInfo::Value ||
      (!number && member.typeName() != "string")) {
    throw wire_error(
        kind::wrong_type,
        QuotedMember(name) + " must be an integer or decimal text");
  }
  std::string digits;
  member.getValue(digits);
  std::uint64_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, value);
  if (digits.empty() || result.ptr != end ||
      result.ec == std::errc::invalid_argument) {
    throw wire_error(
        kind::wrong_type,
        QuotedMember(name) + " must be a whole number of at least 0");
  }
  if (result.ec != std::errc() || value > max_value) {
    throw wire_error(
        kind::out_of_range,
        QuotedMember(name) + " must be at most " + std::to_string(max_value));
  }
  return value;
}

std::uint64_t json_object::OptionalUnsigned(std::string_view name,
                                            std::uint64_t max_value,
                                            std::uint64_t fallback) const {
  return Has(name) ? Unsigned(name, max_value) : fallback;
}

bool json_object::OptionalBool(std::string_view name, bool fallback) const {
  const auto* member = state_->Find(name);
  if (member == nullptr) return fallback;
  if (member->typeName() != "bool") {
    throw wire_error(kind::wrong_type,
                     QuotedMember(name) + " must be true or false");
  }
  bool value = false;
  member->getValue(value);
  return value;
}

std::vector<json_object> json_object::Objects(
    std::string_view name, std::initializer_list<std::string_view> members,
    std::size_t max_entries) const {
  std::vector<json_object> objects;
  const auto* list = state_->Find(name);
  if (list == nullptr) return objects;
  if (list->category() != SerializationInfo::Array) {
    throw wire_error(kind::wrong_type, QuotedMember(name) + " must be a list");
  }
  if (list->memberCount() > max_entries) {
    throw wire_error(kind::out_of_range,
                     QuotedMember(name) + " has too many elements");
  }
  for (const auto& element : *list) {
    CheckMembers(element, members);
    auto copy = std::make_unique<state>();
    copy->value = element;
    objects.push_back(json_object(std::move(copy)));
  }
  return objects;
}

std::string json_object::Payload(std::size_t max_bytes) const {
  const bool encoded = Has("payload_base64");
  if (!encoded) return OptionalText("payload", max_bytes);
  if (Has("payload")) {
    throw wire_error(kind::bad_syntax,
                     "give either 'payload' or 'payload_base64', not both");
  }
  // Base64 encodes each group of up to three bytes as four characters.
  const std::string text = Text("payload_base64", 4 * (max_bytes / 3 + 1));
  std::string bytes;
  try {
    bytes = cxxtools::Base64Codec::decode(text);
  } catch (const std::exception&) {
    throw wire_error(kind::wrong_type, "'payload_base64' is not base64");
  }
  // The decoder skips characters outside of its alphabet without an error, so
  // the result is encoded again and compared with the input.
  if (EncodeBase64(bytes) != text) {
    throw wire_error(kind::wrong_type, "'payload_base64' is not base64");
  }
  if (bytes.size() > max_bytes) {
    throw wire_error(kind::out_of_range,
                     "'payload_base64' decodes to too many bytes");
  }
  return bytes;
}

struct json_writer::state {
  SerializationInfo root;
  std::vector<SerializationInfo*> open_values{&root};

  SerializationInfo& Add(std::string_view name) {
    return open_values.back()->addMember(std::string(name));
  }
};

json_writer::json_writer() : state_(std::make_unique<state>()) {
  state_->root.setCategory(SerializationInfo::Object);
}
json_writer::~json_writer() = default;

json_writer& json_writer::Text(std::string_view name, std::string_view value) {
  state_->Add(name).setValue(DecodeUtf8Lossy(value));
  return *this;
}

json_writer& json_writer::Unsigned(std::string_view name, std::uint64_t value) {
  if (value > kExactJsonInteger) return Text(name, std::to_string(value));
  state_->Add(name).setValue(value);
  return *this;
}

json_writer& json_writer::Signed(std::string_view name, std::int64_t value) {
  state_->Add(name).setValue(value);
  return *this;
}

json_writer& json_writer::Bool(std::string_view name, bool value) {
  state_->Add(name).setValue(value);
  return *this;
}

json_writer& json_writer::Payload(std::string_view bytes) {
  if (IsUtf8(bytes)) return Text("payload", bytes);
  return Text("payload_base64", EncodeBase64(bytes));
}

json_writer& json_writer::Object(std::string_view name) {
  auto& added = state_->Add(name);
  added.setCategory(SerializationInfo::Object);
  state_->open_values.push_back(&added);
  return *this;
}

json_writer& json_writer::List(std::string_view name) {
  auto& added = state_->Add(name);
  added.setCategory(SerializationInfo::Array);
  state_->open_values.push_back(&added);
  return *this;
}

json_writer& json_writer::End() {
  if (state_->open_values.size() > 1) state_->open_values.pop_back();
  return *this;
}

std::string json_writer::Finish() const {
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.serialize(state_->root).finish();
  return out.str();
}

}  // namespace corianderrail
