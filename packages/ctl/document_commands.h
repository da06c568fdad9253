/** @file document_commands.h Commands that read document trees. */

#pragma once

#include "ctl/command_type.h"

namespace corianderrail {

/** Validates files and trees; writes every fault to the error stream. */
exit_code RunCheck(command_context& context);

/** Compares the contract sets that the heads of two trees refer to. */
exit_code RunDiff(command_context& context);

/** Prints the digest of a contract as set documents contain it. */
exit_code RunDigest(command_context& context);

/** Prints the next set document of a tree. With --write, writes it into the
 *  tree and prints its path. */
exit_code RunAssemble(command_context& context);

}  // namespace corianderrail
