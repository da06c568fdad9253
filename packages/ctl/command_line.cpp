/** @file command_line.cpp Parses the command line and runs a command. */

#include "ctl/command_line.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <exception>
#include <limits>
#include <memory>
#include <ostream>

#include "ctl/document_commands.h"
#include "ctl/explain_command.h"
#include "ctl/host_commands.h"

namespace corianderrail {

namespace {

constexpr std::string_view kVersion = "corianderctl 0.1.0";
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
constexpr std::int64_t kMaxTimeoutMs = 600'000;

constexpr std::array<command, 10> kCommands = {{
    {"check", "PATH...", "validate documents or trees of documents", 1,
     kNoLimit, RunCheck},
    {"diff", "OLD NEW", "compare the contract sets in force of two trees", 2, 2,
     RunDiff},
    {"digest", "FILE", "print the digest of a contract", 1, 1, RunDigest},
    {"assemble", "DIR", "print the next set document of a tree", 1, 1,
     RunAssemble},
    {"status", "HOST...", "show the status of hosts", 1, kNoLimit, RunStatus},
    {"audit", "HOST", "show the accepted and refused changes", 1, 1, RunAudit},
    {"query", "HOST", "send a query", 1, 1, RunQuery},
    {"order", "HOST", "get an order identifier and send an order", 1, 1,
     RunOrder},
    {"explain", "ID FILE...", "show the history of a request from edge logs", 2,
     kNoLimit, RunExplain},
    {"placement", "HOST METHOD NAME PATH",
     "explain where an edge would send a request", 4, 4, RunPlacement},
}};

struct popt_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using popt_pointer =
    std::unique_ptr<std::remove_pointer_t<poptContext>, popt_deleter>;

/** Variables that popt writes the options to. */
struct raw_options {
  int help = 0;
  int version = 0;
  int json = 0;
  int write = 0;
  long long timeout_ms = command_options().timeout_ms;
  long long deadline_ms = 0;
  long long seen_revision = 0;
  long long key = -1;
  char* customer = nullptr;
  char* kind = nullptr;
  char* payload = nullptr;
  char* request_id = nullptr;
  char* order_id = nullptr;
  char* seats = nullptr;
};

std::array<poptOption, 15> OptionTable(raw_options& raw) {
  return {{
      {"help", 'h', POPT_ARG_NONE, &raw.help, 0, "show this help", nullptr},
      {"version", 'V', POPT_ARG_NONE, &raw.version, 0, "show the version",
       nullptr},
      {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr},
      {"timeout-ms", 't', POPT_ARG_LONGLONG, &raw.timeout_ms, 0,
       "time limit for the connect and each read (default 2000)", "MS"},
      {"customer", 'c', POPT_ARG_STRING, &raw.customer, 0,
       "query, order: customer", "NAME"},
      {"kind", 'k', POPT_ARG_STRING, &raw.kind, 0, "query, order: kind of work",
       "NAME"},
      {"payload", 'p', POPT_ARG_STRING, &raw.payload, 0,
       "query, order: request payload", "TEXT"},
      {"deadline-ms", 'd', POPT_ARG_LONGLONG, &raw.deadline_ms, 0,
       "query, order: deadline from now", "MS"},
      {"seen-revision", 0, POPT_ARG_LONGLONG, &raw.seen_revision, 0,
       "query, order: revision from the address answer", "N"},
      {"request-id", 0, POPT_ARG_STRING, &raw.request_id, 0,
       "query, order: identifier that the answer echoes", "ID"},
      {"key", 0, POPT_ARG_LONGLONG, &raw.key, 0,
       "order: key that selects the partition", "N"},
      {"order-id", 0, POPT_ARG_STRING, &raw.order_id, 0,
       "order: resend the order with this identifier", "ID"},
      {"seats", 0, POPT_ARG_STRING, &raw.seats, 0,
       "assemble: comma-separated peer addresses", "LIST"},
      {"write", 'w', POPT_ARG_NONE, &raw.write, 0,
       "assemble: write the document into the tree", nullptr},
      POPT_TABLEEND,
  }};
}

/** Copies a string that popt allocated and frees it. */
std::string CopyAndFree(char* text) {
  std::unique_ptr<char, decltype(&free)> owner(text, &free);
  return text == nullptr ? std::string() : std::string(text);
}

command_options ConvertOptions(raw_options& raw) {
  command_options options;
  options.json = raw.json != 0;
  options.write = raw.write != 0;
  options.timeout_ms = raw.timeout_ms;
  options.deadline_ms = raw.deadline_ms;
  options.seen_revision = raw.seen_revision;
  options.key = raw.key;
  options.customer = CopyAndFree(raw.customer);
  options.kind = CopyAndFree(raw.kind);
  options.payload = CopyAndFree(raw.payload);
  options.request_id = CopyAndFree(raw.request_id);
  options.order_id = CopyAndFree(raw.order_id);
  options.seats = CopyAndFree(raw.seats);
  return options;
}

void PrintHelp(std::ostream& out, std::span<const poptOption> options) {
  out << "usage: corianderctl COMMAND [ARGUMENT...] [OPTION...]\n\n";
  for (const command& entry : kCommands) {
    std::string column =
        std::string(entry.name) + " " + std::string(entry.arguments);
    column.resize(std::max<std::size_t>(column.size(), 18), ' ');
    out << "  " << column << " " << entry.summary << "\n";
  }
  out << "\n";
  for (const poptOption& option : options) {
    if (option.longName == nullptr) continue;
    std::string column = std::string("--") + option.longName;
    if (option.argDescrip != nullptr) {
      column += std::string("=") + option.argDescrip;
    }
    column.resize(std::max<std::size_t>(column.size(), 20), ' ');
    out << "  " << column << " " << option.descrip << "\n";
  }
  out << "\nexit codes: 0 done, 1 refused, 2 usage, 3 unreadable input, "
         "4 host unreachable,\n5 request refused and not run, 6 outcome "
         "unknown\n";
}

[[noreturn]] void FailUsage(const std::string& what) {
  throw command_error(exit_code::usage,
                      "corianderctl: " + what + "; see corianderctl --help");
}

void CheckOptions(const command_options& options) {
  if (options.timeout_ms < 1 || options.timeout_ms > kMaxTimeoutMs) {
    FailUsage("--timeout-ms must be from 1 to " +
              std::to_string(kMaxTimeoutMs));
  }
  if (options.deadline_ms < 0 || options.seen_revision < 0) {
    FailUsage("--deadline-ms and --seen-revision must not be negative");
  }
}

const command& FindCommand(const std::string& name) {
  for (const command& entry : kCommands) {
    if (entry.name == name) return entry;
  }
  FailUsage("unknown command '" + name + "'");
}

exit_code RunCommand(command_context& context) {
  if (context.arguments.empty()) FailUsage("no command was given");
  const command& entry = FindCommand(context.arguments.front());
  context.arguments.erase(context.arguments.begin());
  if (context.arguments.size() < entry.min_arguments ||
      context.arguments.size() > entry.max_arguments) {
    FailUsage("'" + std::string(entry.name) + "' takes " +
              std::string(entry.arguments));
  }
  CheckOptions(context.options);
  return entry.run(context);
}

exit_code ParseAndRun(int argc, const char** argv, std::ostream& out,
                      std::ostream& err) {
  raw_options raw;
  std::array<poptOption, 15> table = OptionTable(raw);
  popt_pointer parser(
      poptGetContext("corianderctl", argc, argv, table.data(), 0));
  int result = poptGetNextOpt(parser.get());
  command_context context{{}, ConvertOptions(raw), out, err};
  if (result < -1) {
    FailUsage(std::string(poptBadOption(parser.get(), 0)) + ": " +
              poptStrerror(result));
  }
  while (const char* argument = poptGetArg(parser.get())) {
    context.arguments.emplace_back(argument);
  }
  if (raw.help != 0) {
    PrintHelp(out, table);
    return exit_code::ok;
  }
  if (raw.version != 0) {
    out << kVersion << "\n";
    return exit_code::ok;
  }
  return RunCommand(context);
}

}  // namespace

std::span<const command> Commands() { return kCommands; }

exit_code RunCommandLine(int argc, const char** argv, std::ostream& out,
                         std::ostream& err) {
  try {
    return ParseAndRun(argc, argv, out, err);
  } catch (const command_error& error) {
    err << error.what() << "\n";
    return error.Code();
  } catch (const std::exception& error) {
    err << "corianderctl: " << error.what() << "\n";
    return exit_code::unreadable_input;
  }
}

}  // namespace corianderrail
