/** @file logging.h Log lines to standard error. */

#pragma once

#include <string>

#include "node/settings.h"

namespace corianderrail {

/** Sets level and layout; called once, before any line. */
void StartLogging(const std::string& level, log_layout layout);

/** Writes the lines that are still buffered. */
void StopLogging();

void LogInfo(const std::string& text);
void LogWarning(const std::string& text);
void LogError(const std::string& text);

}  // namespace corianderrail
