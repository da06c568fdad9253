/** @file child_process.h Starts binaries and ends them again. */

#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "support/free_port.h"

namespace corianderrail {

/** A process that the test started; it is ended by the destructor. */
class child_process {
 public:
  /**
   * @param program File in the directory of the binaries.
   * @param output File that takes standard output and error.
   */
  child_process(const std::string& program, std::vector<std::string> arguments,
                const std::string& output);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number);

  /** Waits for the end. @return Exit code, or -1 after 60 s. */
  int Wait();

 private:
  pid_t pid_ = -1;
};

/** A directory that is removed with its content. */
class temporary_directory {
 public:
  temporary_directory();
  ~temporary_directory();
  temporary_directory(const temporary_directory&) = delete;
  temporary_directory& operator=(const temporary_directory&) = delete;

  /** Writes a file, with the directories it needs. @return Its path. */
  std::string Write(const std::string& name, const std::string& bytes) const;
  std::string Path(const std::string& name) const { return path_ + '/' + name; }
  std::string Read(const std::string& name) const;

 private:
  std::string path_;
};

/** Sends bytes on a new connection. @return All bytes until the peer closes
 *  or `quiet_ms` pass without any. */
std::string SendRaw(std::uint16_t port, const std::string& bytes,
                    int idle_timeout_ms);

}  // namespace corianderrail
