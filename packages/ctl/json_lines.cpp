/** @file json_lines.cpp Shows any JSON reply as lines of text. */

#include "ctl/json_lines.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/utf8codec.h>

#include <algorithm>
#include <sstream>

#include "wire/wire_error.h"

namespace corianderrail {

namespace {

using cxxtools::SerializationInfo;

/**
 * Most opening brackets in a row of nesting. The parser recurses once for each
 * level, so the depth is bounded before it sees the text.
 */
constexpr int kNestingLimit = 16;

void CheckNesting(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (quoted && c == '\\') ++i;
    if (c == '"') quoted = !quoted;
    if (quoted) continue;
    if (c == '[' || c == '{') ++depth;
    if (c == ']' || c == '}') --depth;
    if (depth <= kNestingLimit) continue;
    throw wire_error(wire_error::kind::out_of_range,
                     "the reply is nested too deeply");
  }
}

/** Keeps one line a value, whatever the reply contains. */
std::string OneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char c) { return c < ' ' || c == 0x7F; }, ' ');
  return text;
}

void Flatten(const SerializationInfo& value, const std::string& path,
             std::vector<json_line>& lines) {
  if (value.category() == SerializationInfo::Value) {
    cxxtools::String text;
    value.getValue(text);
    lines.push_back({path, OneLine(cxxtools::Utf8Codec::encode(text))});
    return;
  }
  bool list = value.category() == SerializationInfo::Array;
  std::size_t index = 0;
  for (const SerializationInfo& member : value) {
    std::string step = list ? "[" + std::to_string(index) + "]"
                            : (path.empty() ? "" : ".") + member.name();
    Flatten(member, path + step, lines);
    ++index;
  }
}

}  // namespace

std::vector<json_line> FlattenJson(std::string_view text) {
  CheckNesting(text);
  std::vector<json_line> lines;
  std::istringstream in{std::string(text)};
  try {
    const cxxtools::JsonDeserializer reader(in);
    // The parser takes any bare word for a value and stops at its end.
    if (reader.si().category() == SerializationInfo::Value) {
      throw wire_error(wire_error::kind::bad_syntax,
                       "the reply is not a JSON object");
    }
    Flatten(reader.si(), "", lines);
  } catch (const wire_error&) {
    throw;
  } catch (const std::exception& error) {
    throw wire_error(wire_error::kind::bad_syntax, error.what());
  }
  std::string rest;
  std::getline(in, rest, '\0');
  if (rest.find_first_not_of(" \t\r\n") != std::string::npos) {
    throw wire_error(wire_error::kind::trailing_bytes,
                     "text follows the JSON value of the reply");
  }
  return lines;
}

std::optional<std::string> FindLine(const std::vector<json_line>& lines,
                                    std::string_view path) {
  for (const json_line& line : lines) {
    if (line.path == path) return line.value;
  }
  return std::nullopt;
}

}  // namespace corianderrail
