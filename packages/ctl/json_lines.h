/** @file json_lines.h Formats any JSON reply as lines of text. */

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderrail {

/** A scalar of a JSON document. */
struct json_line {
  std::string path;   ///< Such as `members[0].zone`.
  std::string value;  ///< Text without line breaks.
};

/**
 * Lists all scalars of a JSON document. A host of another version may send
 * other members, so no list of known members is applied.
 * @throws wire_error when the text is not one JSON object or list.
 */
std::vector<json_line> FlattenJson(std::string_view text);

/**
 * Formats the scalars with one line for each member, for each list of scalars
 * and for each object of a list.
 */
std::string FormatLines(const std::vector<json_line>& lines);

/** Value at a path, or nothing. */
std::optional<std::string> FindLine(const std::vector<json_line>& lines,
                                    std::string_view path);

}  // namespace corianderrail
