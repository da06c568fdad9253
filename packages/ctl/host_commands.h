/** @file host_commands.h Commands that send requests to hosts. */

#pragma once

#include "ctl/command_type.h"

namespace corianderrail {

/** Prints GET /v1/status of each host. */
exit_code RunStatus(command_context& context);

/** Prints GET /v1/audit of a host. */
exit_code RunAudit(command_context& context);

/** Sends POST /v1/query and prints the answer. */
exit_code RunQuery(command_context& context);

/** Asks the metrics address of an edge host where a request would go now, and
 *  why. */
exit_code RunPlacement(command_context& context);

/** Gets an order identifier, unless one is given, and sends the order. */
exit_code RunOrder(command_context& context);

}  // namespace corianderrail
