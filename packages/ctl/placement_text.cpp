/** @file placement_text.cpp Formats an explained placement as text. */

#include "ctl/placement_text.h"

#include <string_view>

namespace corianderrail {

namespace {

/** Path of a member, split into the object and the name in it. */
struct member_path {
  std::string_view object;  ///< Such as `parts[0].leafs[1]`; may be empty.
  std::string_view name;    ///< Such as `zone`.
};

member_path Split(std::string_view path) {
  const std::size_t dot = path.rfind('.');
  if (dot == std::string_view::npos) return {{}, path};
  return {path.substr(0, dot), path.substr(dot + 1)};
}

/** Beginning of the line of an object. */
std::string Title(std::string_view object) {
  if (object.find(".leafs[") != std::string_view::npos) return "  leaf:";
  if (object.starts_with("parts[")) return "part:";
  return std::string(object) + ":";
}

/** Members that are shown at another place or say nothing. */
bool IsHidden(const json_line& line) {
  return line.value == "0" && line.path.ends_with("_omitted");
}

}  // namespace

std::string FormatPlacement(const std::vector<json_line>& lines) {
  std::string text;
  std::string_view open;
  for (const json_line& line : lines) {
    if (IsHidden(line)) continue;
    const member_path path = Split(line.path);
    if (path.object.empty()) {
      if (!open.empty()) text += '\n';
      open = {};
      text.append(path.name).append(": ").append(line.value).append("\n");
      continue;
    }
    if (path.object != open) {
      if (!open.empty()) text += '\n';
      text += Title(path.object);
      open = path.object;
    }
    text.append(" ").append(path.name).append("=").append(line.value);
  }
  if (!open.empty()) text += '\n';
  return text;
}

}  // namespace corianderrail
