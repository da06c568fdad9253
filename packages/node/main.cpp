/** @file main.cpp Entry point of corianderrail. */

#include <popt.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "edge/edge_process.h"
#include "node/logging.h"
#include "node/node.h"
#include "node/settings.h"
#include "wire/wire_error.h"

namespace corianderrail {

namespace {

/** Exit codes, for supervisors. */
enum exit_code : int {
  kStopped = 0,
  kUsage = 2,
  kBadSettings = 3,
  kCannotListen = 4,
};

/** Delay before exit, so that the last replies leave the socket buffers. */
constexpr std::chrono::milliseconds kLinger{100};

/** Parsed command line. */
struct command_line {
  bool version = false;    ///< --version was given.
  bool edge = false;       ///< Run as an edge host (word `edge`).
  bool check = false;      ///< Check the settings and exit.
  std::string settings;    ///< Path of the settings file.
  const char* error = "";  ///< Usage error; empty when there is none.
};

/** Environment variable that names the settings file when the command line
 *  does not. */
constexpr const char* kSettingsVariable = "CORIANDERRAIL_SETTINGS";

command_line ReadCommandLine(int argc, const char** argv) {
  command_line result;
  char* settings = nullptr;
  int version = 0;
  int check = 0;
  std::array<poptOption, 5> options = {{
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "Read the settings of this host from FILE (TOML); without it, from the "
       "file that the variable CORIANDERRAIL_SETTINGS names",
       "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check, 0,
       "Check the settings and exit; lists all faults", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "Print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("corianderrail", argc, argv, options.data(), 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[edge] --settings FILE");
  const int code = poptGetNextOpt(context.get());
  result.version = version != 0;
  result.check = check != 0;
  if (settings != nullptr) result.settings = settings;
  std::free(settings);
  const char* from_environment = std::getenv(kSettingsVariable);
  if (result.settings.empty() && from_environment != nullptr)
    result.settings = from_environment;
  const char* role = poptPeekArg(context.get());
  if (role != nullptr && std::string_view(role) == "edge") {
    result.edge = true;
    poptGetArg(context.get());
  }
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
  // Threads inherit the mask, so that only this thread receives the signals.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void ServeUntilStopped(node& host, const sigset_t& signals) {
  constexpr timespec kPoll = {0, 50'000'000};
  while (!host.Stopped()) {
    if (sigtimedwait(&signals, nullptr, &kPoll) > 0) {
      LogInfo("received a stop signal; stopping");
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

int RunEdge(const command_line& line) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    edge::edge_process host(edge::LoadEdgeSettings(line.settings),
                            line.settings);
    host.Run();
  } catch (const edge::edge_settings_error& error) {
    std::fprintf(stderr, "corianderrail: %s\n", error.what());
    return kBadSettings;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "corianderrail: %s\n", error.what());
    return kCannotListen;
  }
  return kStopped;
}

int Check(const command_line& line) {
  try {
    if (line.edge) {
      edge::LoadEdgeSettings(line.settings);
    } else {
      LoadSettings(line.settings);
    }
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "corianderrail: %s\n", error.what());
    return kBadSettings;
  }
  std::printf("%s: no faults\n", line.settings.c_str());
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
  if (line.check) return Check(line);
  const int code = line.edge ? RunEdge(line) : Run(line.settings);
  std::fflush(nullptr);
  // A detached thread may still wait for the reply to a watch, so static
  // objects must not be destroyed.
  std::_Exit(code);
}
