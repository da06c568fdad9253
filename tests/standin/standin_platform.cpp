/** @file standin_platform.cpp Program that stands in for the platform. */

#include <popt.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "standin/standin_server.h"

namespace corianderrail {

namespace {

namespace fs = std::filesystem;

constexpr std::chrono::milliseconds kWatchPoll{10};

/** Options of the command line. */
struct standin_platform_options {
  int port = 0;           ///< Port to listen on.
  std::string directory;  ///< One file per key; `hosts.json` is the host list.
};

standin_platform_options ReadOptions(int argc, const char** argv) {
  standin_platform_options parsed;
  char* directory = nullptr;
  std::array<poptOption, 4> options = {{
      {"port", 0, POPT_ARG_INT, &parsed.port, 0, "Port", "N"},
      {"directory", 0, POPT_ARG_STRING, &directory, 0,
       "Directory of documents, one file for each key", "DIR"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const auto context =
      poptGetContext("standin_platform", argc, argv, options.data(), 0);
  const int code = poptGetNextOpt(context);
  if (code < -1 || directory == nullptr) {
    std::fprintf(stderr, "standin_platform: %s\n",
                 code < -1 ? poptStrerror(code) : "--directory is missing");
    std::exit(2);
  }
  parsed.directory = directory;
  poptFreeContext(context);
  return parsed;
}

/** A value with its version. */
struct document {
  bool found = false;         ///< Whether the key exists.
  std::uint64_t version = 0;  ///< Increases with each change of the bytes.
  std::string bytes;          ///< Content of the file.
};

/** Reads documents from a directory. A change of a file's bytes makes a new
 *  version. */
class document_store {
 public:
  explicit document_store(std::string directory)
      : directory_(std::move(directory)) {}

  document Read(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (stale_) return served_[key];
    document next;
    std::ifstream file(fs::path(directory_) / key, std::ios::binary);
    next.found = file.is_open() && key.find("..") == std::string::npos;
    if (next.found) {
      next.bytes.assign(std::istreambuf_iterator<char>(file), {});
    }
    auto& known = served_[key];
    next.version = known.version;
    if (next.found && (!known.found || known.bytes != next.bytes)) {
      ++next.version;
    }
    known = next;
    return known;
  }

  /** While `stale` is set, serves the values read last instead of the files. */
  void SetStale(bool stale) {
    const std::lock_guard lock(mutex_);
    stale_ = stale;
  }

 private:
  std::string directory_;
  std::mutex mutex_;
  bool stale_ = false;
  std::map<std::string, document> served_;
};

/** Configuration service with watches, host list and control requests. */
class platform_model {
 public:
  explicit platform_model(std::string directory)
      : store_(std::move(directory)) {}

  standin_reply Handle(const standin_request& request) {
    if (request.path == "/standin/set") return Set(request);
    if (request.path == "/standin/calls") {
      return {200, {}, std::to_string(calls_) + '\n'};
    }
    ++calls_;
    if (down_) return {500, {}, "down\n"};
    if (request.path == "/v1/hosts") return Hosts();
    constexpr std::string_view kPrefix = "/v1/config/";
    if (request.path.starts_with(kPrefix)) {
      return Get(request.path.substr(kPrefix.size()), request);
    }
    return {404, {}, "unknown path\n"};
  }

 private:
  standin_reply Set(const standin_request& request) {
    down_ = request.Number("down", down_ ? 1 : 0) != 0;
    if (request.parameter("stale")) {
      store_.SetStale(request.Number("stale", 0) != 0);
    }
    return {};
  }

  standin_reply Hosts() {
    const auto list = store_.Read("hosts.json");
    return {200, {}, list.found ? list.bytes : R"({"hosts":[]})"};
  }

  standin_reply Get(const std::string& key, const standin_request& request) {
    const auto after = request.Number("after", 0);
    const auto wait = std::chrono::milliseconds(request.Number("wait_ms", 0));
    const auto end = std::chrono::steady_clock::now() + wait;
    auto value = store_.Read(key);
    while (value.version <= after && std::chrono::steady_clock::now() < end &&
           !down_) {
      std::this_thread::sleep_for(kWatchPoll);
      value = store_.Read(key);
    }
    if (down_) return {500, {}, "down\n"};
    if (!value.found) return {404, {}, ""};
    const http_header version = {"X-Version", std::to_string(value.version)};
    if (after != 0 && value.version == after) return {304, {version}, ""};
    return {200, {version}, value.bytes};
  }

  document_store store_;
  std::atomic<bool> down_{false};
  std::atomic<std::uint64_t> calls_{0};
};

}  // namespace

}  // namespace corianderrail

int main(int argc, char** argv) {
  using namespace corianderrail;
  constexpr unsigned kThreads = 200;
  try {
    const auto options = ReadOptions(argc, const_cast<const char**>(argv));
    platform_model platform(options.directory);
    standin_server server({static_cast<std::uint16_t>(options.port)}, kThreads,
                          [&platform](const standin_request& request) {
                            return platform.Handle(request);
                          });
    server.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin_platform: %s\n", error.what());
    return 4;
  }
  return 0;
}
