/** @file ctl_fixture.h Runs corianderctl inside the test process. */

#pragma once

#include <unistd.h>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/command_line.h"

namespace corianderrail {

/** Runs commands, captures their output and provides a scratch directory. */
struct ctl_fixture {
  ctl_fixture()
      : scratch(std::filesystem::temp_directory_path() /
                ("corianderctl-test-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(scratch);
  }
  ~ctl_fixture() { std::filesystem::remove_all(scratch); }

  exit_code Run(const std::vector<std::string>& arguments) {
    std::vector<const char*> argv = {"corianderctl"};
    for (const std::string& argument : arguments) {
      argv.push_back(argument.c_str());
    }
    out.str("");
    err.str("");
    return RunCommandLine(static_cast<int>(argv.size()), argv.data(), out, err);
  }

  void Write(const std::string& key, const std::string& bytes) const {
    std::filesystem::path path = scratch / key;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path, std::ios::binary) << bytes;
  }

  std::string Example(const std::string& name) const {
    return CORIANDERRAIL_SOURCE_DIR "/examples/" + name;
  }

  std::filesystem::path scratch;  ///< Removed by the destructor.
  std::ostringstream out;         ///< Standard output of the last run.
  std::ostringstream err;         ///< Error output of the last run.
};

}  // namespace corianderrail
