/** @file command_line.h Parses the command line and runs a command. */

#pragma once

#include <iosfwd>
#include <span>

#include "ctl/command_type.h"

namespace corianderrail {

/** All commands, in the order of --help. */
std::span<const command> Commands();

/**
 * Parses the arguments and runs the command that they name. Errors are written
 * to `err`.
 * @param argv Arguments of main(), with the program's name first.
 */
exit_code RunCommandLine(int argc, const char** argv, std::ostream& out,
                         std::ostream& err);

}  // namespace corianderrail
