/** @file child_process.cpp Runs binaries as child processes. */

#include "process/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace corianderrail {

namespace {

constexpr std::chrono::seconds kMaxWait{60};

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

child_process::child_process(const std::string& program,
                             std::vector<std::string> arguments,
                             const std::string& output) {
  std::string path = std::string(CORIANDERRAIL_BIN_DIR) + '/' + program;
  std::vector<char*> argv = {path.data()};
  for (auto& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) return;
  const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execv(path.c_str(), argv.data());
  _exit(127);
}

child_process::~child_process() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void child_process::Signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

int child_process::Wait() {
  const auto end = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < end) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return -1;
}

temporary_directory::temporary_directory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "corianderrail-XXXXXX")
          .string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  path_ = name;
}

temporary_directory::~temporary_directory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string temporary_directory::Write(const std::string& name,
                                       const std::string& bytes) const {
  const std::filesystem::path path = Path(name);
  std::filesystem::create_directories(path.parent_path());
  std::ofstream(path, std::ios::binary) << bytes;
  return path.string();
}

std::string temporary_directory::Read(const std::string& name) const {
  std::ifstream file(Path(name), std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string SendRaw(std::uint16_t port, const std::string& bytes,
                    int idle_timeout_ms) {
  const int file = socket(AF_INET, SOCK_STREAM, 0);
  const auto address = Loopback(port);
  std::string received;
  if (connect(file, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    // send() fails when the peer closes early; the peer's reply is read anyway.
    (void)send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::array<char, 4096> buffer{};
    pollfd wait = {file, POLLIN, 0};
    while (poll(&wait, 1, idle_timeout_ms) > 0) {
      const auto count = recv(file, buffer.data(), buffer.size(), 0);
      if (count <= 0) break;
      received.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  close(file);
  return received;
}

}  // namespace corianderrail
