/** @file child_process.h Runs binaries as child processes. */

#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "support/free_port.h"

namespace corianderrail {

/** A child process; the destructor kills it. */
class child_process {
 public:
  /**
   * @param program Name of a binary of the build.
   * @param output File for standard output and standard error.
   */
  child_process(const std::string& program, std::vector<std::string> arguments,
                const std::string& output);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number);

  /** Waits for the process to exit. @return Exit code, 128 + signal number, or
   *  -1 when the process still runs after 60 s. */
  int Wait();

 private:
  pid_t pid_ = -1;
};

/** A temporary directory; the destructor removes it with its content. */
class temporary_directory {
 public:
  temporary_directory();
  ~temporary_directory();
  temporary_directory(const temporary_directory&) = delete;
  temporary_directory& operator=(const temporary_directory&) = delete;

  /** Writes a file and creates its directories. @return Path of the file. */
  std::string Write(const std::string& name, const std::string& bytes) const;
  std::string Path(const std::string& name) const { return path_ + '/' + name; }
  std::string Read(const std::string& name) const;

 private:
  std::string path_;
};

/** Sends bytes on a new connection. @return All bytes received until the peer
 *  closes the connection or sends nothing for `idle_timeout_ms`. */
std::string SendRaw(std::uint16_t port, const std::string& bytes,
                    int idle_timeout_ms);

}  // namespace corianderrail
