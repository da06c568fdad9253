/** @file json_lines.h Shows any JSON reply as lines of text. */

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderrail {

/** One scalar of a JSON value. */
struct json_line {
  std::string path;   ///< Such as `members[0].zone`.
  std::string value;  ///< As text.
};

/**
 * Flattens a JSON text. Replies are shown whatever members a host of another
 * version sends, so no list of known members is applied.
 * @throws wire_error when the text is not one JSON object or list.
 */
std::vector<json_line> FlattenJson(std::string_view text);

/**
 * Lines of text: one for a member, one for a list of scalars and one for each
 * object of a list.
 */
std::string FormatLines(const std::vector<json_line>& lines);

/** Value at a path. */
std::optional<std::string> FindLine(const std::vector<json_line>& lines,
                                    std::string_view path);

}  // namespace corianderrail
