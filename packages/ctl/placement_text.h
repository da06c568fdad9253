/** @file placement_text.h Formats an explained placement as text. */

#pragma once

#include <string>
#include <vector>

#include "ctl/json_lines.h"

namespace corianderrail {

/** One line for each part of the request, and one for each leaf below it. Shows
 *  all members, also those of hosts of other versions. */
std::string FormatPlacement(const std::vector<json_line>& lines);

}  // namespace corianderrail
