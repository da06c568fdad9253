/** @file logging.h Log lines to standard error. */

#pragma once

#include <string>

#include "node/settings.h"

namespace corianderrail {

/** Sets level and layout. Call once, before the first line is logged. */
void StartLogging(const std::string& level, log_layout layout);

/** Flushes buffered lines and closes the log. */
void StopLogging();

void LogInfo(const std::string& text);
void LogWarning(const std::string& text);
void LogError(const std::string& text);

}  // namespace corianderrail
