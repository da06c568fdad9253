/** @file main.cpp The corianderrail binary. */

#include <popt.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>

#include "node/logging.h"
#include "node/node.h"
#include "node/settings.h"
#include "wire/wire_error.h"

namespace corianderrail {

namespace {

/** Exit codes. */
enum exit_code : int {
  kStopped = 0,
  kUsage = 2,
  kBadSettings = 3,
  kCannotListen = 4,
};

/** Time for the last replies to leave the socket buffers. */
constexpr std::chrono::milliseconds kLinger{100};

/** What the command line says. */
struct command_line {
  bool version = false;    ///< --version was given.
  std::string settings;    ///< Path of the settings.
  const char* error = "";  ///< Message when it is wrong.
};

command_line ReadCommandLine(int argc, const char** argv) {
  command_line result;
  char* settings = nullptr;
  int version = 0;
  std::array<poptOption, 4> options = {{
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "Read the settings of this host from FILE (TOML)", "FILE"},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "Print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("corianderrail", argc, argv, options.data(), 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "--settings FILE");
  const int code = poptGetNextOpt(context.get());
  result.version = version != 0;
  if (settings != nullptr) result.settings = settings;
  std::free(settings);
  if (code < -1) {
    result.error = poptStrerror(code);
  } else if (poptPeekArg(context.get()) != nullptr) {
    result.error = "unexpected argument";
  } else if (!result.version && result.settings.empty()) {
    result.error = "--settings FILE is missing; see --help";
  }
  return result;
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Threads inherit the mask, so that only this thread takes the signals.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void ServeUntilStopped(node& host, const sigset_t& signals) {
  constexpr timespec kPoll = {0, 50'000'000};
  while (!host.Stopped()) {
    if (sigtimedwait(&signals, nullptr, &kPoll) > 0) {
      LogInfo("asked to stop");
      host.RequestStop();
    }
  }
  const timespec linger = {0, 1'000'000 * kLinger.count()};
  nanosleep(&linger, nullptr);
}

int Run(const std::string& path) {
  const auto signals = BlockStopSignals();
  try {
    const auto settings = LoadSettings(path);
    StartLogging(settings.log_level, settings.layout);
    node host(settings);
    ServeUntilStopped(host, signals);
  } catch (const settings_error& error) {
    std::fprintf(stderr, "corianderrail: %s\n", error.what());
    return kBadSettings;
  } catch (const wire_error& error) {
    std::fprintf(stderr, "corianderrail: %s\n", error.what());
    return kCannotListen;
  }
  LogInfo("stopped");
  StopLogging();
  return kStopped;
}

}  // namespace

}  // namespace corianderrail

int main(int argc, char** argv) {
  using namespace corianderrail;
  const auto line = ReadCommandLine(argc, const_cast<const char**>(argv));
  if (line.error[0] != '\0') {
    std::fprintf(stderr, "corianderrail: %s\n", line.error);
    return kUsage;
  }
  if (line.version) {
    std::puts("corianderrail 0.1.0");
    return kStopped;
  }
  const int code = Run(line.settings);
  std::fflush(nullptr);
  // A watch may still wait in a detached thread, so no static object may be
  // destroyed.
  std::_Exit(code);
}
