/** @file json_lines.cpp Formats any JSON reply as lines of text. */

#include "ctl/json_lines.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/utf8codec.h>

#include <algorithm>
#include <sstream>

#include "wire/json_value.h"

namespace corianderrail {

namespace {

using cxxtools::SerializationInfo;

/** Replaces control characters by blanks, so that a value stays on one line. */
std::string ReplaceControlCharacters(std::string text) {
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
    lines.push_back(
        {path, ReplaceControlCharacters(cxxtools::Utf8Codec::encode(text))});
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
  CheckJsonNesting(text);
  std::vector<json_line> lines;
  std::istringstream in{std::string(text)};
  try {
    const cxxtools::JsonDeserializer reader(in);
    // The parser accepts any bare word as a value and stops after it.
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

std::string FormatLines(const std::vector<json_line>& lines) {
  std::string text;
  std::string open_group;
  for (const json_line& line : lines) {
    const std::size_t bracket = line.path.find('[');
    if (bracket == std::string::npos) {
      text += (text.empty() ? "" : "\n") + line.path + ": " + line.value;
      open_group.clear();
      continue;
    }
    const std::size_t dot = line.path.find('.', bracket);
    const bool scalar = dot == std::string::npos;
    const std::string group = line.path.substr(0, scalar ? bracket : dot);
    if (group != open_group) {
      text += (text.empty() ? "" : "\n") + group + ":";
      open_group = group;
    }
    text += ' ';
    if (!scalar) text += line.path.substr(dot + 1) + '=';
    text += line.value.empty() ? "\"\"" : line.value;
  }
  return text.empty() ? text : text + "\n";
}

std::optional<std::string> FindLine(const std::vector<json_line>& lines,
                                    std::string_view path) {
  for (const json_line& line : lines) {
    if (line.path == path) return line.value;
  }
  return std::nullopt;
}

}  // namespace corianderrail
