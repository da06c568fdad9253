/** @file command_line.h Parses the command line and runs a command. */

#pragma once

#include <iosfwd>
#include <span>

#include "ctl/command_type.h"

namespace corianderrail {

/** All commands, in the order of --help. */
std::span<const command> Commands();

/**
 * Runs the command that the arguments name.
 * @param argv The program's name first, as main() gets it.
 */
exit_code RunCommandLine(int argc, const char** argv, std::ostream& out,
                         std::ostream& err);

}  // namespace corianderrail
