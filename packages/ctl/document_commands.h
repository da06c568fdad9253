/** @file document_commands.h Commands that work on documents only. */

#pragma once

#include "ctl/command_type.h"

namespace corianderrail {

/** Checks files and trees; every fault goes to the error stream. */
exit_code RunCheck(command_context& context);

/** Compares the sets in force of two trees. */
exit_code RunDiff(command_context& context);

/** Prints the digest of a file for a set document. */
exit_code RunDigest(command_context& context);

/** Prints the next set document of a tree, or writes it. */
exit_code RunAssemble(command_context& context);

}  // namespace corianderrail
