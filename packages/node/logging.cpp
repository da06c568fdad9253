/** @file logging.cpp Log lines to standard error, by log4cplus. */

#include "node/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>

#include "wire/json_value.h"

namespace corianderrail {

namespace {

/** Writes each line as a JSON object, for log collectors. */
class json_layout : public log4cplus::Layout {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): name set by log4cplus.
  void formatAndAppend(
      log4cplus::tostream& out,
      const log4cplus::spi::InternalLoggingEvent& line) override {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
        line.getTimestamp().time_since_epoch());
    json_writer json;
    json.Unsigned("unix_us", static_cast<std::uint64_t>(micros.count()))
        .Text("level",
              log4cplus::getLogLevelManager().toString(line.getLogLevel()))
        .Text("text", line.getMessage());
    out << json.Finish() << '\n';
  }
};

log4cplus::Logger& RootLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

std::unique_ptr<log4cplus::Layout> MakeLayout(log_layout layout) {
  if (layout == log_layout::json) return std::make_unique<json_layout>();
  return std::make_unique<log4cplus::PatternLayout>(
      "%d{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n");
}

}  // namespace

void StartLogging(const std::string& level, log_layout layout) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(MakeLayout(layout));
  std::string name = level;
  for (char& c : name) c = static_cast<char>(std::toupper(c));
  RootLogger().addAppender(appender);
  RootLogger().setLogLevel(log4cplus::getLogLevelManager().fromString(name));
}

void StopLogging() { log4cplus::Logger::shutdown(); }

void LogInfo(const std::string& text) { LOG4CPLUS_INFO(RootLogger(), text); }
void LogWarning(const std::string& text) { LOG4CPLUS_WARN(RootLogger(), text); }
void LogError(const std::string& text) { LOG4CPLUS_ERROR(RootLogger(), text); }

}  // namespace corianderrail
