/** @file command_type.h Types shared by the commands of corianderctl. */

#pragma once

#include <cstdint>
#include <iosfwd>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace corianderrail {

/** Exit codes; docs/operating.md and README.md list their meaning. */
enum class exit_code : std::uint8_t {
  ok = 0,
  refused = 1,
  usage = 2,
  unreadable_input = 3,
  host_unreachable = 4,
  not_run = 5,
  outcome_unknown = 6,
};

/** Thrown to end a command with an exit code; the message names the remedy. */
class command_error : public std::runtime_error {
 public:
  command_error(exit_code code, const std::string& message)
      : std::runtime_error(message), code_(code) {}

  exit_code Code() const { return code_; }

 private:
  exit_code code_;
};

/** Parsed options of all commands. */
struct command_options {
  bool json = false;               ///< Machine-readable output.
  bool write = false;              ///< assemble: write the set into the tree.
  std::int64_t timeout_ms = 2000;  ///< Limit of the connect and each read.
  std::int64_t deadline_ms = 0;    ///< 0: the contract's default.
  std::int64_t seen_revision = 0;  ///< Known from the address answer; 0: none.
  std::int64_t key = -1;           ///< Key of an order; -1 when not given.
  std::string customer;            ///< Required by query and order.
  std::string kind;                ///< Required by query and order.
  std::string payload;             ///< Payload of the request.
  std::string request_id;          ///< Empty: a random one is sent.
  std::string order_id;            ///< Order to resend; empty: a new one.
  std::string seats;               ///< assemble: comma-separated addresses.
};

/** Arguments, options and output streams of a command. */
struct command_context {
  std::vector<std::string> arguments;  ///< Without the command's name.
  command_options options;             ///< Parsed options.
  std::ostream& out;                   ///< Results.
  std::ostream& err;                   ///< Errors.
};

/** A command of corianderctl. */
struct command {
  std::string_view name;               ///< As written on the command line.
  std::string_view arguments;          ///< Shown by --help.
  std::string_view summary;            ///< Shown by --help.
  std::size_t min_arguments;           ///< Fewer are a usage error.
  std::size_t max_arguments;           ///< More are a usage error.
  exit_code (*run)(command_context&);  ///< May throw command_error.
};

}  // namespace corianderrail
